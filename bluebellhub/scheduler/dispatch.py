"""Dispatch of queued requests to upstreams, in the order of the queue."""

from collections.abc import Sequence
from typing import Final, NamedTuple

from bluebellhub.admission import (
    Queue,
    QueuedRequest,
    charge,
    head,
    heads,
    remove,
)
from bluebellhub.backpressure import record_limited_send
from bluebellhub.faults import report_fault
from bluebellhub.rates import record_cold_send
from bluebellhub.reachability import is_doubtful
from bluebellhub.request import RequestState, begin_attempt
from bluebellhub.request.refusal import InternalError
from bluebellhub.routing import Candidate, policies, record_blocks
from bluebellhub.scheduler.candidate import (
    make_candidate,
    unreported_requests,
)
from bluebellhub.scheduler.capacity import (
    Placement,
    has_capacity,
    prefer_unblocked,
    unblocked_names,
)
from bluebellhub.scheduler.credit import (
    charge_credit,
    forget_balance,
    is_within_share,
)
from bluebellhub.scheduler.eligibility import is_eligible
from bluebellhub.scheduler.events import Dispatch, Event
from bluebellhub.scheduler.finish import refuse
from bluebellhub.scheduler.preemption import all_slots_used, find_victim
from bluebellhub.scheduler.requeueing import requeue
from bluebellhub.scheduler.room import may_have_room
from bluebellhub.scheduler.state import (
    Scheduler,
    queue_of,
    signals_of,
    upstreams_for,
)
from bluebellhub.upstream import Upstream, add_work
from bluebellhub.version_move.gate import count_dispatch

__all__ = ['candidates_for', 'dispatch_queued', 'start_attempt']

PREEMPT_SLACK_SHARE: Final = 0.5


class Peers(NamedTuple):
    """The upstreams of one target, at least one.

    ``unblocked`` names those that receive no long prefill of lower tiers, and
    ``unreported`` estimates how many requests each got since its last report.
    """

    upstreams: Sequence[Upstream]
    unblocked: frozenset[str]
    unreported: float


def dispatch_queued(
    scheduler: Scheduler, target: str, now_s: float
) -> list[Event]:
    """Dispatch queued requests while an upstream has capacity for the head.

    A request close to its deadline may preempt one of a lower tier.  None is
    dispatched while it is open whether this VM reaches upstreams at all.
    """
    events: list[Event] = []
    if is_doubtful(scheduler.links):
        return events
    queue = queue_of(scheduler, target)
    forget_balance(scheduler, target)
    is_changed = True
    while is_changed:
        is_changed = any(
            _try_dispatch(scheduler, events, queue, entry, now_s)
            for entry in _next_entries(scheduler, queue)
        )
    return events


def _next_entries(scheduler: Scheduler, queue: Queue) -> list[QueuedRequest]:
    """Return the requests to dispatch, the first that is possible of them."""
    if scheduler.options.discipline == 'shared':
        return heads(queue)
    entry = head(queue)
    return [] if entry is None else [entry]


def _try_dispatch(
    scheduler: Scheduler,
    events: list[Event],
    queue: Queue,
    entry: QueuedRequest,
    now_s: float,
) -> bool:
    """Return whether the request left the queue, also because of an error."""
    try:
        return _dispatch_entry(scheduler, events, queue, entry, now_s)
    except Exception as error:
        report_fault(error, 'dispatch', request=entry.request_id)
        _refuse_entry(scheduler, events, queue, entry)
        return True


def _refuse_entry(
    scheduler: Scheduler,
    events: list[Event],
    queue: Queue,
    entry: QueuedRequest,
) -> None:
    """Refuse the request that could not be dispatched for an error."""
    remove(queue, entry.request_id)
    state = scheduler.requests.get(entry.request_id)
    if state is not None:
        refuse(scheduler, events, state, InternalError('dispatch failed'))


def _dispatch_entry(
    scheduler: Scheduler,
    events: list[Event],
    queue: Queue,
    entry: QueuedRequest,
    now_s: float,
) -> bool:
    """Dispatch a queued request; return false if it stays queued."""
    state = scheduler.requests[entry.request_id]
    if not is_within_share(scheduler, state.request, now_s):
        return False
    candidates = candidates_for(scheduler, state, now_s)
    if not candidates:
        return _preempt(scheduler, events, state, now_s)
    candidates = prefer_unblocked(scheduler, state.request, candidates)
    policy = policies.find(scheduler.options.policy)
    decisions = scheduler.flags['decisions']
    chosen = policy(candidates, scheduler.random, decisions)
    scheduler.flags['decisions'] = decisions + 1
    remove(queue, entry.request_id)
    charge(queue, entry)
    events.append(start_attempt(scheduler, state, chosen, now_s))
    charge_credit(scheduler, state.request)
    return True


