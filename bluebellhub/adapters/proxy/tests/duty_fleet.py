"""VMs that run the duties in virtual time, with a store and a cloud API.

The VMs run the real tasks.  The fleet stands between them and the store, the
API and each other, and causes the faults.
"""

from collections import Counter
from contextlib import asynccontextmanager
from random import Random
from typing import NamedTuple

import trio

from bluebellhub.adapters.proxy import duties, duty_orders, duty_store
from bluebellhub.adapters.proxy.gossip import gossip_handlers
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.adapters.proxy.tests.duty_connections import (
    START_S,
    Connections,
    Faults,
    Fleet,
    StoreConnections,
    now_s,
    thawed,
)
from bluebellhub.adapters.proxy.tests.duty_fakes import KINDS, LAST_SCALED_S
from bluebellhub.adapters.proxy.tests.restorable_store import (
    make_client,
    make_restorable_store,
)
from bluebellhub.duty import DutyBounds, duty_kinds
from bluebellhub.peer_messages import decode_message, encode_message
from bluebellhub.settings import DutySettings, Settings, SiteSettings
from bluebellhub.site.state import Bounds, make_site
from bluebellhub.site.vm_location import VmLocation

__all__ = [
    'START_S',
    'kill',
    'make_fleet',
    'run_fleet',
    'start',
    'thaw',
]


class Node(NamedTuple):
    """The part of a VM's runtime that the duties use."""

    scheduler: object


class Link(NamedTuple):
    """A VM's connections to the others."""

    vm: str


class Watcher(NamedTuple):
    """The part of a watcher that the duties use."""

    proxy: Proxy
    store: object
    link: Link


def make_fleet(seed=0, *, is_fenced=False, calls_per_s=50.0):
    """Return a fleet without VMs."""
    return Fleet(
        Random(seed),
        make_restorable_store(),
        [],
        [],
        [],
        [],
        DutyBounds(3.0, is_fenced, calls_per_s),
        {},
        {},
        Faults({}, set(), Counter(), set(), set(), {}, set()),
        [],
    )


@asynccontextmanager
async def run_fleet(fleet, names, monkeypatch):
    """Run the VMs in virtual time; the clock must jump by itself."""
    _patch(fleet, monkeypatch)
    async with trio.open_nursery() as nursery:
        fleet.nursery.append(nursery)
        for name in names:
            fleet.sites[name] = None
        for name in names:
            start(fleet, name)
        try:
            yield fleet
        finally:
            for name in tuple(fleet.faults.frozen):
                thaw(fleet, name)
            nursery.cancel_scope.cancel()


def _patch(fleet, monkeypatch):
    """Replace the clock, the links and the kinds of duties."""
    LAST_SCALED_S.clear()
    _patch_network(fleet, monkeypatch)
    monkeypatch.setattr(duties, 'TICK_S', 0.1)
    monkeypatch.setattr(duties, 'next_step', _unless_frozen(fleet))
    give = duty_orders.give_next_order

    async def give_unless_frozen(desk):
        await thawed(fleet, desk.proxy.site.vm)
        await give(desk)

    monkeypatch.setattr(duties, 'give_next_order', give_unless_frozen)
    for name, kind in KINDS.items():
        monkeypatch.setitem(duty_kinds.entries, name, kind)


def _patch_network(fleet, monkeypatch):
    """Replace the clock, the links and the connections to the API."""
    for module in (duties, duty_orders, duty_store):
        monkeypatch.setattr(module, 'now_s', now_s)
    monkeypatch.setattr(
        duties, 'first_live_vms', lambda site, at_s: _live(fleet, site.vm)
    )
    monkeypatch.setattr(
        duties, 'send_all', lambda *args: _send_all(fleet, *args)
    )
    monkeypatch.setattr(
        duties, 'make_cloud', lambda address: Connections(fleet, address)
    )
    monkeypatch.setattr(duties, 'close_cloud', lambda cloud: trio.sleep(0))


def _unless_frozen(fleet):
    decide = duties.next_step
    return lambda duty, live_vms, at_s: (
        None if duty.vm in fleet.faults.frozen else decide(duty, live_vms, at_s)
    )


def _live(fleet, vm):
    """Return the VMs whose messages reach a VM, itself included."""
    return [
        name
        for name in fleet.sites
        if name in fleet.scopes and _reaches(fleet, name, vm)
    ]


def _reaches(fleet, sender, vm):
    if sender == vm:
        return True
    cut = fleet.faults.cut_pairs
    frozen = fleet.faults.frozen
    return (sender, vm) not in cut and not {sender, vm} & frozen.keys()


def _send_all(fleet, link, names, message):
    for name in names:
        if name in fleet.scopes and _reaches(fleet, link.vm, name):
            decoded = decode_message(encode_message(message))
            proxy = Proxy(
                Node(fleet.sites[name].scheduler),
                fleet.sites[name],
                {},
                {},
                {},
            )
            gossip_handlers.find(type(decoded).__name__)(
                proxy, link.vm, decoded
            )


def start(fleet, name):
    """Start a VM, or start it again."""
    site = make_site(
        name,
        'd',
        Bounds(duty=fleet.bounds),
        now_s(),
        fleet.random.getrandbits(32),
    )
    site.vms.update(dict.fromkeys(fleet.sites, VmLocation('', 'd')))
    fleet.sites[name] = site
    client = make_client(fleet.store)
    watcher = Watcher(
        Proxy(Node(site.scheduler), site, {}, {}, {}),
        client._replace(connections=StoreConnections(fleet, name)),
        Link(name),
    )
    settings = Settings(
        name,
        'd',
        '',
        site=SiteSettings(
            duty=DutySettings(cloud=name, duties='usage_report,autoscale')
        ),
    )
    fleet.scopes[name] = trio.CancelScope()
    fleet.nursery[0].start_soon(_run_vm, fleet.scopes[name], watcher, settings)


async def _run_vm(scope, watcher, settings):
    with scope:
        await duties.run_duties(watcher, settings)


def kill(fleet, name):
    """End a VM's process without notice."""
    fleet.scopes.pop(name).cancel()


def thaw(fleet, name):
    """Let a frozen VM continue."""
    fleet.faults.frozen.pop(name).set()
