"""Limits the share of a model's requests that a VM sends to a new version.

The gate counts this VM's dispatches to both versions, so that the new
version never gets more than its share of them.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from bluebellhub.invariants import check_invariant

__all__ = [
    'MoveGate',
    'allows_new',
    'allows_old',
    'count_dispatch',
    'make_gate',
    'set_share',
]

UNPROVEN_SHARE = 0.05


class MoveGate(NamedTuple):
    """Aggregate root: the limits that a version move sets for this VM.

    ``share`` is the largest allowed ratio of dispatches to the new version.
    The new version gets no requests once the lease on the share has expired
    at ``share_until_s`` or the version is marked bad.  Once the move is
    ``done`` the new version needs no lease.  ``routes`` counts the new
    version's dispatches by route.
    """

    model: str
    to_version: str
    share: float
    share_until_s: float
    largest_unproven: float = UNPROVEN_SHARE
    proven: bool = False
    bad: bool = False
    done: bool = False
    dispatched: int = 0
    dispatched_new: int = 0
    routes: Mapping[str, int] = MappingProxyType({})


def make_gate(model: str, to_version: str, now_s: float) -> MoveGate:
    """Return a gate that admits no request to the new version."""
    return MoveGate(model, to_version, 0.0, now_s)


def allows_new(gate: MoveGate, route: str, now_s: float) -> bool:
    """Return whether one more dispatch to the new version is allowed.

    While the version is unproven, dispatches rotate over the routes, so
    that a rare route yields evidence as early as a common one.
    """
    if gate.done:
        return True
    if gate.bad or now_s >= gate.share_until_s:
        return False
    if not gate.proven and not _is_turn(gate, route):
        return False
    total = gate.dispatched + 1
    return gate.dispatched_new + 1 <= gate.share * total


def _is_turn(gate: MoveGate, route: str) -> bool:
    """Return whether the route's count is at most the mean of all routes."""
    counts = gate.routes
    mean = sum(counts.values()) / max(1, len(counts))
    return counts.get(route, 0) <= mean


def allows_old(gate: MoveGate, now_s: float) -> bool:
    """Return whether the old version may get requests.

    It may until the move is done, except while a share of 1 is leased to
    the new version.  If the new version is bad, the lease does not matter.
    """
    if gate.done:
        return False
    is_replaced = gate.share >= 1.0 and now_s < gate.share_until_s
    return gate.bad or not is_replaced


def count_dispatch(
    gate: MoveGate, version: str, route: str, now_s: float
) -> MoveGate:
    """Return the gate with a dispatch counted.

    Asserts that a bad version gets no request and that an unproven version
    stays within its share.
    """
    is_new = version == gate.to_version
    routes = {**gate.routes, route: gate.routes.get(route, 0) + is_new}
    counted = gate._replace(dispatched=gate.dispatched + 1, routes=routes)
    if not is_new or gate.done:
        return counted
    counted = counted._replace(dispatched_new=gate.dispatched_new + 1)
    check_invariant(
        'bad_version_gets_no_work',
        holds=not gate.bad and now_s < gate.share_until_s,
        detail=f'{gate.model} {version}',
    )
    largest = gate.share if gate.proven else gate.largest_unproven
    check_invariant(
        'unproven_share',
        holds=counted.dispatched_new <= largest * counted.dispatched,
        detail=f'{gate.model}: {counted.dispatched_new}',
    )
    return counted


def set_share(
    gate: MoveGate, share: float, until_s: float, *, proven: bool
) -> MoveGate:
    """Return the gate with a renewed share.

    The dispatch counts restart at zero when the share changes.
    """
    renewed = gate._replace(share_until_s=until_s, proven=proven)
    if share == gate.share:
        return renewed
    return renewed._replace(share=share, dispatched=0, dispatched_new=0)
