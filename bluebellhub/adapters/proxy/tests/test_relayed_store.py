"""Changes of the store reach all VMs in time, though few VMs watch it."""

from contextlib import asynccontextmanager
from copy import deepcopy

import pytest
import trio

from bluebellhub.adapters.proxy import store_steps
from bluebellhub.adapters.proxy.tests.failing_store import (
    restore,
    write_object,
)
from bluebellhub.adapters.proxy.tests.relayed_failures import FAILURES
from bluebellhub.adapters.proxy.tests.relayed_fleet import (
    NEVER,
    make_fleet,
    relays_of,
    run_fleet,
    use_virtual_time,
)
from bluebellhub.conftest import SOAK
from bluebellhub.platform.object_codec import (
    CONFIG_KIND,
    EVACUATION_KIND,
    MOVE_KIND,
    UPSTREAM_KIND,
)
from bluebellhub.site import store_relays

BOUNDS_S = {CONFIG_KIND: 3.0, UPSTREAM_KIND: 3.0, EVACUATION_KIND: 5.0}
SETTLED_S = 6.0
SEEDS = range(1, 13) if SOAK else (1, 2)
KINDS = (*BOUNDS_S, MOVE_KIND)


@pytest.fixture
def _virtual_time(monkeypatch):
    use_virtual_time(monkeypatch, KINDS)


def _write_some(fleet, number):
    """Write one object of each kind with a bound; remove an older one."""
    now_s = trio.current_time()
    written = []
    for kind in BOUNDS_S:
        for name, spec in ((f'o{number % 3}', {'n': number}), ('last', {})):
            write_object(fleet, kind, name, spec)
            written.append((now_s, kind, name, fleet.store['revision']))
        gone = f'o{(number + 1) % 3}'
        removed = fleet.store['objects'][kind].get(gone)
        if removed is not None:
            write_object(fleet, kind, gone, None)
            written.append((now_s, kind, gone, removed[0] + 0.5))
    return written


def _is_in_force(fleet, vm, kind, name, revision):
    """Return whether a VM has applied a write or, with a half, a removal."""
    newest, exists = fleet.applied[vm][kind].get(name, NEVER)
    if revision == int(revision):
        return newest >= revision
    return not exists or newest > revision


def _can_know(fleet, vm):
    """Return whether a VM runs and, or its relays, reaches the store."""
    cut = [
        fleet.faults[fault]
        for fault in ('cut_from_store', 'busy', 'store_down')
    ]
    is_cut = any(vm in vms and len(vms) > 1 for vms in cut)
    return vm not in fleet.faults['frozen'] and not is_cut


def _bound_s(change):
    return change[0] + BOUNDS_S[change[1]]


async def _check(fleet, written):
    """Assert that all VMs that can know a change apply it in time."""
    for at_s, kind, name, revision in sorted(written, key=_bound_s):
        await trio.sleep_until(at_s + BOUNDS_S[kind])
        late = [
            vm
            for vm in fleet.watchers
            if _can_know(fleet, vm)
            and not _is_in_force(fleet, vm, kind, name, revision)
        ]
        assert not late, (at_s, kind, name, revision, late)


async def _check_all_alike(fleet):
    """Assert that all VMs have exactly what the store has."""
    await trio.sleep(SETTLED_S)
    for vm, kinds in fleet.applied.items():
        for kind, found in kinds.items():
            has = {name: got[0] for name, got in found.items() if got[1]}
            stored = fleet.store['objects'][kind]
            assert has == {name: got[0] for name, got in stored.items()}, vm


@asynccontextmanager
async def _running_fleet(vm_count, domain_count, seed=0):
    """Run a fleet that follows its relays; at the end all VMs are alike."""
    async with trio.open_nursery() as nursery:
        fleet = make_fleet(KINDS, nursery, seed)
        run_fleet(fleet, vm_count, domain_count)
        _write_some(fleet, 0)
        await trio.sleep(SETTLED_S)
        yield fleet
        await _check_all_alike(fleet)
        nursery.cancel_scope.cancel()


async def _fail(fleet, failure, relays, after_s=None):
    """Write twice during a failure; assert that all is in force in time."""
    failure.begin(fleet, relays)
    await trio.sleep(fleet.random.random() * 2 if after_s is None else after_s)
    written = _write_some(fleet, 1)
    await trio.sleep(0.7)
    written += _write_some(fleet, 2)
    await _check(fleet, written)
    failure.end(fleet, relays)


