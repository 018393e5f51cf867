"""Handles a caller's request over one or more attempts."""

from typing import Final

import logbook
import trio

from bluebellhub.adapters.attempt_control import cancellable
from bluebellhub.adapters.exchange import make_exchange
from bluebellhub.adapters.node import (
    discard_attempt,
    execute_events,
    release_request,
    start_request,
)
from bluebellhub.adapters.proxy.attempt import run_attempt
from bluebellhub.adapters.proxy.caller_connection import (
    CallerConnection,
    CallerGoneError,
    ReceivedRequest,
    abort_response,
    send_refusal,
    watch_disconnect,
)
from bluebellhub.adapters.proxy.http_exchange import CALLER_GONE
from bluebellhub.adapters.proxy.peer_forwarding import (
    forward_to_peer,
    may_forward,
)
from bluebellhub.adapters.proxy.peer_heads import (
    read_attempts,
    without_peer_headers,
)
from bluebellhub.adapters.proxy.response_forwarding import send_buffered
from bluebellhub.adapters.proxy.state import (
    Proxy,
    RequestContext,
    make_request_context,
)
from bluebellhub.clock import now_s
from bluebellhub.latencies import record_request
from bluebellhub.reachability import is_cut_off
from bluebellhub.request import (
    AttemptFailure,
    RefusalError,
    Request,
    RequestState,
    execution_status,
)
from bluebellhub.request.refusal import (
    AnswerTimeoutError,
    CutOffError,
    ShedError,
)
from bluebellhub.scheduler import Dispatch, attempt_failed, response_ended
from bluebellhub.site.admission import (
    UNLIMITED,
    Admission,
    admit_request,
    refund,
)
from bluebellhub.site.liveness import live_vm_names
from bluebellhub.upstream import Upstream

__all__ = ['handle_request']

RETRY_AFTER_S: Final = 1.0
MS_PER_S: Final = 1000
LOGGED_PARTS_MAX: Final = 8

log = logbook.Logger('bluebellhub.passing')


async def handle_request(
    proxy: Proxy, connection: CallerConnection, received: ReceivedRequest
) -> None:
    """Forward a request, or refuse it; raises `CallerGoneError`."""
    try:
        received, admission = _admit(proxy, connection, received)
    except RefusalError as error:
        _log_refused(received, error)
        await send_refusal(connection, error)
        return
    request = admission.request
    exchange = make_exchange(request.request_id, b'')
    context = make_request_context(received, admission, connection, exchange)
    if is_cut_off(proxy.node.scheduler.links):
        exchange.decision_sender.send_nowait(_cut_off_error(request))
    else:
        start_request(proxy.node, request, UNLIMITED, exchange)
    try:
        await _run_until_deadline(proxy, context)
    finally:
        release_request(proxy.node, request.request_id)
        _log_end(proxy, context)


def _admit(
    proxy: Proxy, connection: CallerConnection, received: ReceivedRequest
) -> tuple[ReceivedRequest, Admission]:
    """Admit a request, or raise its refusal.

    A request that another VM has forwarded is returned as its caller sent it.
    A VM that is cut off forwards what it admits, if a caller has sent it.
    """
    is_isolated = is_cut_off(proxy.node.scheduler.links)
    head = received.head
    attempts_max = None
    if connection.is_peer:
        attempts_max = read_attempts(head)
        headers = without_peer_headers(head.forwarded_headers)
        received = received._replace(
            head=head._replace(forwarded_headers=headers)
        )
        if is_isolated:
            raise CutOffError('the VM reaches no upstream')
    admission = admit_request(
        proxy.site,
        received.head,
        now_s(),
        read_s=received.read_s,
        is_served_here=not is_isolated,
    )
    if attempts_max is None:
        return received, admission
    request = admission.request
    attempts_max = min(attempts_max, request.executions_max)
    request = request._replace(executions_max=attempts_max)
    return received, admission._replace(request=request)


def _cut_off_error(request: Request) -> CutOffError:
    """Return the refusal of a request that arrives at a VM without links."""
    return CutOffError(
        'the VM reaches no upstream',
        retry_after_s=RETRY_AFTER_S,
        attempts_left=request.executions_max,
    )


