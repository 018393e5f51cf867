"""Messages and times of the lease protocol."""

from typing import Final, NamedTuple

from bluebellhub.peer_messages import message_types

__all__ = [
    'IN_USE_TIMEOUT_S',
    'LEASE_TERM_S',
    'RENEWAL_INTERVAL_S',
    'Grant',
    'GrantBatch',
    'Renewal',
    'RenewalBatch',
]

RENEWAL_INTERVAL_S: Final = 0.5
LEASE_TERM_S: Final = 1.6
IN_USE_TIMEOUT_S: Final = 3.0
# Owners extend terms by this, because clocks of holders may be slower.
CLOCK_DRIFT_RATIO: Final = 1.01


class Renewal(NamedTuple):
    """A holder's request for a lease on one budget.

    ``demand`` and ``in_use`` are in the unit of the budget.  ``held`` is the
    amount of the current lease, which expires in ``held_for_s`` seconds.
    ``on_time``, ``late`` and ``restarts`` count observations since the last
    renewal.  ``pending_tokens`` are the holder's prompt tokens that wait for
    prefill.
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


@message_types.register('RenewalBatch')
class RenewalBatch(NamedTuple):
    """All renewals from one holder to one owner.

    ``applied`` is the number of the newest batch whose grants the holder has
    applied.
    """

    number: int
    applied: int
    map_version: int
    renewals: list[Renewal]


class Grant(NamedTuple):
    """A lease that is valid for ``term_s`` after its renewal was sent.

    ``limit`` is the limit of the whole budget.  ``other_vms_tokens`` are the
    prompt tokens of other holders that wait for prefill.
    """

    key: str
    amount: float
    term_s: float
    limit: float
    other_vms_tokens: int = 0


@message_types.register('GrantBatch')
class GrantBatch(NamedTuple):
    """The response to the renewal batch with the same number."""

    number: int
    map_version: int
    grants: list[Grant]
