"""Sends the messages and makes the store calls that the fleet requests."""

from typing import Final, NamedTuple

import httpx
import logbook
import trio

from bluebellhub.adapters.connections import Connections, get_pool, use_pool
from bluebellhub.adapters.node import Node
from bluebellhub.adapters.orders import (
    OrderCoordinator,
    deliver_claim_answer,
    enqueue_claim,
    enqueue_outcome,
)
from bluebellhub.adapters.peer_link import (
    PeerLink,
    connect_peer,
    receive_all,
    reconnect_silent_peers,
    send,
)
from bluebellhub.adapters.platform import (
    Platform,
    VmEntry,
    get_object,
    list_vms,
    put_object,
    watch,
)
from bluebellhub.clock import now_s
from bluebellhub.errors import ConflictError, ObjectError, StoreError
from bluebellhub.faults import isolate_fault, report_fault
from bluebellhub.fleet import (
    Fleet,
    StoreWrite,
    apply_stored_object,
    apply_vm_list,
    handle_message,
    run_periodic_tasks,
)
from bluebellhub.fleet.handlers import apply_config_update
from bluebellhub.fleet.messages import ConfigUpdate, EngineCommand, StoreRead
from bluebellhub.fleet.periodic_tasks import is_watcher
from bluebellhub.fleet.version_moves import apply_engine_response
from bluebellhub.order import Claim, ClaimAnswer, OrderOutcome

__all__ = ['FleetRunner', 'make_runner', 'receive', 'run_fleet']

STEP_INTERVAL_S: Final = 0.05
VM_LIST_INTERVAL_S: Final = 2.0
WATCH_TIMEOUT_S: Final = 10.0
POLL_INTERVAL_S: Final = 5.0
RETRY_DELAY_S: Final = 0.5
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


async def run_fleet(runner: FleetRunner) -> None:
    """Receive messages, watch the store and run periodic tasks.

    Runs until cancelled.
    """
    runner.nursery.start_soon(
        receive_all,
        runner.link,
        lambda sender, message: receive(runner, sender, message),
    )
    runner.nursery.start_soon(_watch_objects, runner)
    runner.nursery.start_soon(_poll_vm_list, runner)
    while True:
        with isolate_fault('periodic_tasks'):
            run_periodic_tasks(runner.fleet, now_s())
            flush_outbox(runner)
            _reconnect_silent_peers(runner)
        await trio.sleep(STEP_INTERVAL_S)


def receive(runner: FleetRunner, sender: str, message: object) -> None:
    """Handle another VM's message."""
    if isinstance(message, Claim):
        runner.claim_senders[message.claim_id] = sender
        enqueue_claim(runner.orders[0], message)
        return
    if isinstance(message, OrderOutcome):
        enqueue_outcome(runner.orders[0], message)
        return
    if isinstance(message, ClaimAnswer):
        deliver_claim_answer(runner.orders[0], message)
        return
    handle_message(runner.fleet, sender, message, now_s())
    flush_outbox(runner)


def reply_claim(runner: FleetRunner, answer: ClaimAnswer) -> None:
    """Send the answer of a claim to the VM that sent the claim."""
    sender = runner.claim_senders.pop(answer.claim_id, None)
    if sender is not None:
        send(runner.link, sender, answer)


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


async def _watch_objects(runner: FleetRunner) -> None:
    """Read changes of the configuration until cancelled.

    A VM that is a watcher waits for changes at the store; the others poll it
    at a long interval.
    """
    fleet = runner.fleet
    while True:
        is_watching = is_watcher(fleet, now_s())
        since = fleet.configuration.progress['revision']
        wait_s = WATCH_TIMEOUT_S if is_watching else 0.0
        try:
            listing = await watch(runner.platform, since, wait_s)
        except StoreError as error:
            log.info('configuration could not be read: {}', error)
            await trio.sleep(RETRY_DELAY_S)
            continue
        update = ConfigUpdate(listing.revision, listing.objects)
        with isolate_fault('configuration', revision=listing.revision):
            apply_config_update(fleet, fleet.identity.name, update, now_s())
            _log_refused(fleet)
            flush_outbox(runner)
        if fleet.configuration.progress['revision'] == since:
            # The same change is returned again at once if it was not applied.
            await trio.sleep(STEP_INTERVAL_S)
        if not is_watching:
            await trio.sleep(POLL_INTERVAL_S)


def _log_refused(fleet: Fleet) -> None:
    for (kind, name), reason in fleet.configuration.refused.items():
        log.warning(
            'configuration object {} {} refused: {}', kind, name, reason
        )


async def _poll_vm_list(runner: FleetRunner) -> None:
    """Read the VM list at an interval until cancelled."""
    while True:
        try:
            entries = await list_vms(runner.platform)
        except StoreError as error:
            log.info('VM list could not be read: {}', error)
        else:
            with isolate_fault('vm_list'):
                _apply_vms(runner, entries)
        await trio.sleep(VM_LIST_INTERVAL_S)


def _apply_vms(runner: FleetRunner, entries: list[VmEntry]) -> None:
    """Apply the VM list, and connect to the VMs on it."""
    apply_vm_list(runner.fleet, {entry.name for entry in entries})
    for entry in entries:
        connect_peer(runner.link, entry.name, entry.address)


def _reconnect_silent_peers(runner: FleetRunner) -> None:
    """Replace the connections to peers that have been silent too long."""
    peers = runner.fleet.members.peers
    received_at_s = {name: peer.received_at_s for name, peer in peers.items()}
    link = runner.link
    reconnect_silent_peers(
        link, link.addresses, received_at_s, runner.reconnected_at_s, now_s()
    )
