"""Progress of requests at upstreams: tokens, completions and failures."""

from bluebellhub.admission import put
from bluebellhub.quarantine import record_passed
from bluebellhub.request import (
    NOT_EXECUTED_KINDS,
    AttemptFailure,
    RequestState,
    may_retry,
    record_sent,
    record_tokens,
)
from bluebellhub.request.refusal import AnswerMismatchError, UpstreamFailedError
from bluebellhub.routing import correct_blocks
from bluebellhub.routing.output_length import record_length
from bluebellhub.scheduler import leaving
from bluebellhub.scheduler.credit import record_plain
from bluebellhub.scheduler.dispatch import dispatch_queued
from bluebellhub.scheduler.events import Event
from bluebellhub.scheduler.failed_attempts import record_restart
from bluebellhub.scheduler.finish import close_request, refuse, release_attempt
from bluebellhub.scheduler.first_tokens import observe_first_token
from bluebellhub.scheduler.links import observe_failure
from bluebellhub.scheduler.outcomes import (
    record_outcome,
    record_step,
    was_abandoned,
    was_slow,
)
from bluebellhub.scheduler.queued_request import make_queued_request
from bluebellhub.scheduler.retry_budgets import earn_credit, retry_budgets
from bluebellhub.scheduler.state import Scheduler, queue_of
from bluebellhub.upstream import (
    LoadReport,
    finish_prefill,
    record_load_report,
)
from bluebellhub.upstream.slowdown import ratio_at
from bluebellhub.upstream.speed import observe_step

__all__ = [
    'apply_load_report',
    'attempt_failed',
    'caller_disconnected',
    'request_sent',
    'response_ended',
    'tokens_arrived',
]


def request_sent(scheduler: Scheduler, request_id: str) -> None:
    """Record that a byte of the request may have reached its upstream."""
    state = scheduler.requests.get(request_id)
    if state is not None:
        scheduler.requests[request_id] = record_sent(state)
        leaving.record_remote_send(scheduler, state)


def tokens_arrived(
    scheduler: Scheduler,
    request_id: str,
    offset: int,
    count: int,
    now_s: float,
) -> list[Event]:
    """Record tokens sent to the caller; the first updates the estimates."""
    state = scheduler.requests[request_id]
    record_step(scheduler, state, now_s)
    scheduler.requests[request_id] = record_tokens(state, offset, count, now_s)
    if state.first_token_at_s is None:
        record_passed(scheduler.quarantine, state.request.prompt_parts, now_s)
    if state.attempt is None:
        return []
    upstream = scheduler.upstreams.get(state.attempt.upstream)
    if upstream is None:
        return []
    work = finish_prefill(upstream, request_id)
    if work is None:
        return []
    observe_first_token(scheduler, state, work, now_s)
    return dispatch_queued(scheduler, state.request.target, now_s)


def response_ended(
    scheduler: Scheduler,
    request_id: str,
    now_s: float,
    cached_tokens: int | None = None,
    *,
    is_error: bool = False,
) -> list[Event]:
    """End a request whose complete response was sent to the caller.

    One that ``is_error`` counts against the version of its upstream.
    """
    state = scheduler.requests[request_id]
    request = state.request
    if state.attempt is not None:
        _observe_end(scheduler, state, now_s, cached_tokens, is_error=is_error)
    record_plain(scheduler, state, now_s)
    ended = release_attempt(scheduler, state)
    earn_credit(scheduler)
    if state.tokens:
        record_length(
            scheduler.lengths, request.account, request.route, state.tokens
        )
    scheduler.counters['answers', request.tier.name] += 1
    close_request(scheduler, [], ended)
    return dispatch_queued(scheduler, request.target, now_s)


def _observe_end(
    scheduler: Scheduler,
    state: RequestState,
    now_s: float,
    cached_tokens: int | None,
    *,
    is_error: bool,
) -> None:
    """Update outcomes, cached blocks and step time from a response."""
    name = state.attempt.upstream if state.attempt else ''
    upstream = scheduler.upstreams.get(name)
    if upstream is None:
        return
    work = upstream.work.get(state.request.request_id)
    if work is not None:
        bad = is_error or was_slow(scheduler, state, work, now_s)
        record_outcome(scheduler, state, upstream.spec.version, bad=bad)
    if cached_tokens is not None:
        correct_blocks(
            scheduler.prefixes,
            name,
            state.request.prefix_blocks,
            cached_tokens,
        )
    first_s = state.first_token_at_s
    if first_s is not None and state.tokens > 1 and state.attempts == 1:
        step_s = (now_s - first_s) / (state.tokens - 1)
        step_s /= ratio_at(upstream.slowdown, now_s)
        scheduler.upstreams[name] = upstream._replace(
            speed=observe_step(upstream.speed, step_s)
        )


def attempt_failed(
    scheduler: Scheduler,
    request_id: str,
    failure: AttemptFailure,
    now_s: float,
) -> list[Event]:
    """End the failed attempt; queue the request again or refuse it."""
    state = scheduler.requests.get(request_id)
    if state is None or state.attempt is None:
        return []
    events: list[Event] = []
    observe_failure(scheduler, events, state, failure, now_s)
    not_executed = failure.kind in NOT_EXECUTED_KINDS
    ended = release_attempt(scheduler, state, not_executed=not_executed)
    if _consume_retry(scheduler, ended, failure, now_s):
        scheduler.counters['retries', failure.kind] += 1
        queue = queue_of(scheduler, ended.request.target)
        put(queue, make_queued_request(scheduler, ended))
    else:
        refuse(scheduler, events, ended, _final_error(failure))
    events.extend(dispatch_queued(scheduler, ended.request.target, now_s))
    return events


def _consume_retry(
    scheduler: Scheduler,
    state: RequestState,
    failure: AttemptFailure,
    now_s: float,
) -> bool:
    """Consume one unit of the retry budget if the rules allow a retry."""
    if not may_retry(state, failure, now_s):
        return False
    consume = retry_budgets.find(scheduler.options.retry_budget)
    if consume(scheduler, state, now_s):
        return True
    scheduler.counters['retries_denied', failure.kind] += 1
    return False


def _final_error(
    failure: AttemptFailure,
) -> AnswerMismatchError | UpstreamFailedError:
    """Return the refusal of a request that is not retried."""
    detail = f'{failure.kind}: {failure.detail}'
    if failure.kind == 'mismatch':
        return AnswerMismatchError(detail)
    return UpstreamFailedError(detail, retry_after_s=1.0)


def apply_load_report(
    scheduler: Scheduler, name: str, report: LoadReport, now_s: float
) -> None:
    """Apply a load report of an upstream; a new boot id means a restart."""
    upstream = scheduler.upstreams.get(name)
    if upstream is None:
        return
    old = upstream.report
    if old is not None and old.boot_id != report.boot_id:
        record_restart(scheduler, name, now_s)
    scheduler.upstreams[name] = record_load_report(upstream, report)


def caller_disconnected(
    scheduler: Scheduler, request_id: str, now_s: float
) -> list[Event]:
    """End a request whose caller has disconnected; free its slot.

    A request that has reached its deadline at an upstream ends here as well.
    """
    state = scheduler.requests.get(request_id)
    if state is None:
        return []
    events: list[Event] = []
    if was_abandoned(scheduler, state, now_s):
        failure = AttemptFailure('abandoned')
        observe_failure(scheduler, events, state, failure, now_s)
    scheduler.counters['callers_left', state.request.tier.name] += 1
    close_request(scheduler, events, state)
    events.extend(dispatch_queued(scheduler, state.request.target, now_s))
    return events