def candidates_for(
    scheduler: Scheduler, state: RequestState, now_s: float
) -> list[Candidate]:
    """Return the eligible upstreams that have capacity for the request now."""
    found: list[Candidate] = []
    peers = _make_peers(scheduler, state.request.target, now_s)
    if peers is None:
        return found
    for upstream in peers.upstreams:
        try:
            candidate = _find_candidate(
                scheduler, state, upstream, peers, now_s
            )
        except Exception as error:
            name = upstream.spec.name
            report_fault(error, 'upstream', upstream=name)
            continue
        if candidate is not None:
            found.append(candidate)
    return found


def _make_peers(
    scheduler: Scheduler, target: str, now_s: float
) -> Peers | None:
    """Return the upstreams of a target; ``None`` if nothing serves it."""
    upstreams = upstreams_for(scheduler, target)
    if not upstreams:
        return None
    return Peers(
        upstreams,
        unblocked_names(scheduler, target, upstreams),
        unreported_requests(scheduler, target, len(upstreams), now_s),
    )


def _find_candidate(
    scheduler: Scheduler,
    state: RequestState,
    upstream: Upstream,
    peers: Peers,
    now_s: float,
) -> Candidate | None:
    """Return the upstream as a candidate if it may get the request now."""
    request = state.request
    if not may_have_room(scheduler, request.target, upstream, now_s):
        return None
    if not is_eligible(scheduler, request, upstream, now_s):
        return None
    candidate = make_candidate(
        scheduler, state, upstream, now_s, peers.unreported
    )
    placement = Placement(
        scheduler,
        upstream,
        peers.upstreams,
        peers.unblocked,
        request,
        candidate,
        now_s,
    )
    return candidate if has_capacity(placement) else None


def start_attempt(
    scheduler: Scheduler, state: RequestState, chosen: Candidate, now_s: float
) -> Dispatch:
    """Start an attempt at the chosen upstream and return its event."""
    request = state.request
    upstream = scheduler.upstreams[chosen.upstream]
    gate = scheduler.moves.get(request.target)
    if gate is not None:
        scheduler.moves[request.target] = count_dispatch(
            gate, upstream.spec.version, request.route, now_s
        )
    add_work(
        upstream,
        request.request_id,
        request.tier.rank,
        chosen.uncached_tokens,
        now_s,
    )
    if upstream.cold_rate is not None and upstream.spec.cold_per_s:
        share_per_s = scheduler.cold_share(upstream)
        scheduler.upstreams[chosen.upstream] = upstream._replace(
            cold_rate=record_cold_send(upstream.cold_rate, share_per_s, now_s)
        )
    record_limited_send(scheduler.rate_limits, chosen.upstream, now_s)
    signals = signals_of(scheduler, chosen.upstream)
    signals['peak'] = max(signals['peak'], len(upstream.work))
    record_blocks(scheduler.prefixes, chosen.upstream, request.prefix_blocks)
    started = begin_attempt(state, chosen.upstream, now_s)
    scheduler.requests[request.request_id] = started
    scheduler.counters['dispatches', request.tier.name] += 1
    return Dispatch(
        request.request_id, chosen.upstream, started.attempts, state.tokens
    )


def _preempt(
    scheduler: Scheduler, events: list[Event], state: RequestState, now_s: float
) -> bool:
    """Dispatch an urgent request in place of one of a lower tier.

    Return false if it is not urgent or no request can be preempted.
    """
    request = state.request
    slack_s = request.deadline_s - now_s
    if scheduler.options.discipline != 'tiered':
        return False
    if slack_s > request.tier.first_token_s * PREEMPT_SLACK_SHARE:
        return False
    full = all_slots_used(scheduler, request, now_s)
    victim = find_victim(scheduler, request, now_s, unprefilled=not full)
    if victim is None:
        return False
    freed = victim.attempt
    requeue(scheduler, events, victim)
    scheduler.counters['preemptions', victim.request.tier.name] += 1
    upstream = scheduler.upstreams[freed.upstream] if freed else None
    if upstream is None:
        return False
    candidate = make_candidate(scheduler, state, upstream, now_s)
    remove(queue_of(scheduler, request.target), request.request_id)
    events.append(start_attempt(scheduler, state, candidate, now_s))
    return True
