"""Load shedding: which requests are refused when capacity runs out.

A tier is shed only when no request of a lower tier is queued or waits for
its first token at an upstream: on this VM and, in a fleet, on all live VMs.
"""

from collections.abc import Callable
from typing import Final, Literal

from bluebellhub.admission import (
    QueuedRequest,
    ranks,
    requests_below,
    requests_of_rank,
)
from bluebellhub.contract import DEFAULT_TIERS
from bluebellhub.faults import isolate_fault
from bluebellhub.invariants import check_invariant
from bluebellhub.registry import Registry, make_registry
from bluebellhub.request import RefusalError, RequestState, execution_status
from bluebellhub.request.refusal import (
    NoUpstreamError,
    ShedError,
    UpstreamFailedError,
)
from bluebellhub.scheduler.candidate import is_hopeless, make_candidate
from bluebellhub.scheduler.capacity import usable_slots
from bluebellhub.scheduler.crashes import refuse_quarantined
from bluebellhub.scheduler.credit import capacity_ratio, retry_after_s
from bluebellhub.scheduler.dispatch import dispatch_queued
from bluebellhub.scheduler.eligibility import is_eligible
from bluebellhub.scheduler.events import Event
from bluebellhub.scheduler.finish import refuse
from bluebellhub.scheduler.links import watch_links
from bluebellhub.scheduler.requeueing import requeue_expired
from bluebellhub.scheduler.state import (
    Scheduler,
    queue_of,
    upstreams_for,
)

__all__ = ['may_shed', 'shed', 'tick', 'total_slots']

RETRY_AFTER_S: Final = 4.0
RETRY_QUEUE_SHARE: Final = 0.6
FLOOR_REQUEST_TIMEOUT_S: Final = 0.6
# Part of the longest wait in the queue after which a request is refused while
# the upstreams cannot take all requests.
SHORT_WAIT_SHARE: Final = 0.3
LOWEST_RANK: Final = max(tier.rank for tier in DEFAULT_TIERS)


# Why a queued request is refused: nothing has room in time, not even an idle
# upstream would be in time, or a request of a higher rank has no place either.
ShedRule = Literal['no_place', 'hopeless', 'higher_refused']
Expiry = Callable[[Scheduler, list[Event], str, float], None]

expiries: Registry[Expiry] = make_registry('expiry')


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


def tick(scheduler: Scheduler, now_s: float) -> list[Event]:
    """Do the periodic work: requeue, refuse and dispatch; return the events."""
    events: list[Event] = []
    requeue_expired(scheduler, events)
    watch_links(scheduler, events, now_s)
    refuse_quarantined(scheduler, events, now_s)
    expire = expiries.find(scheduler.options.discipline)
    for target in scheduler.queues:
        with isolate_fault('queue', target=target):
            expire(scheduler, events, target, now_s)
        events.extend(dispatch_queued(scheduler, target, now_s))
    return events


@expiries.register('immediate')
@expiries.register('tiered')
def expire_by_tier(
    scheduler: Scheduler, events: list[Event], target: str, now_s: float
) -> None:
    """Refuse requests that cannot meet their deadline, lowest tiers first."""
    _apply_floor(scheduler, events, target)
    for rank in ranks(queue_of(scheduler, target)):
        _refuse_infeasible(scheduler, events, target, rank, now_s)


@expiries.register('shared')
def expire_overdue(
    scheduler: Scheduler, events: list[Event], target: str, now_s: float
) -> None:
    """Refuse requests that have been queued for as long as allowed."""
    queue = queue_of(scheduler, target)
    short = {
        rank
        for rank in ranks(queue)
        if capacity_ratio(scheduler, target, rank, now_s) < 1
    }
    for entry in list(queue.waiting.values()):
        state = scheduler.requests.get(entry.request_id)
        if state is None:
            continue
        is_short = entry.rank in short
        if is_short and is_hopeless(scheduler, state, now_s):
            error = _overdue_error(scheduler, state, 'hopeless', now_s)
            refuse(scheduler, events, state, error)
        elif now_s >= _queue_deadline_s(state, is_short=is_short):
            _refuse_lower(scheduler, events, entry, now_s)
            error = _overdue_error(scheduler, state, 'no_place', now_s)
            refuse(scheduler, events, state, error)


def _refuse_lower(
    scheduler: Scheduler,
    events: list[Event],
    refused: QueuedRequest,
    now_s: float,
) -> None:
    """Refuse what is queued below the rank of a request that is refused."""
    target = scheduler.requests[refused.request_id].request.target
    for entry in requests_below(queue_of(scheduler, target), refused.rank):
        state = scheduler.requests[entry.request_id]
        error = _overdue_error(scheduler, state, 'higher_refused', now_s)
        refuse(scheduler, events, state, error)


def _queue_deadline_s(state: RequestState, *, is_short: bool) -> float:
    """Return the time until which the request may stay queued.

    While capacity ``is_short``, waiting makes it late; its caller is told
    early, to try again in time, and those behind it are not late because of it.
    A request that was sent before may wait longer, for a retry: for a share
    of the time in which a response is of use to its caller.
    """
    request = state.request
    if not state.attempts:
        share = SHORT_WAIT_SHARE if is_short else 1.0
        return request.arrived_at_s + request.tier.first_token_s * share
    left_s = request.ends_at_s - request.arrived_at_s
    return request.arrived_at_s + left_s * RETRY_QUEUE_SHARE


def _overdue_error(
    scheduler: Scheduler, state: RequestState, rule: ShedRule, now_s: float
) -> RefusalError:
    """Return the refusal of a request that was queued for too long.

    It tells by which rule, and which ratio of its rank can be sent, so that a
    starved rank can be told from one that asks for too much.
    """
    scheduler.counters['sheds', rule] += 1
    if execution_status(state) == 'unknown':
        return UpstreamFailedError('no upstream for another attempt')
    request = state.request
    rank = request.tier.rank
    ratio = capacity_ratio(scheduler, request.target, rank, now_s)
    wait_s = retry_after_s(scheduler, request, ratio, now_s)
    return ShedError(
        f'no place in time ({rule}, rank {rank}, ratio {ratio:.2f})',
        retry_after_s=wait_s,
    )


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
