"""A caller's request, over as many attempts as its answer takes."""

from typing import Final

import logbook
import trio

from bluebellhub.adapters.exchange import make_exchange
from bluebellhub.adapters.node import (
    discard_attempt,
    execute_events,
    release_request,
    start_request,
)
from bluebellhub.adapters.proxy.attempt import CALLER_GONE, run_attempt
from bluebellhub.adapters.proxy.caller_connection import (
    Call,
    CallerGoneError,
    CallerLink,
    abort,
    send_refusal,
    watch_caller,
)
from bluebellhub.adapters.proxy.response_forwarding import pass_held
from bluebellhub.adapters.proxy.state import Job, Proxy, make_job
from bluebellhub.clock import now_s
from bluebellhub.latencies import note_end
from bluebellhub.request import (
    AttemptFailure,
    RefusalError,
    execution_status,
)
from bluebellhub.request.refusal import AnswerTimeoutError, ShedError
from bluebellhub.scheduler import Dispatch, attempt_failed, response_ended
from bluebellhub.site.admission import UNLIMITED, admit_request, refund
from bluebellhub.site.liveness import live_vm_names
from bluebellhub.upstream import Upstream

__all__ = ['answer_call']

LATE_RETRY_S: Final = 1.0
MS_PER_S: Final = 1000

log = logbook.Logger('bluebellhub.passing')


async def answer_call(passing: Proxy, link: CallerLink, call: Call) -> None:
    """Answer a request, or refuse it; raises `CallerGoneError`."""
    try:
        admission = admit_request(passing.site, call.head, now_s())
    except RefusalError as error:
        _log_refused(call, error)
        await send_refusal(link, error)
        return
    request = admission.request
    exchange = make_exchange(request.request_id, b'')
    job = make_job(call, admission, link, exchange)
    start_request(passing.node, request, UNLIMITED, exchange)
    try:
        await _answer_in_time(passing, job)
    finally:
        release_request(passing.node, request.request_id)
        _log_end(passing, job)


async def _answer_in_time(passing: Proxy, job: Job) -> None:
    """Cancel the attempts when time is up or the caller goes away."""
    left_s = job.admission.request.ends_at_s - now_s()
    async with trio.open_nursery() as nursery:
        scope = nursery.cancel_scope
        scope.deadline = trio.current_time() + left_s
        nursery.start_soon(watch_caller, job.link, scope)
        await _run_attempts(passing, job)
        scope.cancel()
    if job.progress['outcome']:
        return
    if job.link.state['is_gone']:
        _set_outcome(job, CALLER_GONE)
        return
    await _time_out(passing, job)


async def _run_attempts(passing: Proxy, job: Job) -> None:
    """Make attempts until one ends well or none may follow."""
    while not job.progress['outcome']:
        decision = await job.exchange.decision_receiver.receive()
        try:
            await _carry_decision(passing, job, decision)
        except CallerGoneError:
            _set_outcome(job, CALLER_GONE)


async def _carry_decision(
    passing: Proxy, job: Job, decision: Dispatch | RefusalError
) -> None:
    if isinstance(decision, RefusalError):
        await _give_up(passing, job, decision)
    else:
        await _try_once(passing, job, decision)


async def _try_once(passing: Proxy, job: Job, dispatch: Dispatch) -> None:
    scheduler = passing.node.scheduler
    upstream = scheduler.upstreams.get(dispatch.upstream)
    failure: AttemptFailure | None = AttemptFailure('connect_failed', 'gone')
    if upstream is not None:
        job.progress['upstream'] = dispatch.upstream
        _log_sent(passing, job, upstream)
        failure = await run_attempt(passing, job, upstream.spec)
    discard_attempt(passing.node, dispatch)
    if failure is None:
        events = response_ended(scheduler, dispatch.request_id, now_s())
        execute_events(passing.node, events)
        _set_outcome(job, 'answered')
    elif failure.kind == CALLER_GONE:
        _set_outcome(job, CALLER_GONE)
    else:
        _fail(passing, job, dispatch, failure)


def _set_outcome(job: Job, outcome: str) -> None:
    job.progress['outcome'] = outcome


def _fail(
    passing: Proxy, job: Job, dispatch: Dispatch, failure: AttemptFailure
) -> None:
    """Let the scheduler decide what follows a failed attempt."""
    log.info(
        'attempt failed',
        extra={
            'request': job.call.head.request_id,
            'upstream': dispatch.upstream,
            'kind': failure.kind,
            'detail': failure.detail,
        },
    )
    events = attempt_failed(
        passing.node.scheduler, dispatch.request_id, failure, now_s()
    )
    execute_events(passing.node, events)


async def _give_up(passing: Proxy, job: Job, error: RefusalError) -> None:
    """End the request with what is known of it."""
    _set_outcome(job, error.reason)
    held = job.progress['held']
    if error.run == 'no':
        refund(passing.site, job.admission)
    if job.progress['has_begun']:
        abort(job.link)
    elif held:
        _set_outcome(job, 'failure_passed')
        await pass_held(job, held)
    else:
        await send_refusal(job.link, error)


async def _time_out(passing: Proxy, job: Job) -> None:
    state = passing.node.scheduler.requests.get(
        job.admission.request.request_id
    )
    error: RefusalError = AnswerTimeoutError('no answer', run='unknown')
    if state and execution_status(state) == 'no':
        error = ShedError('no place in time', retry_after_s=LATE_RETRY_S)
    with trio.move_on_after(LATE_RETRY_S):
        await _give_up(passing, job, error)


def _log_refused(call: Call, error: RefusalError) -> None:
    log.info(
        'refused',
        extra={
            'request': call.head.request_id,
            'reason': error.reason,
            'detail': str(error),
        },
    )


def _log_sent(passing: Proxy, job: Job, upstream: Upstream) -> None:
    """Tell what decided the choice: loads, speed, and the news' age."""
    now = now_s()
    request = job.admission.request
    work = upstream.work.get(request.request_id)
    table = passing.site.active_config['table']
    log.info(
        'sent',
        extra={
            'request': job.call.head.request_id,
            'upstream': upstream.spec.name,
            'waited_ms': round((now - request.arrived_at_s) * MS_PER_S),
            'own_work': len(upstream.work),
            'others_work': upstream.other_vms_work,
            'predicted_ms': round(work.predicted_s * MS_PER_S)
            if work
            else None,
            'heard_vms': len(live_vm_names(passing.site, now)),
            'known_vms': len(passing.site.vms),
            'configuration': table.version if table else None,
        },
    )


def _log_end(passing: Proxy, job: Job) -> None:
    request = job.admission.request
    priority = job.admission.priority
    outcome = job.progress['outcome'] or 'cancelled'
    took_s = now_s() - request.arrived_at_s
    first_at_s = job.progress['first_at_s']
    first_s = None if first_at_s is None else first_at_s - request.arrived_at_s
    passing.node.scheduler.counters['ends', outcome] += 1
    note_end(passing.node.latencies, request.target, outcome, took_s, first_s)
    log.info(
        'ended',
        extra={
            'request': job.call.head.request_id,
            'account': request.account,
            'route': request.route,
            'rank': priority.account,
            'route_rank': priority.route,
            'limit_ms': round((request.time_limit_s or 0.0) * MS_PER_S),
            'upstream': job.progress['upstream'],
            'outcome': outcome,
            'took_ms': round(took_s * MS_PER_S),
            'first_ms': None if first_s is None else round(first_s * MS_PER_S),
            'events': job.progress['last_event'],
        },
    )