async def _run_until_deadline(proxy: Proxy, context: RequestContext) -> None:
    """Run attempts until the deadline or until the caller disconnects."""
    remaining_s = context.admission.request.ends_at_s - now_s()
    async with trio.open_nursery() as nursery:
        scope = nursery.cancel_scope
        scope.deadline = trio.current_time() + remaining_s
        nursery.start_soon(watch_disconnect, context.connection, scope)
        await _run_attempts(proxy, context)
        scope.cancel()
    if context.progress['outcome']:
        return
    if context.connection.state['is_gone']:
        _set_outcome(context, CALLER_GONE)
        return
    await _end_at_deadline(proxy, context)


async def _run_attempts(proxy: Proxy, context: RequestContext) -> None:
    """Run attempts until one succeeds or no other is allowed."""
    while not context.progress['outcome']:
        decision = await context.exchange.decision_receiver.receive()
        try:
            await _apply_decision(proxy, context, decision)
        except CallerGoneError:
            _set_outcome(context, CALLER_GONE)


async def _apply_decision(
    proxy: Proxy, context: RequestContext, decision: Dispatch | RefusalError
) -> None:
    """Run an attempt or refuse the request, as the scheduler decided."""
    if isinstance(decision, CutOffError) and may_forward(context, decision):
        await _forward(proxy, context, decision)
    elif isinstance(decision, RefusalError):
        await _end_without_success(proxy, context, decision)
    else:
        await _run_dispatch(proxy, context, decision)


async def _forward(
    proxy: Proxy, context: RequestContext, decision: CutOffError
) -> None:
    """Have another VM serve the request, which counts in its limits there."""
    refund(proxy.site, context.admission)
    admission = context.admission._replace(cost=0.0)
    context = context._replace(admission=admission)
    context.progress['was_sent'] = decision.run == 'unknown'
    error = await forward_to_peer(proxy, context, decision)
    if error is not None:
        await _end_without_success(proxy, context, error)


async def _run_dispatch(
    proxy: Proxy, context: RequestContext, dispatch: Dispatch
) -> None:
    """Run one attempt and report its result to the scheduler.

    The result of an attempt that the scheduler has cancelled does not matter;
    its next decision on the request follows.
    """
    scheduler = proxy.node.scheduler
    control = proxy.node.attempts.get((dispatch.request_id, dispatch.attempt))
    if control is None:
        return
    upstream = scheduler.upstreams.get(dispatch.upstream)
    failure: AttemptFailure | None = AttemptFailure('connect_failed', 'gone')
    if upstream is not None:
        context.progress['upstream'] = dispatch.upstream
        _log_sent(proxy, context, upstream)
        with cancellable(control):
            failure = await run_attempt(proxy, context, upstream.spec)
    discard_attempt(proxy.node, dispatch)
    if control['cancelled']:
        return
    if failure is None:
        events = response_ended(
            scheduler,
            dispatch.request_id,
            now_s(),
            is_error=context.progress['is_error'],
        )
        execute_events(proxy.node, events)
        _set_outcome(context, 'answered')
    elif failure.kind == CALLER_GONE:
        _set_outcome(context, CALLER_GONE)
    else:
        _report_failure(proxy, context, dispatch, failure)


def _set_outcome(context: RequestContext, outcome: str) -> None:
    context.progress['outcome'] = outcome


def _report_failure(
    proxy: Proxy,
    context: RequestContext,
    dispatch: Dispatch,
    failure: AttemptFailure,
) -> None:
    """Report a failed attempt; the scheduler decides what follows.

    The log tells an upstream that fails while it processes a prompt from one
    that fails later: no token has arrived from the first.
    """
    log.info(
        'attempt failed',
        extra={
            'request': context.received.head.request_id,
            'upstream': dispatch.upstream,
            'kind': failure.kind,
            'detail': failure.detail,
            'attempt': dispatch.attempt,
            'tokens': context.progress['tokens'],
            'prompt_parts': context.received.head.prompt_parts[
                :LOGGED_PARTS_MAX
            ],
        },
    )
    events = attempt_failed(
        proxy.node.scheduler, dispatch.request_id, failure, now_s()
    )
    execute_events(proxy.node, events)


