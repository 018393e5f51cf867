"""VMs connected by a faulty network and a store, in virtual time.

The fakes implement the interfaces of `bluebellhub.fleet`: they deliver its
messages and perform its store calls with delays, losses, duplicates,
partitions and pauses.
"""

from typing import Any, Final

from bluebellhub.errors import ConflictError, ObjectError
from bluebellhub.fleet import (
    Fleet,
    Identity,
    Outgoing,
    StoreWrite,
    apply_stored_object,
    apply_vm_list,
    handle_message,
    make_fleet,
    run_periodic_tasks,
)
from bluebellhub.fleet.handlers import apply_config_update
from bluebellhub.fleet.messages import ConfigUpdate, StoreRead
from bluebellhub.fleet.periodic_tasks import is_watcher
from bluebellhub.fleet.version_moves import apply_engine_response
from bluebellhub.peer_messages import decode_message, encode_message
from bluebellhub.scheduler import Scheduler
from bluebellhub.standins.platform_model import (
    changes_since,
    config_revision,
    read_object,
    write_object,
)
from bluebellhub.standins.virtual_clock import call_at
from bluebellhub.standins.virtual_state import (
    VirtualFleet,
    can_reach_store,
    next_active_s,
)

__all__ = ['add_vm', 'execute_outbox']

TASK_INTERVAL_S: Final = 0.05
WATCH_INTERVAL_S: Final = 0.2
FALLBACK_WATCH_INTERVAL_S: Final = 5.0
STORE_DELAY_S: Final = 0.005
VM_LIST_INTERVAL_S: Final = 2.0


def add_vm(
    virtual: VirtualFleet, name: str, domain: str, scheduler: Scheduler
) -> Fleet:
    """Start a VM, or restart it without any state."""
    now_s = virtual.clock.state['now_s']
    incarnation = int(now_s * 1000) + 1
    fleet = make_fleet(Identity(name, domain, incarnation), scheduler, now_s)
    virtual.fleets[name] = fleet
    virtual.states[name] = {'alive': True, 'paused_until_s': 0.0}
    offset_s = virtual.random.random() * TASK_INTERVAL_S
    for call in (_run_tasks, _watch_store, _read_vm_list):
        call_at(virtual.clock, now_s + offset_s, call, virtual, fleet)
    return fleet


def _run_tasks(now_s: float, virtual: VirtualFleet, fleet: Fleet) -> None:
    """Run the VM's periodic tasks, now and every ``TASK_INTERVAL_S``."""
    when_s = next_active_s(virtual, fleet, now_s)
    if when_s is None:
        return
    if when_s > now_s:
        call_at(virtual.clock, when_s, _run_tasks, virtual, fleet)
        return
    run_periodic_tasks(fleet, now_s)
    execute_outbox(virtual, fleet, now_s)
    call_at(virtual.clock, now_s + TASK_INTERVAL_S, _run_tasks, virtual, fleet)


def execute_outbox(virtual: VirtualFleet, fleet: Fleet, now_s: float) -> None:
    """Execute everything in the outbox of the VM.

    Engine commands are accepted at once.
    """
    outbox = fleet.outbox
    while outbox.messages:
        _send(virtual, fleet, outbox.messages.pop(0), now_s)
    while outbox.writes:
        write = outbox.writes.pop(0)
        when_s = now_s + STORE_DELAY_S
        call_at(
            virtual.clock, when_s, _perform_write, virtual, fleet, write, now_s
        )
    while outbox.reads:
        read = outbox.reads.pop(0)
        _schedule_read(virtual, fleet, read, now_s)
    while outbox.engine_commands:
        apply_engine_response(
            fleet, outbox.engine_commands.pop(0), accepted=True
        )


def _send(
    virtual: VirtualFleet, fleet: Fleet, outgoing: Outgoing, now_s: float
) -> None:
    """Schedule the delivery of a message, subject to the link's faults.

    A message to the VM itself has no faults and isn't counted as traffic.
    """
    sender = fleet.identity.name
    encoded = encode_message(outgoing.message)
    if outgoing.to == sender:
        call_at(
            virtual.clock, now_s, _deliver, virtual, sender, sender, encoded
        )
        return
    virtual.traffic[sender, 'messages'] += 1
    virtual.traffic[sender, 'bytes'] += len(encoded)
    copies = 1 + (virtual.random.random() < virtual.faults['doubled'])
    for _ in range(copies):
        if virtual.random.random() < virtual.faults['loss']:
            continue
        delay_max_s = virtual.faults['delay_max_s']
        arrives_s = now_s + delay_max_s * virtual.random.random()
        call_at(
            virtual.clock,
            arrives_s,
            _deliver,
            virtual,
            sender,
            outgoing.to,
            encoded,
        )


