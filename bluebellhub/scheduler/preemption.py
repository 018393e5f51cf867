"""Preemption: a request of a higher tier displaces one of a lower tier."""

from collections.abc import Iterator
from typing import NamedTuple

from bluebellhub.request import Request, RequestState
from bluebellhub.scheduler.capacity import usable_slots
from bluebellhub.scheduler.eligibility import is_eligible
from bluebellhub.scheduler.state import Scheduler, upstreams_for
from bluebellhub.upstream import Upstream, Work

__all__ = ['all_slots_used', 'find_victim']


class Victim(NamedTuple):
    """A running request that may be preempted."""

    state: RequestState
    work: Work


def all_slots_used(
    scheduler: Scheduler, request: Request, now_s: float
) -> bool:
    """Return whether all slots of all eligible upstreams are in use."""
    return not any(
        len(upstream.work) < usable_slots(scheduler, upstream, now_s)
        for upstream in upstreams_for(scheduler, request.target)
        if is_eligible(scheduler, request, upstream, now_s)
    )


def find_victim(
    scheduler: Scheduler, request: Request, now_s: float, *, unprefilled: bool
) -> RequestState | None:
    """Return the running request that loses least by a cancellation.

    The order is: lowest tier, then requests without a first token, then
    those sent last.  With ``unprefilled``, only requests without a first
    token are candidates, because cancelling others frees a slot but no
    prefill time.  Return ``None`` if there is no candidate.
    """
    victims = [
        victim
        for upstream in upstreams_for(scheduler, request.target)
        if is_eligible(scheduler, request, upstream, now_s)
        for victim in _victims_at(scheduler, request, upstream)
        if not (unprefilled and victim.work.prefilled)
    ]
    if not victims:
        return None
    return max(victims, key=_preemption_order).state


def _victims_at(
    scheduler: Scheduler, request: Request, upstream: Upstream
) -> Iterator[Victim]:
    """Yield idempotent requests of lower tiers that run on the upstream."""
    for request_id, work in upstream.work.items():
        state = scheduler.requests.get(request_id)
        if state is None or not state.request.idempotent:
            continue
        if work.rank > request.tier.rank:
            yield Victim(state, work)


def _preemption_order(victim: Victim) -> tuple[int, bool, float]:
    """Return a sort key; the largest is preempted first."""
    work = victim.work
    return work.rank, not work.prefilled, work.sent_at_s
