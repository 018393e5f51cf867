"""Load shedding: which requests are refused when capacity runs out.

A tier is shed only when no request of a lower tier is queued or waits for
its first token at an upstream: on this VM and, in a fleet, on all live VMs.
"""

from typing import Final

from bluebellhub.admission import (
    ranks,
    requests_below,
    requests_of_rank,
)
from bluebellhub.contract import DEFAULT_TIERS
from bluebellhub.invariants import check_invariant
from bluebellhub.request import RequestState
from bluebellhub.request.refusal import (
    NoUpstreamError,
    ShedError,
)
from bluebellhub.scheduler.candidate import make_candidate
from bluebellhub.scheduler.capacity import usable_slots
from bluebellhub.scheduler.eligibility import is_eligible
from bluebellhub.scheduler.events import Event
from bluebellhub.scheduler.expiries import expiries
from bluebellhub.scheduler.finish import refuse
from bluebellhub.scheduler.state import (
    Scheduler,
    queue_of,
    upstreams_for,
)

__all__ = ['expire_by_tier', 'may_shed', 'shed', 'total_slots']

RETRY_AFTER_S: Final = 4.0
FLOOR_REQUEST_TIMEOUT_S: Final = 0.6
LOWEST_RANK: Final = max(tier.rank for tier in DEFAULT_TIERS)


def total_slots(scheduler: Scheduler, target: str, now_s: float) -> int:
    """Return the sum of slots that this VM may use for a model or service."""
    return sum(
        usable_slots(scheduler, upstream, now_s)
        for upstream in upstreams_for(scheduler, target)
        if upstream.spec.failure_domain not in scheduler.domains_out
    )


def lower_tier_requests(
    scheduler: Scheduler, state: RequestState
) -> list[RequestState]:
    """Return lower-tier requests that are queued or await a first token.

    The queued requests come first, those of the lowest tier before others.
    A request that was sent and is not idempotent is left out, because it
    must not be cancelled.
    """
    request = state.request
    queue = queue_of(scheduler, request.target)
    queued = [
        scheduler.requests[entry.request_id]
        for entry in requests_below(queue, request.tier.rank)
    ]
    sent = [
        scheduler.requests[request_id]
        for upstream in upstreams_for(scheduler, request.target)
        for request_id, work in upstream.work.items()
        if work.rank > request.tier.rank and not work.prefilled
    ]
    return queued + [other for other in sent if other.request.idempotent]


def may_shed(scheduler: Scheduler, state: RequestState, now_s: float) -> bool:
    """Return whether the request may be shed now.

    All requests of lower tiers must be shed before it.  A VM of a fleet
    requests the admission floor that it needs, and may not shed until the
    other VMs have agreed to it.
    """
    if lower_tier_requests(scheduler, state):
        return False
    rank = state.request.tier.rank
    if not scheduler.flags['fleet'] or rank == LOWEST_RANK:
        return True
    target = state.request.target
    scheduler.requested_floors[target] = (rank, now_s + FLOOR_REQUEST_TIMEOUT_S)
    agreed = scheduler.agreed_floors.get(target)
    return agreed is not None and agreed <= rank


def shed(
    scheduler: Scheduler, events: list[Event], state: RequestState, now_s: float
) -> None:
    """Shed a request; asserts that no lower tier is left to shed first."""
    check_invariant(
        'lower_tier_shed_first',
        holds=not lower_tier_requests(scheduler, state),
        detail=f'{state.request.request_id} {state.request.tier.name}',
    )
    error = ShedError('no capacity in time', retry_after_s=RETRY_AFTER_S)
    refuse(scheduler, events, state, error)


@expiries.register('immediate')
@expiries.register('tiered')
def expire_by_tier(
    scheduler: Scheduler, events: list[Event], target: str, now_s: float
) -> None:
    """Refuse requests that cannot meet their deadline, lowest tiers first."""
    _apply_floor(scheduler, events, target)
    for rank in ranks(queue_of(scheduler, target)):
        _refuse_infeasible(scheduler, events, target, rank, now_s)


def _apply_floor(
    scheduler: Scheduler, events: list[Event], target: str
) -> None:
    """Shed queued requests of tiers below the fleet's admission floor."""
    floor = scheduler.admission_floors.get(target)
    if floor is None:
        return
    for entry in requests_below(queue_of(scheduler, target), floor):
        _shed_lower(scheduler, events, scheduler.requests[entry.request_id])


def _refuse_infeasible(
    scheduler: Scheduler,
    events: list[Event],
    target: str,
    rank: int,
    now_s: float,
) -> None:
    """Refuse requests of one tier whose first token cannot be in time."""
    queue = queue_of(scheduler, target)
    for entry in requests_of_rank(queue, rank):
        state = scheduler.requests.get(entry.request_id)
        if state is None or state.first_token_at_s is not None:
            continue
        best_s = _best_first_token_s(scheduler, state, now_s)
        if best_s is None:
            _refuse_without_upstream(scheduler, events, state, now_s)
        elif now_s + best_s > state.request.deadline_s:
            _shed_late(scheduler, events, state, now_s)


def _best_first_token_s(
    scheduler: Scheduler, state: RequestState, now_s: float
) -> float | None:
    """Predict the least first-token time in seconds, or return ``None``.

    Upstreams that are not eligible, or on which this VM holds no lease, are
    left out; full ones count.
    """
    predictions = [
        make_candidate(scheduler, state, upstream, now_s).predicted_s
        for upstream in upstreams_for(scheduler, state.request.target)
        if is_eligible(scheduler, state.request, upstream, now_s)
        and usable_slots(scheduler, upstream, now_s)
    ]
    return min(predictions, default=None)


def _refuse_without_upstream(
    scheduler: Scheduler, events: list[Event], state: RequestState, now_s: float
) -> None:
    """Refuse a request at its deadline; until then, it stays queued.

    It has no eligible upstream, or this VM holds no lease on one.
    """
    if now_s >= state.request.deadline_s:
        error = NoUpstreamError(
            'no upstream takes work', retry_after_s=RETRY_AFTER_S
        )
        refuse(scheduler, events, state, error)


def _shed_late(
    scheduler: Scheduler, events: list[Event], state: RequestState, now_s: float
) -> None:
    """Shed a late request; lower tiers of the same target are shed first."""
    for other in lower_tier_requests(scheduler, state):
        _shed_lower(scheduler, events, other)
    if may_shed(scheduler, state, now_s):
        shed(scheduler, events, state, now_s)


def _shed_lower(
    scheduler: Scheduler, events: list[Event], state: RequestState
) -> None:
    """Shed a lower-tier request to free capacity for a higher tier."""
    error = ShedError(
        'capacity is needed for a higher tier', retry_after_s=RETRY_AFTER_S
    )
    refuse(scheduler, events, state, error)