async def _end_without_success(
    proxy: Proxy, context: RequestContext, error: RefusalError
) -> None:
    """End a request for which no attempt succeeded.

    A response in progress is truncated.  Otherwise the caller receives an
    upstream's error response, if there is one, or else the refusal.
    """
    _set_outcome(context, error.reason)
    buffered = context.progress['held']
    if error.run == 'no':
        refund(proxy.site, context.admission)
    if context.progress['has_begun']:
        abort_response(context.connection)
    elif buffered:
        _set_outcome(context, 'failure_passed')
        await send_buffered(context, buffered)
    else:
        await send_refusal(context.connection, error)


async def _end_at_deadline(proxy: Proxy, context: RequestContext) -> None:
    """End a request at its deadline.

    The refusal states whether the request was certainly not executed.
    """
    state = proxy.node.scheduler.requests.get(
        context.admission.request.request_id
    )
    error: RefusalError = AnswerTimeoutError(
        'no response within the time limit', run='unknown'
    )
    if _is_unsent(context, state):
        error = ShedError(
            'no capacity within the time limit', retry_after_s=RETRY_AFTER_S
        )
    with trio.move_on_after(RETRY_AFTER_S):
        await _end_without_success(proxy, context, error)


def _is_unsent(context: RequestContext, state: RequestState | None) -> bool:
    """Return whether neither an upstream nor another VM got the request."""
    if state is None:
        progress = context.progress
        return progress['forwarding'] == 'unsent' and not progress['was_sent']
    return execution_status(state) == 'no'


def _log_refused(received: ReceivedRequest, error: RefusalError) -> None:
    log.info(
        'refused',
        extra={
            'request': received.head.request_id,
            'reason': error.reason,
            'detail': str(error),
        },
    )


def _log_sent(
    proxy: Proxy, context: RequestContext, upstream: Upstream
) -> None:
    """Log a dispatch and the data behind the choice of the upstream.

    These are the loads, the predicted time and the number of live VMs.
    """
    now = now_s()
    request = context.admission.request
    work = upstream.work.get(request.request_id)
    table = proxy.site.active_config['table']
    log.info(
        'sent',
        extra={
            'request': context.received.head.request_id,
            'upstream': upstream.spec.name,
            'waited_ms': round((now - request.arrived_at_s) * MS_PER_S),
            'own_work': len(upstream.work),
            'others_work': upstream.other_vms_work,
            'predicted_ms': round(work.predicted_s * MS_PER_S)
            if work
            else None,
            'heard_vms': len(live_vm_names(proxy.site, now)),
            'known_vms': len(proxy.site.vms),
            'configuration': table.version if table else None,
        },
    )


def _log_end(proxy: Proxy, context: RequestContext) -> None:
    """Record the end of a request in the metrics and the log."""
    request = context.admission.request
    priority = context.admission.priority
    outcome = context.progress['outcome'] or 'cancelled'
    duration_s = now_s() - request.arrived_at_s
    first_at_s = context.progress['first_at_s']
    first_s = None if first_at_s is None else first_at_s - request.arrived_at_s
    proxy.node.scheduler.counters['ends', outcome] += 1
    record_request(
        proxy.node.latencies, request.target, outcome, duration_s, first_s
    )
    log.info(
        'ended',
        extra={
            'request': context.received.head.request_id,
            'account': request.account,
            'route': request.route,
            'rank': priority.account,
            'route_rank': priority.route,
            'limit_ms': round((request.time_limit_s or 0.0) * MS_PER_S),
            'upstream': context.progress['upstream'],
            'outcome': outcome,
            'took_ms': round(duration_s * MS_PER_S),
            'first_ms': None if first_s is None else round(first_s * MS_PER_S),
            'events': context.progress['position'].last_id,
        },
    )
