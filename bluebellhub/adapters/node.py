"""One VM's runtime: it carries out the scheduler's events."""

from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from typing import Any, NamedTuple

import logbook
import trio

from bluebellhub.adapters.attempts import (
    Call,
    Cancelled,
    Ended,
    Hooks,
    Reads,
    cancel_reads,
    make_reads,
    run_attempt,
)
from bluebellhub.adapters.connections import (
    Connections,
    pool_for,
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
    'answer_parts',
    'discard_attempt',
    'execute_events',
    'make_node',
    'release_request',
    'run_ticks',
    'start_request',
]

TICK_S = 0.05

log = logbook.Logger('bluebellhub.node')


class Node(NamedTuple):
    """The root: decisions, connections and the requests in progress.

    ``attempts`` holds the attempts by request id and attempt number, and
    ``cache_events`` the newest event read, by upstream and its boot.
    """

    settings: Settings
    scheduler: Scheduler
    connections: Connections
    nursery: trio.Nursery
    exchanges: dict[str, Exchange]
    attempts: dict[tuple[str, int], Reads]
    cache_events: dict[tuple[str, str], int]
    latencies: Latencies


Carrier = Callable[[Node, Any], None]

carriers: Registry[Carrier] = make_registry('event carrier')


def make_node(
    settings: Settings,
    scheduler: Scheduler,
    connections: Connections,
    nursery: trio.Nursery,
) -> Node:
    """Create the runtime of a VM without requests."""
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
    """Submit a request whose answer goes to ``exchange``."""
    node.exchanges[request.request_id] = exchange
    execute_events(node, submit(node.scheduler, request, limits, now_s()))


def release_request(node: Node, request_id: str) -> None:
    """Free what a request holds when its caller is gone or answered."""
    node.exchanges.pop(request_id, None)
    execute_events(
        node, caller_disconnected(node.scheduler, request_id, now_s())
    )


def execute_events(node: Node, events: list[Event]) -> None:
    """Carry out the scheduler's events in their order."""
    for event in events:
        carriers.find(type(event).__name__)(node, event)


@carriers.register('Dispatch')
def carry_dispatch(node: Node, event: Dispatch) -> None:
    """Tell the caller's task to start an attempt."""
    exchange = node.exchanges.get(event.request_id)
    if exchange is not None:
        node.attempts[event.request_id, event.attempt] = make_reads()
        exchange.decision_sender.send_nowait(event)


def discard_attempt(node: Node, event: Dispatch) -> None:
    """Forget an attempt that has ended."""
    node.attempts.pop((event.request_id, event.attempt), None)


@carriers.register('Cancel')
def carry_cancel(node: Node, event: Cancel) -> None:
    """End an attempt; closing its connection tells the upstream."""
    attempts = node.attempts.pop((event.request_id, event.attempt), None)
    if attempts is not None:
        cancel_reads(attempts)


@carriers.register('Refuse')
def carry_refuse(node: Node, event: Refuse) -> None:
    """Pass a refusal to the caller."""
    exchange = node.exchanges.pop(event.request_id, None)
    log.info(
        'not served',
        extra={
            'request': event.request_id.partition('/')[0],
            'reason': event.error.reason,
            'run': event.error.run,
            'detail': str(event.error),
        },
    )
    if exchange is not None:
        exchange.decision_sender.send_nowait(event.error)


@carriers.register('Probe')
def carry_probe(node: Node, event: Probe) -> None:
    """Replace an upstream's silent connections."""
    upstream = node.scheduler.upstreams.get(event.upstream)
    if upstream is not None:
        node.nursery.start_soon(
            replace_unresponsive_pool, node.connections, upstream.spec
        )


async def answer_parts(
    node: Node, exchange: Exchange
) -> AsyncGenerator[bytes | Head, None]:
    """Yield the parts of the answer, over as many attempts as it takes.

    Raises the refusal that ends the request, if one does.  Frees what the
    request holds at the end, or when the caller goes away.
    """
    try:
        while not _is_over(node, exchange):
            event = await _next_dispatch(exchange)
            call = _make_call(node, event, exchange)
            if call is None:
                continue
            async with aclosing(run_attempt(call)) as parts:
                async for part in parts:
                    if not isinstance(part, bytes | Head):
                        _settle(node, event, part)
                        break
                    yield part
    finally:
        release_request(node, exchange.request_id)


def _is_over(node: Node, exchange: Exchange) -> bool:
    """Tell whether the request has ended and no refusal waits."""
    if exchange.request_id in node.scheduler.requests:
        return False
    return not exchange.decision_receiver.statistics().current_buffer_used


async def _next_dispatch(exchange: Exchange) -> Dispatch:
    """Wait for the next attempt; raises a refusal."""
    decision = await exchange.decision_receiver.receive()
    if isinstance(decision, RefusalError):
        raise decision
    return decision


def _make_call(node: Node, event: Dispatch, exchange: Exchange) -> Call | None:
    """Return the attempt's call; ``None`` if it was cancelled already."""
    upstream = node.scheduler.upstreams.get(event.upstream)
    state = node.scheduler.requests.get(event.request_id)
    attempts = node.attempts.get((event.request_id, event.attempt))
    if upstream is None or state is None or attempts is None:
        return None
    return Call(
        upstream.spec.kind,
        pool_for(node.connections, upstream.spec),
        event,
        exchange,
        time_limits(node.settings.limits, state, upstream),
        _make_hooks(node, event),
        attempts,
    )


def _make_hooks(node: Node, event: Dispatch) -> Hooks:
    request_id = event.request_id

    def sent() -> None:
        request_sent(node.scheduler, request_id)

    def tokens(offset: int, count: int) -> None:
        events = tokens_arrived(
            node.scheduler, request_id, offset, count, now_s()
        )
        execute_events(node, events)

    return Hooks(sent, tokens)


def _settle(
    node: Node, event: Dispatch, ended: Ended | Cancelled | AttemptFailure
) -> None:
    """Tell the scheduler how an attempt ended."""
    request_id = event.request_id
    discard_attempt(node, event)
    if isinstance(ended, Cancelled):
        return
    if isinstance(ended, Ended):
        events = response_ended(
            node.scheduler, request_id, now_s(), ended.cached_tokens
        )
        execute_events(node, events)
        return
    log.info(
        'attempt {}.{} at {} failed: {} {}',
        request_id,
        event.attempt,
        event.upstream,
        ended.kind,
        ended.detail,
    )
    execute_events(
        node, attempt_failed(node.scheduler, request_id, ended, now_s())
    )


async def run_ticks(node: Node) -> None:
    """Run the scheduler's periodic decisions until cancelled."""
    while True:
        execute_events(node, tick(node.scheduler, now_s()))
        await trio.sleep(TICK_S)
