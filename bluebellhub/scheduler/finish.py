"""End of a request: refusal, and release of the resources it holds."""

from bluebellhub.admission import remove
from bluebellhub.contract import release
from bluebellhub.invariants import check_invariant
from bluebellhub.request import (
    RefusalError,
    RequestState,
    end_attempt,
    execution_status,
)
from bluebellhub.scheduler.events import Cancel, Event, Refuse
from bluebellhub.scheduler.state import Scheduler
from bluebellhub.upstream import remove_work

__all__ = ['close_request', 'refuse', 'release_attempt']


def refuse(
    scheduler: Scheduler,
    events: list[Event],
    state: RequestState,
    error: RefusalError,
    *,
    counted: bool = True,
) -> None:
    """End a request with a refusal that states whether it was executed.

    Asserts that the statement is true.  ``counted`` is false if the request
    was not added to the account's usage.
    """
    status = execution_status(state)
    error.run = status if error.run == 'no' else error.run
    check_invariant(
        'not_run_is_true',
        holds=error.run == 'unknown' or status == 'no',
        detail=state.request.request_id,
    )
    scheduler.counters['refusals', error.reason] += 1
    error.counted = True
    events.append(Refuse(state.request.request_id, error))
    close_request(scheduler, events, state, counted=counted)


def close_request(
    scheduler: Scheduler,
    events: list[Event],
    state: RequestState,
    *,
    counted: bool = True,
) -> None:
    """Release a request's slot and queue entry; cancel its current attempt.

    If it is ``counted``, it is also removed from the account's usage.
    """
    request = state.request
    if state.attempt is not None:
        attempt = state.attempt
        events.append(
            Cancel(request.request_id, attempt.upstream, state.attempts)
        )
        release_attempt(scheduler, state)
    queue = scheduler.queues.get(request.target)
    if queue is not None:
        remove(queue, request.request_id)
    if counted and request.account in scheduler.account_usage:
        usage = scheduler.account_usage[request.account]
        scheduler.account_usage[request.account] = release(usage)
    scheduler.requests.pop(request.request_id, None)


def release_attempt(
    scheduler: Scheduler, state: RequestState, *, not_executed: bool = False
) -> RequestState:
    """End the current attempt and free its slot at the upstream.

    ``not_executed`` states that the upstream guarantees that it did not
    execute the request.
    """
    if state.attempt is None:
        return state
    upstream = scheduler.upstreams.get(state.attempt.upstream)
    if upstream is not None:
        remove_work(upstream, state.request.request_id)
    ended = end_attempt(state, not_executed=not_executed)
    scheduler.requests[state.request.request_id] = ended
    return ended
