"""The response of a request as a stream, over one or more attempts."""

from collections.abc import AsyncGenerator
from contextlib import aclosing

import logbook

from bluebellhub.adapters.attempts import (
    AttemptContext,
    Cancelled,
    Completed,
    Hooks,
    run_attempt,
)
from bluebellhub.adapters.connections import Connections, get_pool
from bluebellhub.adapters.exchange import Exchange, Head
from bluebellhub.adapters.memory import make_reservation
from bluebellhub.adapters.node import (
    Node,
    discard_attempt,
    execute_events,
    release_request,
)
from bluebellhub.adapters.time_limits import time_limits
from bluebellhub.clock import now_s
from bluebellhub.request import AttemptFailure, RefusalError
from bluebellhub.scheduler import (
    Dispatch,
    attempt_failed,
    request_sent,
    response_ended,
    tokens_arrived,
)

__all__ = ['stream_response']

log = logbook.Logger('bluebellhub.node')


async def stream_response(
    node: Node, connections: Connections, exchange: Exchange
) -> AsyncGenerator[bytes | Head, None]:
    """Yield the parts of the response, from as many attempts as needed.

    Raises the `RefusalError` that ends the request, if one does.  Frees the
    request's resources at the end, or when the caller disconnects.
    """
    try:
        while not _is_finished(node, exchange):
            event = await _next_dispatch(exchange)
            context = _make_context(node, connections, event, exchange)
            if context is None:
                _report_unsent(node, event)
                continue
            async with aclosing(run_attempt(context)) as parts:
                async for part in parts:
                    if not isinstance(part, bytes | Head):
                        _report_end(node, event, part)
                        break
                    yield part
    finally:
        release_request(node, exchange.request_id)


def _is_finished(node: Node, exchange: Exchange) -> bool:
    """Return whether the request has ended and no refusal is pending."""
    if exchange.request_id in node.scheduler.requests:
        return False
    return not exchange.decision_receiver.statistics().current_buffer_used


async def _next_dispatch(exchange: Exchange) -> Dispatch:
    """Wait for the next attempt; raises `RefusalError` for a refusal."""
    decision = await exchange.decision_receiver.receive()
    if isinstance(decision, RefusalError):
        raise decision
    return decision


def _report_unsent(node: Node, event: Dispatch) -> None:
    """Report an attempt that cannot start, unless it was cancelled before.

    Its upstream was removed after the dispatch; no other decision follows.
    """
    if (event.request_id, event.attempt) in node.attempts:
        _report_end(node, event, AttemptFailure('connect_failed', 'gone'))


def _make_context(
    node: Node, connections: Connections, event: Dispatch, exchange: Exchange
) -> AttemptContext | None:
    """Return the attempt's arguments.

    ``None`` if the attempt is already cancelled, its request has ended or
    its upstream was removed.
    """
    upstream = node.scheduler.upstreams.get(event.upstream)
    state = node.scheduler.requests.get(event.request_id)
    control = node.attempts.get((event.request_id, event.attempt))
    if upstream is None or state is None or control is None:
        return None
    return AttemptContext(
        upstream.spec.kind,
        get_pool(connections, upstream.spec),
        event,
        exchange,
        time_limits(node.settings.limits, state, upstream),
        _make_hooks(node, event),
        control,
        make_reservation(node.memory),
    )


def _make_hooks(node: Node, event: Dispatch) -> Hooks:
    request_id = event.request_id

    def on_sent() -> None:
        request_sent(node.scheduler, request_id)

    def on_tokens(offset: int, count: int) -> None:
        events = tokens_arrived(
            node.scheduler, request_id, offset, count, now_s()
        )
        execute_events(node, events)

    return Hooks(on_sent, on_tokens)


def _report_end(
    node: Node, event: Dispatch, result: Completed | Cancelled | AttemptFailure
) -> None:
    """Report the result of an attempt to the scheduler."""
    request_id = event.request_id
    discard_attempt(node, event)
    if isinstance(result, Cancelled):
        return
    if isinstance(result, Completed):
        events = response_ended(
            node.scheduler,
            request_id,
            now_s(),
            result.cached_tokens,
            is_error=result.is_error,
        )
        execute_events(node, events)
        return
    log.info(
        'attempt {}.{} at {} failed: {} {}',
        request_id,
        event.attempt,
        event.upstream,
        result.kind,
        result.detail,
    )
    execute_events(
        node, attempt_failed(node.scheduler, request_id, result, now_s())
    )
