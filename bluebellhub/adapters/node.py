"""The runtime of one VM, which executes the scheduler's events."""

from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from typing import Any, NamedTuple

import logbook
import trio

from bluebellhub.adapters.attempts import (
    AttemptContext,
    AttemptControl,
    Cancelled,
    Completed,
    Hooks,
    cancel_attempt,
    make_attempt_control,
    run_attempt,
)
from bluebellhub.adapters.connections import (
    Connections,
    get_pool,
    replace_unresponsive_pool,
)
from bluebellhub.adapters.exchange import Exchange, Head
from bluebellhub.adapters.time_limits import time_limits
from bluebellhub.clock import now_s
from bluebellhub.contract import AccountLimits
from bluebellhub.latencies import Latencies, make_latencies
from bluebellhub.registry import Registry, make_registry
from bluebellhub.request import AttemptFailure, RefusalError, Request
from bluebellhub.scheduler import (
    Cancel,
    Dispatch,
    Event,
    Probe,
    Refuse,
    Scheduler,
    attempt_failed,
    caller_disconnected,
    request_sent,
    response_ended,
    submit,
    tick,
    tokens_arrived,
)
from bluebellhub.settings import Settings

__all__ = [
    'Node',
    'discard_attempt',
    'execute_events',
    'make_node',
    'release_request',
    'run_ticks',
    'start_request',
    'stream_response',
]

TICK_S = 0.05

log = logbook.Logger('bluebellhub.node')


class Node(NamedTuple):
    """Root of the aggregate: scheduler, connections, requests in progress.

    ``attempts`` holds the running attempts by request id and attempt
    number, and ``cache_events`` the number of the last cache event that was
    read, by upstream and its boot id.
    """

    settings: Settings
    scheduler: Scheduler
    connections: Connections
    nursery: trio.Nursery
    exchanges: dict[str, Exchange]
    attempts: dict[tuple[str, int], AttemptControl]
    cache_events: dict[tuple[str, str], int]
    latencies: Latencies


EventHandler = Callable[[Node, Any], None]

event_handlers: Registry[EventHandler] = make_registry('event handler')


def make_node(
    settings: Settings,
    scheduler: Scheduler,
    connections: Connections,
    nursery: trio.Nursery,
) -> Node:
    """Create a VM's runtime without requests."""
    return Node(
        settings,
        scheduler,
        connections,
        nursery,
        {},
        {},
        {},
        make_latencies(),
    )


def start_request(
    node: Node, request: Request, limits: AccountLimits, exchange: Exchange
) -> None:
    """Submit a request; decisions on it are sent to ``exchange``."""
    node.exchanges[request.request_id] = exchange
    execute_events(node, submit(node.scheduler, request, limits, now_s()))


def release_request(node: Node, request_id: str) -> None:
    """Free the resources of a request that has ended.

    Cancels it if the caller disconnected before the end of the response.
    """
    node.exchanges.pop(request_id, None)
    execute_events(
        node, caller_disconnected(node.scheduler, request_id, now_s())
    )


def execute_events(node: Node, events: list[Event]) -> None:
    """Execute the scheduler's events in their order."""
    for event in events:
        event_handlers.find(type(event).__name__)(node, event)


@event_handlers.register('Dispatch')
def handle_dispatch(node: Node, event: Dispatch) -> None:
    """Notify the caller's task that it should start an attempt."""
    exchange = node.exchanges.get(event.request_id)
    if exchange is not None:
        node.attempts[event.request_id, event.attempt] = make_attempt_control()
        exchange.decision_sender.send_nowait(event)


def discard_attempt(node: Node, event: Dispatch) -> None:
    """Remove an attempt that has ended."""
    node.attempts.pop((event.request_id, event.attempt), None)


@event_handlers.register('Cancel')
def handle_cancel(node: Node, event: Cancel) -> None:
    """Cancel an attempt, which closes its connection to the upstream.

    The upstream notices the closed connection and stops its work.
    """
    control = node.attempts.pop((event.request_id, event.attempt), None)
    if control is not None:
        cancel_attempt(control)


@event_handlers.register('Refuse')
def handle_refuse(node: Node, event: Refuse) -> None:
    """Log a refusal and send it to the caller's task."""
    exchange = node.exchanges.pop(event.request_id, None)
    log.info(
        'request refused',
        extra={
            'request': event.request_id.partition('/')[0],
            'reason': event.error.reason,
            'run': event.error.run,
            'detail': str(event.error),
        },
    )
    if exchange is not None:
        exchange.decision_sender.send_nowait(event.error)


@event_handlers.register('Probe')
def handle_probe(node: Node, event: Probe) -> None:
    """Probe an upstream and replace its connections if it responds."""
    upstream = node.scheduler.upstreams.get(event.upstream)
    if upstream is not None:
        node.nursery.start_soon(
            replace_unresponsive_pool, node.connections, upstream.spec
        )


async def stream_response(
    node: Node, exchange: Exchange
) -> AsyncGenerator[bytes | Head, None]:
    """Yield the parts of the response, from as many attempts as needed.

    Raises the `RefusalError` that ends the request, if one does.  Frees the
    request's resources at the end, or when the caller disconnects.
    """
    try:
        while not _is_finished(node, exchange):
            event = await _next_dispatch(exchange)
            context = _make_context(node, event, exchange)
            if context is None:
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


def _make_context(
    node: Node, event: Dispatch, exchange: Exchange
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
        get_pool(node.connections, upstream.spec),
        event,
        exchange,
        time_limits(node.settings.limits, state, upstream),
        _make_hooks(node, event),
        control,
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
            node.scheduler, request_id, now_s(), result.cached_tokens
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


async def run_ticks(node: Node) -> None:
    """Run the scheduler's periodic decisions until cancelled."""
    while True:
        execute_events(node, tick(node.scheduler, now_s()))
        await trio.sleep(TICK_S)
