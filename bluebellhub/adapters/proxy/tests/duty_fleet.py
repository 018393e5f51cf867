"""VMs that run the duties in virtual time, with a store and a cloud API.

The VMs run the real tasks.  The fleet stands between them and the store, the
API and each other, and causes the faults.
"""

from collections import Counter
from contextlib import asynccontextmanager
from random import Random
from typing import NamedTuple

import httpcore
import msgspec
import trio

from bluebellhub.adapters.proxy import duties, duty_orders, duty_store
from bluebellhub.adapters.proxy.gossip import gossip_handlers
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.adapters.proxy.tests.restorable_store import (
    RestorableStore,
    make_client,
    make_restorable_store,
)
from bluebellhub.duty import (
    DutyBounds,
    DutyKind,
    ScaleOrder,
    UsageOrder,
    duty_kinds,
)
from bluebellhub.peer_messages import decode_message, encode_message
from bluebellhub.settings import DutySettings, Settings, SiteSettings
from bluebellhub.site.state import Bounds, make_site
from bluebellhub.site.vm_location import VmLocation

__all__ = [
    'Call',
    'Fleet',
    'connections_of',
    'kill',
    'make_fleet',
    'run_fleet',
    'start',
    'thaw',
]

START_S = 1000.0
WINDOW_S = 5.0
CURRENT_S = 20.0
LATENCY_S = 0.003
OK = 200
CONFLICT = 409
BUSY = 429
LATE_MAX_S = 2.0


class Call(NamedTuple):
    """A call as the API received it, and what became of it."""

    at_s: float
    holder: str
    token: int
    path: str
    body: dict


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


class Faults(NamedTuple):
    """Faults by VM, or for all under the name ``*``.

    ``late`` and ``lost`` are ratios of calls: executed late and without a
    response, or executed at once without one.
    """

    frozen: dict
    store_cut: set
    store_lost: Counter
    cloud_cut: set
    cloud_silent: set
    ratios: dict
    cut_pairs: set


class Fleet(NamedTuple):
    """The VMs, what they call, and the faults.

    ``calls`` are those that the API received, ``executed`` the same at the time
    of their execution, and ``refused`` those that got 409, with the time.
    """

    random: Random
    store: RestorableStore
    store_calls: list
    calls: list
    executed: list
    refused: list
    bounds: DutyBounds
    sites: dict
    scopes: dict
    faults: Faults
    nursery: list


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


def _now_s():
    return START_S + trio.current_time()


def _patch(fleet, monkeypatch):
    """Replace the clock, the links and the kinds of duties."""
    LAST_SCALED_S.clear()
    for module in (duties, duty_orders, duty_store):
        monkeypatch.setattr(module, 'now_s', _now_s)
    monkeypatch.setattr(duties, 'TICK_S', 0.1)
    monkeypatch.setattr(
        duties, 'first_live_vms', lambda site, now_s: _live(fleet, site.vm)
    )
    monkeypatch.setattr(
        duties, 'send_all', lambda *args: _send_all(fleet, *args)
    )
    monkeypatch.setattr(
        duties, 'make_cloud', lambda address: Connections(fleet, address)
    )
    monkeypatch.setattr(duties, 'close_cloud', lambda cloud: trio.sleep(0))
    monkeypatch.setattr(duties, 'next_step', _unless_frozen(fleet))
    give = duty_orders.give_next_order

    async def give_unless_frozen(desk):
        await _thawed(fleet, desk.proxy.site.vm)
        await give(desk)

    monkeypatch.setattr(duties, 'give_next_order', give_unless_frozen)
    for name, kind in KINDS.items():
        monkeypatch.setitem(duty_kinds.entries, name, kind)