def _deliver(
    now_s: float,
    virtual: VirtualFleet,
    sender: str,
    receiver: str,
    encoded: bytes,
) -> None:
    """Deliver a message, after the pause if the receiver is paused.

    The message is lost if the receiver is down or partitioned from the
    sender.
    """
    fleet = virtual.fleets.get(receiver)
    pair = (sender, receiver)
    if fleet is None or not virtual.partitions.isdisjoint(
        (pair, frozenset(pair))
    ):
        return
    when_s = next_active_s(virtual, fleet, now_s)
    if when_s is None:
        return
    if when_s > now_s:
        call_at(
            virtual.clock, when_s, _deliver, virtual, sender, receiver, encoded
        )
        return
    handle_message(fleet, sender, decode_message(encoded), now_s)
    execute_outbox(virtual, fleet, now_s)


def _perform_write(
    now_s: float,
    virtual: VirtualFleet,
    fleet: Fleet,
    write: StoreWrite,
    requested_at_s: float,
) -> None:
    """Perform a write, then read the object back for its VM.

    There is no read if the response to the write is lost.
    """
    if next_active_s(virtual, fleet, now_s) is None:
        return
    if not can_reach_store(virtual, fleet):
        return
    virtual.platform.calls['put'] += 1
    state = virtual.platform.state
    try:
        write_object(
            virtual.platform,
            write.kind,
            write.name,
            write.spec,
            write.version,
        )
    except (ConflictError, ObjectError):
        virtual.platform.calls['conflict'] += 1
    if state['lose_replies'] > 0:
        state['lose_replies'] -= 1
        return
    _schedule_read(virtual, fleet, StoreRead(write.kind, write.name), now_s)


def _schedule_read(
    virtual: VirtualFleet, fleet: Fleet, read: StoreRead, now_s: float
) -> None:
    when_s = now_s + STORE_DELAY_S
    call_at(virtual.clock, when_s, _perform_read, virtual, fleet, read, now_s)


def _perform_read(
    now_s: float,
    virtual: VirtualFleet,
    fleet: Fleet,
    read: StoreRead,
    requested_at_s: float,
) -> None:
    """Read an object; a paused VM applies it after the pause."""
    when_s = next_active_s(virtual, fleet, now_s)
    if when_s is None or not can_reach_store(virtual, fleet):
        return
    virtual.platform.calls['get'] += 1
    stored = read_object(virtual.platform, read.kind, read.name)
    if when_s > now_s:
        call_at(
            virtual.clock,
            when_s,
            _apply_object,
            virtual,
            fleet,
            stored,
            requested_at_s,
        )
        return
    _apply_object(now_s, virtual, fleet, stored, requested_at_s)


def _apply_object(
    now_s: float,
    virtual: VirtualFleet,
    fleet: Fleet,
    stored: Any,
    requested_at_s: float,
) -> None:
    apply_stored_object(fleet, stored, requested_at_s, now_s)
    execute_outbox(virtual, fleet, now_s)


def _watch_store(now_s: float, virtual: VirtualFleet, fleet: Fleet) -> None:
    """Apply changes of the store, now and then periodically."""
    when_s = next_active_s(virtual, fleet, now_s)
    if when_s is None:
        return
    if when_s > now_s:
        call_at(virtual.clock, when_s, _watch_store, virtual, fleet)
        return
    if can_reach_store(virtual, fleet):
        _apply_changes(virtual, fleet, now_s)
    period_s = (
        WATCH_INTERVAL_S
        if is_watcher(fleet, now_s)
        else FALLBACK_WATCH_INTERVAL_S
    )
    call_at(virtual.clock, now_s + period_s, _watch_store, virtual, fleet)


def _apply_changes(virtual: VirtualFleet, fleet: Fleet, now_s: float) -> None:
    since = fleet.configuration.progress['revision']
    changed = changes_since(virtual.platform, since)
    revision = config_revision(virtual.platform)
    update = ConfigUpdate(revision, changed)
    apply_config_update(fleet, fleet.identity.name, update, now_s)
    execute_outbox(virtual, fleet, now_s)


def _read_vm_list(now_s: float, virtual: VirtualFleet, fleet: Fleet) -> None:
    """Apply the list of running VMs every ``VM_LIST_INTERVAL_S``."""
    when_s = next_active_s(virtual, fleet, now_s)
    if when_s is None:
        return
    if can_reach_store(virtual, fleet) and when_s <= now_s:
        names = {
            name for name, state in virtual.states.items() if state['alive']
        }
        apply_vm_list(fleet, names)
    call_at(
        virtual.clock,
        when_s + VM_LIST_INTERVAL_S,
        _read_vm_list,
        virtual,
        fleet,
    )
