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
from bluebellhub.adapters.proxy.admitting import (
    admit_received,
    make_cut_off_error,
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
from bluebellhub.adapters.proxy.peer_forwarding import forward_to_peer
from bluebellhub.adapters.proxy.request_logs import (
    FirstDecision,
    log_end,
    log_refused,
    log_sent,
    record_first_decision,
)
from bluebellhub.adapters.proxy.response_forwarding import send_buffered
from bluebellhub.adapters.proxy.state import (
    Proxy,
    RequestContext,
    make_request_context,
)
from bluebellhub.clock import now_s
from bluebellhub.reachability import is_cut_off
from bluebellhub.request import (
    AttemptFailure,
    RefusalError,
    RequestState,
    execution_status,
)
from bluebellhub.request.refusal import (
    AnswerTimeoutError,
    CutOffError,
    ShedError,
)
from bluebellhub.scheduler import Dispatch, attempt_failed, response_ended
from bluebellhub.site.admission import UNLIMITED, refund
from bluebellhub.site.peer_choice import may_forward

__all__ = ['handle_request']

RETRY_AFTER_S: Final = 1.0
LOGGED_PARTS_MAX: Final = 8

log = logbook.Logger('bluebellhub.passing')


async def handle_request(
    proxy: Proxy, connection: CallerConnection, received: ReceivedRequest
) -> None:
    """Forward a request, or refuse it; raises `CallerGoneError`."""
    try:
        received, admission = admit_received(proxy, connection, received)
    except RefusalError as error:
        log_refused(received, error)
        record_first_decision(proxy, received, 'refused')
        await send_refusal(connection, error)
        return
    request = admission.request
    exchange = make_exchange(request.request_id, b'')
    context = make_request_context(received, admission, connection, exchange)
    if is_cut_off(proxy.node.scheduler.links):
        exchange.decision_sender.send_nowait(make_cut_off_error(request))
    else:
        start_request(proxy.node, request, UNLIMITED, exchange)
    try:
        await _run_until_deadline(proxy, context)
    finally:
        release_request(proxy.node, request.request_id)
        log_end(proxy, context)


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
    is_first = True
    while not context.progress['outcome']:
        decision = await context.exchange.decision_receiver.receive()
        if is_first:
            record_first_decision(
                proxy, context.received, _name_decision(decision)
            )
        is_first = False
        try:
            await _apply_decision(proxy, context, decision)
        except CallerGoneError:
            _set_outcome(context, CALLER_GONE)


def _name_decision(decision: Dispatch | RefusalError) -> FirstDecision:
    """Return what the scheduler decided, as the metrics name it."""
    if isinstance(decision, CutOffError):
        return 'forwarded'
    return 'refused' if isinstance(decision, RefusalError) else 'sent'


async def _apply_decision(
    proxy: Proxy, context: RequestContext, decision: Dispatch | RefusalError
) -> None:
    """Run an attempt or refuse the request, as the scheduler decided."""
    if isinstance(decision, CutOffError):
        await _forward(proxy, context, decision)
    elif isinstance(decision, RefusalError):
        await _end_without_success(proxy, context, decision)
    else:
        await _run_dispatch(proxy, context, decision)


async def _forward(
    proxy: Proxy, context: RequestContext, decision: CutOffError
) -> None:
    """Have another VM serve the request, which counts in its limits there.

    One that another VM has forwarded to this one is refused instead.
    """
    request = context.admission.request
    if context.connection.is_peer or not may_forward(request, decision):
        await _end_without_success(proxy, context, decision)
        return
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
        log_sent(proxy, context, upstream)
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
