"""VMs joined by a faulty link and a store, in virtual time.

The fakes stand at the interfaces of `bluebellhub.fleet`: they carry its
messages and store calls with delays, losses, doubles, cuts and pauses.
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
    decode_message,
    encode_message,
    handle_message,
    make_fleet,
    run_periodic_tasks,
)
from bluebellhub.fleet.handlers import apply_config_update
from bluebellhub.fleet.messages import ConfigUpdate, StoreRead
from bluebellhub.fleet.periodic_tasks import is_watcher
from bluebellhub.fleet.version_moves import apply_engine_response
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
    acts_at,
    reaches_store,
)

__all__ = ['add_vm', 'flush']

STEP_S: Final = 0.05
WATCH_S: Final = 0.2
SLOW_WATCH_S: Final = 5.0
STORE_DELAY_S: Final = 0.005
VM_LIST_S: Final = 2.0


def add_vm(
    virtual: VirtualFleet, name: str, domain: str, scheduler: Scheduler
) -> Fleet:
    """Start a VM, or start it again with an empty memory."""
    now_s = virtual.clock.state['now_s']
    incarnation = int(now_s * 1000) + 1
    fleet = make_fleet(Identity(name, domain, incarnation), scheduler, now_s)
    virtual.fleets[name] = fleet
    virtual.states[name] = {'alive': True, 'paused_until_s': 0.0}
    offset_s = virtual.random.random() * STEP_S
    for call in (_step, _watch, _read_vms):
        call_at(virtual.clock, now_s + offset_s, call, virtual, fleet)
    return fleet


def _step(now_s: float, virtual: VirtualFleet, fleet: Fleet) -> None:
    when_s = acts_at(virtual, fleet, now_s)
    if when_s is None:
        return
    if when_s > now_s:
        call_at(virtual.clock, when_s, _step, virtual, fleet)
        return
    run_periodic_tasks(fleet, now_s)
    flush(virtual, fleet, now_s)
    call_at(virtual.clock, now_s + STEP_S, _step, virtual, fleet)


def flush(virtual: VirtualFleet, fleet: Fleet, now_s: float) -> None:
    """Carry out what the fleet has put into its outbox."""
    outbox = fleet.outbox
    while outbox.messages:
        _send(virtual, fleet, outbox.messages.pop(0), now_s)
    while outbox.writes:
        write_wanted = outbox.writes.pop(0)
        when_s = now_s + STORE_DELAY_S
        call_at(
            virtual.clock, when_s, _write, virtual, fleet, write_wanted, now_s
        )
    while outbox.reads:
        wanted = outbox.reads.pop(0)
        _read_later(virtual, fleet, wanted, now_s)
    while outbox.engine_commands:
        apply_engine_response(
            fleet, outbox.engine_commands.pop(0), accepted=True
        )


def _send(
    virtual: VirtualFleet, fleet: Fleet, outgoing: Outgoing, now_s: float
) -> None:
    own = fleet.identity.name
    encoded = encode_message(outgoing.message)
    if outgoing.to == own:
        call_at(virtual.clock, now_s, _deliver, virtual, own, own, encoded)
        return
    virtual.traffic[own, 'messages'] += 1
    virtual.traffic[own, 'bytes'] += len(encoded)
    copies = 1 + (virtual.random.random() < virtual.faults['doubled'])
    for _ in range(copies):
        if virtual.random.random() < virtual.faults['loss']:
            continue
        spread_s = virtual.faults['delay_max_s']
        arrives_s = now_s + spread_s * virtual.random.random()
        call_at(
            virtual.clock,
            arrives_s,
            _deliver,
            virtual,
            own,
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
    fleet = virtual.fleets.get(receiver)
    pair = (sender, receiver)
    if fleet is None or not virtual.cuts.isdisjoint((pair, frozenset(pair))):
        return
    when_s = acts_at(virtual, fleet, now_s)
    if when_s is None:
        return
    if when_s > now_s:
        call_at(
            virtual.clock, when_s, _deliver, virtual, sender, receiver, encoded
        )
        return
    handle_message(fleet, sender, decode_message(encoded), now_s)
    flush(virtual, fleet, now_s)


def _write(
    now_s: float,
    virtual: VirtualFleet,
    fleet: Fleet,
    wanted: StoreWrite,
    asked_at_s: float,
) -> None:
    if acts_at(virtual, fleet, now_s) is None:
        return
    if not reaches_store(virtual, fleet):
        return
    virtual.platform.calls['put'] += 1
    state = virtual.platform.state
    try:
        write_object(
            virtual.platform,
            wanted.kind,
            wanted.name,
            wanted.spec,
            wanted.version,
        )
    except (ConflictError, ObjectError):
        virtual.platform.calls['conflict'] += 1
    if state['lose_replies'] > 0:
        state['lose_replies'] -= 1
        return
    _read_later(virtual, fleet, StoreRead(wanted.kind, wanted.name), now_s)


def _read_later(
    virtual: VirtualFleet, fleet: Fleet, wanted: StoreRead, now_s: float
) -> None:
    when_s = now_s + STORE_DELAY_S
    call_at(virtual.clock, when_s, _read, virtual, fleet, wanted, now_s)


def _read(
    now_s: float,
    virtual: VirtualFleet,
    fleet: Fleet,
    wanted: StoreRead,
    asked_at_s: float,
) -> None:
    when_s = acts_at(virtual, fleet, now_s)
    if when_s is None or not reaches_store(virtual, fleet):
        return
    virtual.platform.calls['get'] += 1
    stored = read_object(virtual.platform, wanted.kind, wanted.name)
    if when_s > now_s:
        call_at(
            virtual.clock, when_s, _take, virtual, fleet, stored, asked_at_s
        )
        return
    _take(now_s, virtual, fleet, stored, asked_at_s)


def _take(
    now_s: float,
    virtual: VirtualFleet,
    fleet: Fleet,
    stored: Any,
    asked_at_s: float,
) -> None:
    apply_stored_object(fleet, stored, asked_at_s, now_s)
    flush(virtual, fleet, now_s)


def _watch(now_s: float, virtual: VirtualFleet, fleet: Fleet) -> None:
    when_s = acts_at(virtual, fleet, now_s)
    if when_s is None:
        return
    if when_s > now_s:
        call_at(virtual.clock, when_s, _watch, virtual, fleet)
        return
    if reaches_store(virtual, fleet):
        _take_changes(virtual, fleet, now_s)
    period_s = WATCH_S if is_watcher(fleet, now_s) else SLOW_WATCH_S
    call_at(virtual.clock, now_s + period_s, _watch, virtual, fleet)


def _take_changes(virtual: VirtualFleet, fleet: Fleet, now_s: float) -> None:
    since = fleet.configuration.progress['revision']
    changed = changes_since(virtual.platform, since)
    revision = config_revision(virtual.platform)
    news = ConfigUpdate(revision, changed)
    apply_config_update(fleet, fleet.identity.name, news, now_s)
    flush(virtual, fleet, now_s)


def _read_vms(now_s: float, virtual: VirtualFleet, fleet: Fleet) -> None:
    when_s = acts_at(virtual, fleet, now_s)
    if when_s is None:
        return
    if reaches_store(virtual, fleet) and when_s <= now_s:
        names = {
            name for name, state in virtual.states.items() if state['alive']
        }
        apply_vm_list(fleet, names)
    call_at(virtual.clock, when_s + VM_LIST_S, _read_vms, virtual, fleet)
