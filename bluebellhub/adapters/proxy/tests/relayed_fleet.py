"""VMs of several failure domains that watch one store, in virtual time."""

from collections import Counter
from itertools import count
from random import Random
from typing import NamedTuple

import trio

from bluebellhub.adapters.proxy import (
    object_handlers as handlers,
)
from bluebellhub.adapters.proxy import (
    store_relaying,
    store_steps,
    store_watch,
)
from bluebellhub.adapters.proxy.gossip import gossip_handlers
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.adapters.proxy.tests.failing_store import (
    Connections,
    make_store_state,
)
from bluebellhub.peer_messages import decode_message, encode_message
from bluebellhub.platform.store_calls import Store, make_era
from bluebellhub.site.reports import Peer, VmReport
from bluebellhub.site.state import Bounds, make_site, set_vms
from bluebellhub.site.vm_location import VmLocation

__all__ = [
    'FAULTS',
    'NEVER',
    'Fleet',
    'make_fleet',
    'relays_of',
    'run_fleet',
    'start_vm',
    'use_virtual_time',
]

GOSSIP_S = 0.25
NEVER = (0, False)


class Fleet(NamedTuple):
    """The VMs, the store's objects and history, and what was applied where.

    ``faults`` holds the VMs that each fault applies to now. ``applied`` holds
    by VM, kind and name the newest revision and whether it still exists, and
    ``sent`` the sizes of the messages between VMs.
    """

    watchers: dict
    scopes: dict
    store: dict
    calls: Counter
    faults: dict
    held: list
    applied: dict
    sent: list
    nursery: trio.Nursery
    random: Random


class Link(NamedTuple):
    """The link of a VM to the others of the fleet."""

    fleet: Fleet
    vm: str


FAULTS = ('frozen', 'cut_from_store', 'store_down', 'busy', 'mute', 'deaf')


def make_fleet(kinds, nursery, seed=0):
    """Create a fleet without VMs and an empty store."""
    store = make_store_state(kinds)
    faults = {fault: set() for fault in FAULTS}
    faults['loss'] = 0.0
    return Fleet(
        {}, {}, store, Counter(), faults, [], {}, [], nursery, Random(seed)
    )


def start_vm(fleet, vm, locations):
    """Start a VM, or end it and start it again."""
    earlier = fleet.scopes.get(vm)
    if earlier is not None:
        earlier.cancel()
    seed = fleet.random.getrandbits(32)
    site = make_site(
        vm, locations[vm].domain, Bounds(), trio.current_time(), seed
    )
    set_vms(site, locations)
    store = Store('http://store', Connections(fleet, vm), make_era())
    watcher = handlers.make_watcher(
        Proxy(None, site, {}, {}, {}), store, Link(fleet, vm)
    )
    fleet.watchers[vm] = watcher
    fleet.applied[vm] = {kind: {} for kind in fleet.store['objects']}
    fleet.scopes[vm] = trio.CancelScope()
    fleet.nursery.start_soon(_run_vm, fleet, watcher, fleet.scopes[vm])


async def _run_vm(fleet, watcher, scope):
    with scope:
        async with trio.open_nursery() as nursery:
            for kind in fleet.store['objects']:
                nursery.start_soon(store_watch.watch_store, watcher, kind)
            nursery.start_soon(store_relaying.relay_store, watcher)


def run_fleet(fleet, vm_count, domain_count):
    """Start all VMs and the gossip that shows which ones are live."""
    locations = {
        f'hub-{number:03}': VmLocation('', f'd{number % domain_count}')
        for number in range(vm_count)
    }
    for vm in locations:
        start_vm(fleet, vm, locations)
    fleet.nursery.start_soon(_run_gossip, fleet, locations)
    return locations


def relays_of(fleet, domain):
    """Return the VMs that relay in a failure domain."""
    now_s = trio.current_time()
    return [
        vm
        for vm, watcher in fleet.watchers.items()
        if watcher.proxy.site.scheduler.flags['failure_domain'] == domain
        and watcher.proxy.site.store_relays.flags['relay_until_s'] >= now_s
    ]


async def _run_gossip(fleet, locations):
    faults = fleet.faults
    for number in count():
        peers: dict = {location: {} for location in locations.values()}
        for vm in locations.keys() - faults['frozen'] - faults['mute']:
            report = VmReport(1, 1, number, {}, {}, {})
            peer = Peer(report, trio.current_time())
            peers[locations[vm]][vm] = peer
        for vm in locations.keys() - faults['frozen'] - faults['deaf']:
            received = fleet.watchers[vm].proxy.site.peers
            received.update(peers[locations[vm]])
            received.pop(vm, None)
        _deliver_held(fleet)
        await trio.sleep(GOSSIP_S)


def _send_all(link, names, message):
    """Deliver a message at once, or later if a VM is frozen."""
    fleet = link.fleet
    encoded = encode_message(message)
    fleet.sent.append(len(encoded))
    for name in names:
        is_lost = fleet.random.random() < fleet.faults['loss']
        if link.vm in fleet.faults['mute'] or is_lost:
            continue
        if name in fleet.faults['deaf']:
            continue
        fleet.held.append((link.vm, name, encoded))
    _deliver_held(fleet)


def _deliver_held(fleet):
    """Deliver the messages of which neither end is frozen."""
    held = tuple(fleet.held)
    fleet.held.clear()
    for sender, name, encoded in held:
        if {sender, name} & fleet.faults['frozen']:
            fleet.held.append((sender, name, encoded))
            continue
        message = decode_message(encoded)
        handler = gossip_handlers.find(type(message).__name__)
        handler(fleet.watchers[name].proxy, sender, message)


def use_virtual_time(monkeypatch, kinds):
    """Let the watches use trio's clock, fake links and recording handlers."""
    for module in (handlers, store_relaying, store_steps, store_watch):
        monkeypatch.setattr(module, 'now_s', trio.current_time)
    monkeypatch.setattr(store_relaying, 'send_all', _send_all)
    for kind in kinds:
        monkeypatch.setitem(
            handlers.object_handlers.entries, kind, _recorder(kind)
        )


def _recorder(kind):
    """Return a handler that records revisions and refuses older ones."""

    def state_of(watcher):
        return watcher.link.fleet.applied[watcher.link.vm][kind]

    def apply_listing(watcher, entries):
        _record_listing(state_of(watcher), entries)

    def apply_change(watcher, change):
        _record_change(state_of(watcher), change)

    def record_restore(watcher):
        state_of(watcher).clear()

    return handlers.ObjectHandler(
        apply_listing, apply_change, record_restore, lambda watcher: None
    )


def _record_listing(state, entries):
    found = {entry.name for entry in entries}
    for name in state.keys() - found:
        state[name] = (state[name][0], False)
    for entry in entries:
        newest, _ = state.get(entry.name, NEVER)
        assert entry.revision >= newest, (entry, newest)
        state[entry.name] = (entry.revision, True)


def _record_change(state, change):
    name, revision = change.entry.name, change.entry.revision
    known = state.get(name, NEVER)
    assert revision >= known[0], (change, known)
    # A removal has the revision of the removed object.
    assert change.is_removed or (revision, False) != known, change
    state[name] = (revision, not change.is_removed)
