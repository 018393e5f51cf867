"""The request rate that a cold upstream sustains, divided among the VMs.

Each VM computes from the names of the upstream and the VMs which of them may
use a cold upstream, so no message is needed. Each of these VMs gets an even
share of the rate and may send one request at once.
"""

from collections.abc import Iterable
from typing import NamedTuple

from bluebellhub.rates.chosen_vms import chosen_vms

__all__ = [
    'ColdBounds',
    'ColdRate',
    'cold_share_per_s',
    'cold_wait_s',
    'record_cold_send',
]


class ColdBounds(NamedTuple):
    """How far the rate may be exceeded in a second: a factor and a count."""

    overage: float = 1.5
    slack: float = 5.0


class ColdRate(NamedTuple):
    """The root: an upstream is cold until ``until_s``.

    This VM may send it the next request at ``next_at_s``.
    """

    until_s: float
    next_at_s: float = 0.0


def cold_share_per_s(
    bounds: ColdBounds,
    cold_per_s: float,
    vm: str,
    vms: Iterable[str],
    upstream: str,
) -> float:
    """Return this VM's share of a cold upstream's rate, in requests/s.

    It is 0.0 for a VM that may not use the upstream. Each participating VM may
    exceed its even share by one request, so the bounds limit their number.
    """
    spare_requests = cold_per_s * (bounds.overage - 1.0) + bounds.slack
    participants = chosen_vms(upstream, [vm, *vms], int(spare_requests) - 1)
    if vm not in participants:
        return 0.0
    return cold_per_s / len(participants)


def cold_wait_s(cold: ColdRate, now_s: float) -> float:
    """Return the seconds until this VM may send the next request."""
    if now_s >= cold.until_s:
        return 0.0
    return max(0.0, cold.next_at_s - now_s)


def record_cold_send(
    cold: ColdRate, share_per_s: float, now_s: float
) -> ColdRate:
    """Return the state after a request that is sent now."""
    interval_s = 1.0 / share_per_s if share_per_s > 0 else cold.until_s - now_s
    return cold._replace(next_at_s=now_s + interval_s)
