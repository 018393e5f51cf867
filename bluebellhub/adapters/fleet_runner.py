"""Carries out what a VM's part in the fleet wants sent and written."""

from typing import Final, NamedTuple

import httpx
import logbook
import trio

from bluebellhub.adapters.connections import pool_for, use_pool
from bluebellhub.adapters.node import Node
from bluebellhub.adapters.orders import (
    OrderDesk,
    deliver_answer,
    take_claim,
    take_outcome,
)
from bluebellhub.adapters.peer_link import (
    PeerLink,
    receive_all,
    reconnect_silent_peers,
    send,
    set_peer,
)
from bluebellhub.adapters.platform import (
    Platform,
    get_object,
    list_vms,
    put_object,
    watch,
)
from bluebellhub.clock import now_s
from bluebellhub.errors import ConflictError, ObjectError, StoreError
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

STEP_S: Final = 0.05
VM_LIST_S: Final = 2.0
WATCH_WAIT_S: Final = 10.0
SLOW_WATCH_S: Final = 5.0
RETRY_S: Final = 0.5
ORDER_TIMEOUT_S: Final = 2.0
CONFLICT: Final = 409

log = logbook.Logger('bluebellhub.fleet')


class FleetRunner(NamedTuple):
    """The root: the VM's decisions and the ways out.

    ``busy`` names store objects with a call on the way, ``origins`` the VM
    that each claim came from and ``reconnected`` when a silent peer's
    connection was replaced.
    """

    fleet: Fleet
    node: Node
    link: PeerLink
    platform: Platform
    nursery: trio.Nursery
    desk: list[OrderDesk]
    busy: set[tuple[str, str]]
    origins: dict[str, str]
    reconnected: dict[str, float]


def make_runner(
    fleet: Fleet,
    node: Node,
    link: PeerLink,
    platform: Platform,
    nursery: trio.Nursery,
) -> FleetRunner:
    """Create a runner; the order desk is added when it exists."""
    return FleetRunner(fleet, node, link, platform, nursery, [], set(), {}, {})


async def run_fleet(runner: FleetRunner) -> None:
    """Act in the fleet until cancelled."""
    runner.nursery.start_soon(
        receive_all,
        runner.link,
        lambda sender, message: receive(runner, sender, message),
    )
    runner.nursery.start_soon(_watch_objects, runner)
    runner.nursery.start_soon(_watch_vms, runner)
    while True:
        run_periodic_tasks(runner.fleet, now_s())
        flush(runner)
        _replace_silent(runner)
        await trio.sleep(STEP_S)


def receive(runner: FleetRunner, sender: str, message: object) -> None:
    """React to another VM's message."""
    if isinstance(message, Claim):
        runner.origins[message.claim_id] = sender
        take_claim(runner.desk[0], message)
        return
    if isinstance(message, OrderOutcome):
        take_outcome(runner.desk[0], message)
        return
    if isinstance(message, ClaimAnswer):
        deliver_answer(runner.desk[0], message)
        return
    handle_message(runner.fleet, sender, message, now_s())
    flush(runner)


def reply_claim(runner: FleetRunner, answer: ClaimAnswer) -> None:
    """Send a claim's answer to the VM that it came from."""
    origin = runner.origins.pop(answer.claim_id, None)
    if origin is not None:
        send(runner.link, origin, answer)


def flush(runner: FleetRunner) -> None:
    """Send messages and start the store calls that are wanted."""
    fleet = runner.fleet
    outbox = fleet.outbox
    while outbox.messages:
        outgoing = outbox.messages.pop(0)
        if outgoing.to == fleet.identity.name:
            handle_message(fleet, outgoing.to, outgoing.message, now_s())
        else:
            send(runner.link, outgoing.to, outgoing.message)
    while outbox.writes:
        wanted = outbox.writes.pop(0)
        _start(runner, (wanted.kind, wanted.name), _write, wanted)
    while outbox.reads:
        read = outbox.reads.pop(0)
        _start(runner, (read.kind, read.name), _read, read)
    while outbox.orders:
        order = outbox.orders.pop(0)
        _start(runner, ('engine_order', order.upstream), _order, order)