def _unless_frozen(fleet):
    decide = duties.next_step
    return lambda duty, live_vms, now_s: (
        None
        if duty.vm in fleet.faults.frozen
        else decide(duty, live_vms, now_s)
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
                Node(fleet.sites[name].scheduler), fleet.sites[name], {}, {}
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
        _now_s(),
        fleet.random.getrandbits(32),
    )
    site.vms.update(dict.fromkeys(fleet.sites, VmLocation('', 'd')))
    fleet.sites[name] = site
    client = make_client(fleet.store)
    watcher = Watcher(
        Proxy(Node(site.scheduler), site, {}, {}),
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
    scope = fleet.scopes[name] = trio.CancelScope()
    fleet.nursery[0].start_soon(_run_vm, scope, watcher, settings)


async def _run_vm(scope, watcher, settings):
    with scope:
        await duties.run_duties(watcher, settings)


def kill(fleet, name):
    """End a VM's process without notice."""
    fleet.scopes.pop(name).cancel()


def thaw(fleet, name):
    """Let a frozen VM continue."""
    fleet.faults.frozen.pop(name).set()


async def _thawed(fleet, vm):
    """Wait until a VM is not frozen; no time limit applies meanwhile."""
    while vm in fleet.faults.frozen:
        with trio.CancelScope(shield=True):
            await fleet.faults.frozen[vm].wait()


def _ratio(fleet, name):
    return fleet.random.random() < fleet.faults.ratios.get(name, 0.0)


async def _never():
    await trio.sleep_forever()


class StoreConnections(NamedTuple):
    """A VM's connections to the store."""

    fleet: Fleet
    vm: str

    async def request(self, method, url, *, headers, content):
        fleet, faults = self.fleet, self.fleet.faults
        fleet.store_calls.append((_now_s(), self.vm, method))
        await trio.sleep(LATENCY_S)
        await _thawed(fleet, self.vm)
        if {self.vm, '*'} & faults.store_cut:
            await _never()

        async def execute():
            return await fleet.store.request(
                method, url, headers=headers, content=content
            )

        if method != 'GET' and _ratio(fleet, 'store_late'):
            fleet.nursery[0].start_soon(_execute_late, fleet, execute)
            await _never()
        response = await execute()
        is_lost = faults.store_lost[self.vm] and method != 'GET'
        faults.store_lost[self.vm] -= bool(is_lost)
        if is_lost or _ratio(fleet, 'store_lost'):
            await _never()
        await trio.sleep(LATENCY_S)
        await _thawed(fleet, self.vm)
        return response


async def _execute_late(fleet, execute):
    await trio.sleep(fleet.random.random() * 2 * LATE_MAX_S)
    if not fleet.store.state['is_away']:
        await execute()


class Connections(NamedTuple):
    """A VM's connections to the API; its address is the VM's name."""

    fleet: Fleet
    vm: str

    @property
    def url(self):
        return 'http://cloud'

    @property
    def connections(self):
        return self

    async def request(self, method, url, *, headers, content, extensions):
        fleet, faults = self.fleet, self.fleet.faults
        await trio.sleep(LATENCY_S)
        await _thawed(fleet, self.vm)
        if {self.vm, '*'} & faults.cloud_cut:
            raise httpcore.ConnectError
        for part in ('headers', 'body'):
            await extensions['trace'](f'http11.send_request_{part}.started', {})
        fields = dict(headers)
        call = Call(
            _now_s(),
            fields[b'X-Bluebellhub-Duty-Holder'].decode(),
            int(fields[b'X-Bluebellhub-Fencing-Token']),
            url.rpartition('/')[2],
            msgspec.json.decode(content),
        )
        fleet.calls.append(call)
        if {self.vm, '*'} & faults.cloud_silent or _ratio(fleet, 'silent'):
            fleet.nursery[0].start_soon(_execute_call_late, fleet, call)
            await _never()
        status = _execute_call(fleet, call)
        await trio.sleep(LATENCY_S)
        await _thawed(fleet, self.vm)
        return httpcore.Response(status)


async def _execute_call_late(fleet, call):
    await trio.sleep(fleet.random.random() * LATE_MAX_S)
    _execute_call(fleet, call)


def _subject(call):
    return call.path, call.body.get('service'), call.body.get('zone')


def _execute_call(fleet, call):
    """Execute a call as the platform does; return the status."""
    now_s = _now_s()
    recent = [done for done in fleet.executed[-200:] if now_s - done.at_s < 1]
    is_busy = len(recent) >= max(1.0, fleet.bounds.calls_per_s)
    if is_busy or _ratio(fleet, 'busy'):
        return BUSY
    seen = [
        done.token
        for done in fleet.executed
        if _subject(done) == _subject(call)
    ]
    if fleet.bounds.is_fenced and call.token < max(seen, default=0):
        fleet.refused.append(call._replace(at_s=now_s))
        return CONFLICT
    fleet.executed.append(call._replace(at_s=now_s))
    return OK


def connections_of(fleet, vm):
    """Return the VM's connections to the API."""
    return Connections(fleet, vm)


def _prepare_usage(proxy, reports, now_s):
    """Report each window with counts that differ on each VM and call."""
    ended = int(now_s // WINDOW_S) - 1
    window = max((report.window for report in reports), default=ended - 1) + 1
    if window > ended:
        return None
    window = max(window, ended - int(CURRENT_S // WINDOW_S))
    return UsageOrder(window, {proxy.site.vm: int(now_s * 10)})


def _prepare_scale(proxy, reports, now_s):
    """Order another count each second."""
    last_s = LAST_SCALED_S.get(proxy.site.start_id, 0.0)
    if now_s - last_s < 1.0:
        return None
    LAST_SCALED_S[proxy.site.start_id] = now_s
    return ScaleOrder('s', f'd{int(now_s) % 3}', int(now_s) % 7)


def _is_current(proxy, order, now_s):
    if isinstance(order, ScaleOrder):
        return True
    return now_s < (order.window + 1) * WINDOW_S + CURRENT_S


def _ended(proxy, order, outcome, now_s):
    """Nothing is to be recorded in these tests."""


LAST_SCALED_S: dict = {}
KINDS = {
    'usage_report': DutyKind(_prepare_usage, _ended, _is_current),
    'autoscale': DutyKind(_prepare_scale, _ended, _is_current),
}
