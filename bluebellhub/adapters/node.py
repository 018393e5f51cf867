"""The runtime of one VM, which executes the scheduler's events."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import logbook
import trio

from bluebellhub.adapters.attempt_control import (
    AttemptControl,
    cancel_attempt,
    make_attempt_control,
)
from bluebellhub.adapters.exchange import Exchange
from bluebellhub.adapters.memory import MemoryBudget, make_memory_budget
from bluebellhub.adapters.sockets import accepts_any, refuses_connections
from bluebellhub.clock import now_s
from bluebellhub.contract import AccountLimits
from bluebellhub.faults import isolate_fault
from bluebellhub.latencies import (
    Latencies,
    make_latencies,
    record_loop_lag,
)
from bluebellhub.reachability import CHECK_TIMEOUT_S, is_cut_off
from bluebellhub.registry import Registry, make_registry
from bluebellhub.request import Request
from bluebellhub.scheduler import (
    Cancel,
    CheckCrash,
    CheckLinks,
    Dispatch,
    Event,
    Probe,
    Refuse,
    Scheduler,
    caller_disconnected,
    crash_checked,
    links_checked,
    submit,
    tick,
)
from bluebellhub.settings import Settings
from bluebellhub.upstream import UpstreamSpec

__all__ = [
    'Node',
    'UpstreamProbe',
    'discard_attempt',
    'execute_events',
    'lag_ms',
    'make_node',
    'release_request',
    'run_ticks',
    'start_request',
]

MS_PER_S = 1000
TICK_S = 0.05
# A process that crashes may close its connections before it stops listening.
CRASH_CHECK_DELAY_S = 0.05

log = logbook.Logger('bluebellhub.node')


UpstreamProbe = Callable[[UpstreamSpec], Awaitable[object]]


class Node(NamedTuple):
    """Root of the aggregate: the scheduler and the requests in progress.

    ``probe`` finds out whether a silent upstream still responds.
    ``attempts`` holds the running attempts by request id and attempt
    number, and ``cache_events`` the number of the last cache event that was
    read, by upstream and its boot id.  ``memory`` bounds what requests keep.
    """

    settings: Settings
    scheduler: Scheduler
    probe: UpstreamProbe
    nursery: trio.Nursery
    exchanges: dict[str, Exchange]
    attempts: dict[tuple[str, int], AttemptControl]
    cache_events: dict[tuple[str, str], int]
    latencies: Latencies
    memory: MemoryBudget


EventHandler = Callable[[Node, Any], None]

event_handlers: Registry[EventHandler] = make_registry('event handler')


def make_node(
    settings: Settings,
    scheduler: Scheduler,
    probe: UpstreamProbe,
    nursery: trio.Nursery,
) -> Node:
    """Create a VM's runtime without requests."""
    return Node(
        settings,
        scheduler,
        probe,
        nursery,
        {},
        {},
        {},
        make_latencies(),
        make_memory_budget(),
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
        name = type(event).__name__
        with isolate_fault('event', event=name):
            event_handlers.find(name)(node, event)


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
            'lag_ms': lag_ms(node),
        },
    )
    if exchange is not None:
        exchange.decision_sender.send_nowait(event.error)


@event_handlers.register('Probe')
def handle_probe(node: Node, event: Probe) -> None:
    """Probe an upstream that has stopped responding."""
    upstream = node.scheduler.upstreams.get(event.upstream)
    if upstream is not None:
        node.nursery.start_soon(_probe, node, upstream.spec)


async def _probe(node: Node, spec: UpstreamSpec) -> None:
    """Probe an upstream; an unexpected error ends only this task."""
    with isolate_fault('probe', upstream=spec.name):
        await node.probe(spec)


@event_handlers.register('CheckCrash')
def handle_check_crash(node: Node, event: CheckCrash) -> None:
    """Start to find out whether an upstream has crashed."""
    node.nursery.start_soon(_check_crash_isolated, node, event)


async def _check_crash_isolated(node: Node, event: CheckCrash) -> None:
    """Check a crash; an unexpected error ends only this task."""
    with isolate_fault('crash_check', upstream=event.upstream):
        await _check_crash(node, event)


async def _check_crash(node: Node, event: CheckCrash) -> None:
    """Check whether anything listens where the upstream did."""
    await trio.sleep(CRASH_CHECK_DELAY_S)
    has_crashed = await refuses_connections(event.address)
    parts = crash_checked(
        node.scheduler, event, has_crashed=has_crashed, now_s=now_s()
    )
    log.info(
        'crash checked',
        extra={
            'crash': event.crash,
            'has_crashed': has_crashed,
            'quarantined_parts': parts,
        },
    )


@event_handlers.register('CheckLinks')
def handle_check_links(node: Node, event: CheckLinks) -> None:
    """Start to find out whether this VM reaches any upstream."""
    node.nursery.start_soon(_check_links, node, event)


async def _check_links(node: Node, event: CheckLinks) -> None:
    """Check the links; an unexpected error does not look like a cut."""
    is_reached = True
    with isolate_fault('link_check'):
        is_reached = await accepts_any(event.addresses, CHECK_TIMEOUT_S)
    was_cut_off = is_cut_off(node.scheduler.links)
    with isolate_fault('link_result'):
        execute_events(
            node,
            links_checked(node.scheduler, is_reached=is_reached, now_s=now_s()),
        )
    if was_cut_off and is_reached:
        log.info('upstreams are reached again')
    elif not is_reached and not was_cut_off:
        log.info(
            'no upstream accepts a connection',
            extra={'tried': len(event.addresses)},
        )


async def run_ticks(node: Node) -> None:
    """Run the scheduler's periodic decisions until cancelled."""
    while True:
        with isolate_fault('tick'):
            execute_events(node, tick(node.scheduler, now_s()))
        due_at_s = now_s() + TICK_S
        await trio.sleep(TICK_S)
        _record_lag(node, now_s() - due_at_s)


def _record_lag(node: Node, lag_s: float) -> None:
    """Record how late the loop runs a task; clocks may differ by a little."""
    node.scheduler.flags['loop_lag_s'] = max(0.0, lag_s)
    record_loop_lag(node.latencies, max(0.0, lag_s))


def lag_ms(node: Node) -> int:
    """Return how late the loop last ran a task, in milliseconds."""
    return round(node.scheduler.flags['loop_lag_s'] * MS_PER_S)
