"""Runs the fleet's tasks: messages, changes of the store, periodic work."""

from typing import Final

import logbook
import trio

from bluebellhub.adapters.fleet_outbox import FleetRunner, flush_outbox
from bluebellhub.adapters.order_shards import (
    deliver_claim_answer,
    enqueue_claim,
    enqueue_outcome,
)
from bluebellhub.adapters.peer_link import (
    connect_peer,
    receive_all,
    reconnect_silent_peers,
    send,
)
from bluebellhub.adapters.platform import VmEntry, list_vms, watch
from bluebellhub.clock import now_s
from bluebellhub.errors import StoreError
from bluebellhub.faults import isolate_fault
from bluebellhub.fleet import (
    Fleet,
    apply_vm_list,
    handle_message,
    run_periodic_tasks,
)
from bluebellhub.fleet.handlers import apply_config_update
from bluebellhub.fleet.messages import ConfigUpdate
from bluebellhub.fleet.periodic_tasks import is_watcher
from bluebellhub.order import Claim, ClaimAnswer, OrderOutcome

__all__ = ['receive', 'reply_claim', 'run_fleet']

STEP_INTERVAL_S: Final = 0.05
VM_LIST_INTERVAL_S: Final = 2.0
WATCH_TIMEOUT_S: Final = 10.0
POLL_INTERVAL_S: Final = 5.0
RETRY_DELAY_S: Final = 0.5

log = logbook.Logger('bluebellhub.fleet')


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