def _start(
    runner: FleetRunner, name: tuple[str, str], call, wanted: object
) -> None:
    """Start a call unless one for the same object is on the way."""
    if name in runner.busy:
        return
    runner.busy.add(name)
    runner.nursery.start_soon(_run_call, runner, name, call, wanted)


async def _run_call(
    runner: FleetRunner, name: tuple[str, str], call, wanted: object
) -> None:
    try:
        await call(runner, wanted)
    except StoreError as error:
        log.info('{} {}: {}', *name, error)
    finally:
        runner.busy.discard(name)


async def _write(runner: FleetRunner, wanted: StoreWrite) -> None:
    """Write; after a conflict or a lost answer read what is there."""
    try:
        stored = await put_object(
            runner.platform,
            wanted.kind,
            wanted.name,
            wanted.spec,
            wanted.version,
        )
    except ObjectError as error:
        log.error('{} {}: {}', wanted.kind, wanted.name, error)
        return
    except (ConflictError, StoreError):
        await _read(runner, StoreRead(wanted.kind, wanted.name))
        return
    apply_stored_object(runner.fleet, stored, now_s(), now_s())
    flush(runner)


async def _read(runner: FleetRunner, wanted: StoreRead) -> None:
    asked_at_s = now_s()
    stored = await get_object(runner.platform, wanted.kind, wanted.name)
    apply_stored_object(runner.fleet, stored, asked_at_s, now_s())
    flush(runner)


async def _order(runner: FleetRunner, order: EngineCommand) -> None:
    """Give an engine the order to load a version."""
    upstream = runner.fleet.scheduler.upstreams.get(order.upstream)
    if upstream is None:
        return
    pool = pool_for(runner.node.connections, upstream.spec)
    body = {'action': 'load', 'model': order.model, 'version': order.version}
    try:
        async with use_pool(pool) as client:
            response = await client.post(
                '/v1/orders',
                json=body,
                headers={'X-Fence': str(order.fence)},
                timeout=ORDER_TIMEOUT_S,
            )
    except httpx.HTTPError as error:
        log.info('order to {}: {}', order.upstream, type(error).__name__)
        return
    accepted = response.status_code != CONFLICT
    apply_engine_response(runner.fleet, order, accepted=accepted)


async def _watch_objects(runner: FleetRunner) -> None:
    """Watch the configuration, or read it now and then."""
    fleet = runner.fleet
    while True:
        watching = is_watcher(fleet, now_s())
        since = fleet.configuration.progress['revision']
        wait_s = WATCH_WAIT_S if watching else 0.0
        try:
            listing = await watch(runner.platform, since, wait_s)
        except StoreError as error:
            log.info('watch: {}', error)
            await trio.sleep(RETRY_S)
            continue
        news = ConfigUpdate(listing.revision, listing.objects)
        apply_config_update(fleet, fleet.identity.name, news, now_s())
        _log_refused(fleet)
        flush(runner)
        if not watching:
            await trio.sleep(SLOW_WATCH_S)


def _log_refused(fleet: Fleet) -> None:
    for (kind, name), reason in fleet.configuration.refused.items():
        log.warning('{} {} refused: {}', kind, name, reason)


async def _watch_vms(runner: FleetRunner) -> None:
    """Read the VM list now and then."""
    while True:
        try:
            entries = await list_vms(runner.platform)
        except StoreError as error:
            log.info('VM list: {}', error)
        else:
            names = {entry.name for entry in entries}
            apply_vm_list(runner.fleet, names)
            for entry in entries:
                set_peer(runner.link, entry.name, entry.address)
        await trio.sleep(VM_LIST_S)


def _replace_silent(runner: FleetRunner) -> None:
    """Give peers that stay silent a fresh connection."""
    peers = runner.fleet.members.peers
    heard = {name: peer.received_at_s for name, peer in peers.items()}
    link = runner.link
    reconnect_silent_peers(
        link, link.addresses, heard, runner.reconnected, now_s()
    )
