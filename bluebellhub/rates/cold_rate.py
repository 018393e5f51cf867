"""Requests a second that a cold upstream bears, divided among the VMs.

The VMs that may use a cold upstream follow from its name and theirs, so no
message is needed: each of them gets an even part of the rate and may send
one request at once.
"""

from collections.abc import Iterable
from typing import NamedTuple

import xxhash

__all__ = [
    'ColdBounds',
    'ColdRate',
    'cold_share_per_s',
    'cold_wait_s',
    'record_cold_send',
]


class ColdBounds(NamedTuple):
    """What the rate may be exceeded by in a second: a ratio and a count."""

    overage: float = 1.5
    slack: float = 5.0


class ColdRate(NamedTuple):
    """The root: an upstream is cold until ``until_s``.

    ``next_at_s`` is when this VM may send it the next request.
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
    """Return this VM's requests a second to a cold upstream; 0 for none.

    As many VMs take part as may each send one request more than their
    even part of the rate.
    """
    spare = cold_per_s * (bounds.overage - 1.0) + bounds.slack
    ordered = sorted(
        {vm, *vms},
        key=lambda name: xxhash.xxh64_intdigest(f'{upstream}/{name}'.encode()),
    )
    chosen = ordered[: max(1, int(spare) - 1)]
    if vm not in chosen:
        return 0.0
    return cold_per_s / len(chosen)


def cold_wait_s(cold: ColdRate, now_s: float) -> float:
    """Return the seconds until this VM may send the next request."""
    if now_s >= cold.until_s:
        return 0.0
    return max(0.0, cold.next_at_s - now_s)


def record_cold_send(
    cold: ColdRate, share_per_s: float, now_s: float
) -> ColdRate:
    """Count a request that is sent now."""
    pause_s = 1.0 / share_per_s if share_per_s > 0 else cold.until_s - now_s
    return cold._replace(next_at_s=now_s + pause_s)
