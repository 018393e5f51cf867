"""Messages of the lease protocol and its times."""

from typing import Final, NamedTuple

__all__ = [
    'IN_USE_KEPT_S',
    'RENEW_S',
    'TERM_S',
    'Grant',
    'GrantBatch',
    'Renewal',
    'RenewalBatch',
]

RENEW_S: Final = 0.5
TERM_S: Final = 1.6
IN_USE_KEPT_S: Final = 3.0
CLOCK_DRIFT_RATIO: Final = 1.01


class Renewal(NamedTuple):
    """A holder's wish for one budget.

    ``demand`` and ``in_use`` have the budget's unit.  ``held`` is the lease
    that it holds, for ``held_for_s`` more seconds; ``on_time``, ``late``
    and ``restarts`` count observations since the last renewal.
    ``pending_tokens`` are the holder's that wait for prefill.
    """

    key: str
    demand: float
    in_use: float
    held: float
    held_for_s: float
    on_time: int = 0
    late: int = 0
    restarts: int = 0
    pending_tokens: int = 0


class RenewalBatch(NamedTuple):
    """All renewals from one holder to one owner.

    ``applied`` is the newest batch number whose grants the holder applied.
    """

    number: int
    applied: int
    map_version: int
    renewals: list[Renewal]


class Grant(NamedTuple):
    """A lease, valid ``term_s`` from the moment the holder asked for it.

    ``limit`` is the whole budget.  ``other_vms_tokens`` wait for prefill and
    come from other holders.
    """

    key: str
    amount: float
    term_s: float
    limit: float
    other_vms_tokens: int = 0


class GrantBatch(NamedTuple):
    """The answer to the renewal batch with the same number."""

    number: int
    map_version: int
    grants: list[Grant]
