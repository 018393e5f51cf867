"""The duties under random faults: the rules hold at the cloud API."""

import pytest
import trio

from bluebellhub.adapters.proxy.tests.duty_fleet import (
    START_S,
    kill,
    make_fleet,
    run_fleet,
    start,
    thaw,
)
from bluebellhub.adapters.proxy.tests.duty_rules import broken_rules
from bluebellhub.adapters.proxy.tests.restorable_store import (
    copy_of,
    restore,
    set_away,
)

NAMES = [f'hub-{number}' for number in range(1, 6)]
FAULTS_S = 150.0
RECOVERY_S = 30.0


def _pick(fleet):
    """Return the holder of the last call, or any VM."""
    if fleet.calls and fleet.random.random() < 0.6:
        return fleet.calls[-1].holder
    return fleet.random.choice(NAMES)


async def _restart(fleet):
    name = _pick(fleet)
    kill(fleet, name)
    await trio.sleep(fleet.random.random() * 4)
    start(fleet, name)


async def _stop(fleet):
    name = _pick(fleet)
    fleet.sites[name].flags['leaving'] = True
    await trio.sleep(fleet.random.random() * 4)
    kill(fleet, name)
    start(fleet, name)


async def _freeze(fleet):
    name = _pick(fleet)
    fleet.faults.frozen[name] = trio.Event()
    await trio.sleep(fleet.random.random() * 12)
    thaw(fleet, name)


async def _restore(fleet):
    copy = copy_of(fleet.store)
    await trio.sleep(fleet.random.random() * 8)
    restore(fleet.store, copy)


async def _take_store_away(fleet):
    set_away(fleet.store, is_away=True)
    await trio.sleep(fleet.random.random() * 12)
    set_away(fleet.store, is_away=False)


async def _cut_one_way(fleet):
    pairs = {(_pick(fleet), name) for name in NAMES}
    fleet.faults.cut_pairs.update(pairs)
    await trio.sleep(fleet.random.random() * 12)
    fleet.faults.cut_pairs.difference_update(pairs)


def _cut(field):
    async def cut(fleet):
        name = _pick(fleet)
        getattr(fleet.faults, field).add(name)
        await trio.sleep(fleet.random.random() * 12)
        getattr(fleet.faults, field).discard(name)

    return cut


def _raise(name, ratio):
    async def raise_ratio(fleet):
        fleet.faults.ratios[name] = ratio
        await trio.sleep(fleet.random.random() * 12)
        fleet.faults.ratios[name] = 0.0

    return raise_ratio


# Faults of one group follow each other; those of different groups overlap.
FAULTS = [
    [_restart, _stop, _freeze],
    [
        _restore,
        _take_store_away,
        _cut('store_cut'),
        _raise('store_late', 0.4),
        _raise('store_lost', 0.4),
    ],
    [
        _cut_one_way,
        _cut('cloud_cut'),
        _cut('cloud_silent'),
        _raise('silent', 0.3),
        _raise('busy', 0.5),
    ],
]


async def _disturb(fleet, faults):
    """Cause one fault after the other."""
    while trio.current_time() < FAULTS_S:
        await trio.sleep(fleet.random.random() * 6)
        await fleet.random.choice(faults)(fleet)
        assert not broken_rules(fleet)


@pytest.mark.parametrize('is_fenced', [False, True])
@pytest.mark.parametrize('seed', [1, 2, 3])
async def test_rules_hold_under_random_faults(
    seed, is_fenced, monkeypatch, autojump_clock
):
    """Faults that overlap must not break a rule nor end the duties."""
    fleet = make_fleet(seed, is_fenced=is_fenced)
    async with run_fleet(fleet, NAMES, monkeypatch):
        async with trio.open_nursery() as nursery:
            for faults in FAULTS:
                nursery.start_soon(_disturb, fleet, faults)
        await trio.sleep(RECOVERY_S)
        end_s = START_S + trio.current_time()
    assert not broken_rules(fleet)
    assert fleet.executed[-1].at_s > end_s - 3.0
    assert len({call.token for call in fleet.calls}) > 3
