"""Sends the messages and makes the store calls that the fleet requests."""

from typing import Final, NamedTuple

import httpx
import logbook
import trio

from bluebellhub.adapters.connections import Connections, get_pool, use_pool
from bluebellhub.adapters.node import Node
from bluebellhub.adapters.order_shards import OrderCoordinator
from bluebellhub.adapters.peer_link import PeerLink, send
from bluebellhub.adapters.platform import Platform, get_object, put_object
from bluebellhub.clock import now_s
from bluebellhub.errors import ConflictError, ObjectError, StoreError
from bluebellhub.faults import report_fault
from bluebellhub.fleet import (
    Fleet,
    StoreWrite,
    apply_stored_object,
    handle_message,
)
from bluebellhub.fleet.messages import EngineCommand, StoreRead
from bluebellhub.fleet.version_moves import apply_engine_response

__all__ = ['FleetRunner', 'flush_outbox', 'make_runner']

COMMAND_TIMEOUT_S: Final = 2.0
CONFLICT: Final = 409

log = logbook.Logger('bluebellhub.fleet')


class FleetRunner(NamedTuple):
    """Root of the aggregate: the fleet's state and its connections.

    ``orders`` holds the order coordinator once it exists.
    ``pending_calls`` contains the objects with a call in progress, by kind
    and name, ``claim_senders`` the VM that sent each claim, by claim id, and
    ``reconnected_at_s`` the time at which a silent peer's connection was
    replaced.
    """

    fleet: Fleet
    node: Node
    connections: Connections
    link: PeerLink
    platform: Platform
    nursery: trio.Nursery
    orders: list[OrderCoordinator]
    pending_calls: set[tuple[str, str]]
    claim_senders: dict[str, str]
    reconnected_at_s: dict[str, float]


def make_runner(
    fleet: Fleet,
    node: Node,
    connections: Connections,
    link: PeerLink,
    platform: Platform,
    nursery: trio.Nursery,
) -> FleetRunner:
    """Create a runner; the order coordinator is added later."""
    return FleetRunner(
        fleet, node, connections, link, platform, nursery, [], set(), {}, {}
    )


def flush_outbox(runner: FleetRunner) -> None:
    """Send the queued messages and start the queued calls."""
    fleet = runner.fleet
    outbox = fleet.outbox
    while outbox.messages:
        outgoing = outbox.messages.pop(0)
        if outgoing.to == fleet.identity.name:
            handle_message(fleet, outgoing.to, outgoing.message, now_s())
        else:
            send(runner.link, outgoing.to, outgoing.message)
    while outbox.writes:
        write = outbox.writes.pop(0)
        _start_call(runner, (write.kind, write.name), _write_object, write)
    while outbox.reads:
        read = outbox.reads.pop(0)
        _start_call(runner, (read.kind, read.name), _read_object, read)
    while outbox.engine_commands:
        command = outbox.engine_commands.pop(0)
        _start_call(
            runner,
            ('engine_order', command.upstream),
            _send_engine_command,
            command,
        )


def _start_call(
    runner: FleetRunner, name: tuple[str, str], call, item: object
) -> None:
    """Start a call unless one for the same object is in progress."""
    if name in runner.pending_calls:
        return
    runner.pending_calls.add(name)
    runner.nursery.start_soon(_run_call, runner, name, call, item)


async def _run_call(
    runner: FleetRunner, name: tuple[str, str], call, item: object
) -> None:
    """Make a call, log a `StoreError` and mark the call as finished."""
    try:
        await call(runner, item)
    except StoreError as error:
        log.info('call for {} {} failed: {}', *name, error)
    except Exception as error:
        report_fault(error, 'store_call', kind=name[0], name=name[1])
    finally:
        runner.pending_calls.discard(name)


async def _write_object(runner: FleetRunner, write: StoreWrite) -> None:
    """Write an object; read it after a conflict or a lost response."""
    try:
        stored = await put_object(
            runner.platform,
            write.kind,
            write.name,
            write.spec,
            write.version,
        )
    except ObjectError as error:
        log.error('write of {} {} refused: {}', write.kind, write.name, error)
        return
    except (ConflictError, StoreError):
        await _read_object(runner, StoreRead(write.kind, write.name))
        return
    apply_stored_object(runner.fleet, stored, now_s(), now_s())
    flush_outbox(runner)


async def _read_object(runner: FleetRunner, read: StoreRead) -> None:
    """Read an object and apply it to the fleet's state."""
    requested_at_s = now_s()
    stored = await get_object(runner.platform, read.kind, read.name)
    apply_stored_object(runner.fleet, stored, requested_at_s, now_s())
    flush_outbox(runner)


async def _send_engine_command(
    runner: FleetRunner, command: EngineCommand
) -> None:
    """Send an engine the command to load a version of a model."""
    upstream = runner.fleet.scheduler.upstreams.get(command.upstream)
    if upstream is None:
        return
    pool = get_pool(runner.connections, upstream.spec)
    body = {
        'action': 'load',
        'model': command.model,
        'version': command.version,
    }
    try:
        async with use_pool(pool) as client:
            response = await client.post(
                '/v1/orders',
                json=body,
                headers={'X-Fence': str(command.fence)},
                timeout=COMMAND_TIMEOUT_S,
            )
    except httpx.HTTPError as error:
        log.info(
            'command to {} failed: {}', command.upstream, type(error).__name__
        )
        return
    accepted = response.status_code != CONFLICT
    apply_engine_response(runner.fleet, command, accepted=accepted)
