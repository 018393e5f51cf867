"""Refusal of requests that have been queued for too long.

This is for VMs that share the upstreams without owners of slots.
"""

from typing import Final, Literal

from bluebellhub.admission import QueuedRequest, ranks, requests_below
from bluebellhub.request import RefusalError, RequestState, execution_status
from bluebellhub.request.refusal import ShedError, UpstreamFailedError
from bluebellhub.scheduler.candidate import is_hopeless
from bluebellhub.scheduler.credit import (
    capacity_ratio,
    forget_balance,
    retry_after_s,
)
from bluebellhub.scheduler.events import Event
from bluebellhub.scheduler.expiries import expiries
from bluebellhub.scheduler.finish import refuse
from bluebellhub.scheduler.state import Scheduler, queue_of

__all__ = ['expire_overdue']

RETRY_QUEUE_SHARE: Final = 0.6
# Part of the longest wait in the queue after which a request is refused while
# the upstreams cannot take all requests.
SHORT_WAIT_SHARE: Final = 0.3
# Why a queued request is refused: nothing has room in time, not even an idle
# upstream would be in time, or a request of a higher rank has no place either.
ShedRule = Literal['no_place', 'hopeless', 'higher_refused']


@expiries.register('shared')
def expire_overdue(
    scheduler: Scheduler, events: list[Event], target: str, now_s: float
) -> None:
    """Refuse requests that have been queued for as long as allowed."""
    queue = queue_of(scheduler, target)
    forget_balance(scheduler, target)
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