CASES = [
    *((name, 0.4) for name in FAILURES),
    *(
        (name, after_s)
        for after_s in (0.0, 1.7)
        for name in FAILURES
        if name.startswith('both')
    ),
]


@pytest.mark.usefixtures('_virtual_time')
@pytest.mark.parametrize(('name', 'after_s'), CASES)
async def test_change_is_in_force_in_time(name, after_s, autojump_clock):
    """Else a VM would send requests to an upstream that is draining."""
    async with _running_fleet(34, 2) as fleet:
        relays = relays_of(fleet, 'd0')
        assert len(relays) == 2
        await _fail(fleet, FAILURES[name], relays, after_s)


@pytest.mark.usefixtures('_virtual_time')
@pytest.mark.parametrize('seed', SEEDS)
async def test_large_fleet_keeps_up(seed, autojump_clock):
    """Failures of the relays of any domain follow each other at random."""
    async with _running_fleet(195, 5, seed) as fleet:
        for _ in range(2):
            name = fleet.random.choice(sorted(FAILURES))
            relays = relays_of(fleet, f'd{fleet.random.randrange(5)}')
            fleet.random.shuffle(relays)
            await _fail(fleet, FAILURES[name], relays)
            await trio.sleep(fleet.random.random() * 3)


@pytest.mark.usefixtures('_virtual_time')
@pytest.mark.parametrize('restored_after_s', [0.0, 1.0])
async def test_restored_store_is_listed_by_all(
    restored_after_s, autojump_clock
):
    """The store gives out revisions again that the VMs have read already."""
    async with _running_fleet(34, 2) as fleet:
        copy = deepcopy({**fleet.store, 'written': None})
        for number in range(3):
            _write_some(fleet, number)
        await trio.sleep(restored_after_s)
        restore(fleet, copy)
        await _check(fleet, _write_some(fleet, 1))


async def _count_calls(vm_count, domain_count):
    """Return the calls of a fleet in half a minute of frequent changes."""
    async with _running_fleet(vm_count, domain_count) as fleet:
        fleet.calls.clear()
        for number in range(100):
            write_object(fleet, UPSTREAM_KIND, f'u{number % 7}', {'n': number})
            if number % 4 == 0:
                write_object(fleet, MOVE_KIND, 's', {'n': number})
            await trio.sleep(0.3)
        total = sum(fleet.calls.values())
    return total


@pytest.mark.usefixtures('_virtual_time')
async def test_calls_are_under_a_sixth_of_those_without_relays(
    monkeypatch, autojump_clock
):
    """The load is that of the measured fleet: over 130 calls/min by VM."""
    with_relays = await _count_calls(70, 5)
    for module in (store_relays, store_steps):
        monkeypatch.setattr(module, 'has_relays', lambda site: False)
    without = await _count_calls(70, 5)
    assert without > 70 * 130 / 2
    assert with_relays * 6 < without


@pytest.mark.usefixtures('_virtual_time')
async def test_late_response_confirms_no_more_than_its_call(autojump_clock):
    """A relay that was frozen reads responses from before the freeze."""
    async with _running_fleet(34, 2) as fleet:
        fleet.store['latency_s'] = 0.6
        at_s = trio.current_time()
        write_object(fleet, UPSTREAM_KIND, 'u', {})
        await trio.sleep(0.61)
        for vm in relays_of(fleet, 'd0'):
            site = fleet.watchers[vm].proxy.site
            message = store_relays.make_store_positions(site, at_s)
            age_s = message.kinds[UPSTREAM_KIND].age_s
            assert fleet.applied[vm][UPSTREAM_KIND]['u'][1]
            assert age_s > 0
        fleet.store['latency_s'] = 0.002


@pytest.mark.usefixtures('_virtual_time')
async def test_large_object_is_read_by_each_vm(autojump_clock):
    """Relayed to 64 VMs over 5 Mbit/s it would take minutes."""
    async with _running_fleet(34, 2) as fleet:
        fleet.sent.clear()
        write_object(fleet, CONFIG_KIND, 'main', {'text': 'x' * 1_000_000})
        at_s, revision = trio.current_time(), fleet.store['revision']
        await trio.sleep(1.0)
        await _check(fleet, [(at_s, CONFIG_KIND, 'main', revision)])
        assert max(fleet.sent) < 2048
