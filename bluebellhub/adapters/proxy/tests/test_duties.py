"""The duties in virtual time: one holder, whatever fails."""

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
from bluebellhub.adapters.proxy.tests.duty_rules import (
    broken_rules,
    store_calls_per_min,
)
from bluebellhub.adapters.proxy.tests.restorable_store import (
    copy_of,
    restore,
)

NAMES = ['hub-1', 'hub-2', 'hub-3']


def holder_of(fleet):
    """Return the VM that made the last call."""
    return fleet.calls[-1].holder


def calls_since(fleet, since_s):
    return [call for call in fleet.calls if call.at_s > since_s]


async def wait_for_holder(fleet):
    await trio.sleep(12.0)
    assert fleet.calls
    return holder_of(fleet)


def now_s():
    return START_S + trio.current_time()


async def _kill(fleet, holder):
    kill(fleet, holder)


async def _stop(fleet, holder):
    fleet.sites[holder].flags['leaving'] = True


async def _freeze(fleet, holder):
    fleet.faults.frozen[holder] = trio.Event()


async def _cut_store(fleet, holder):
    fleet.faults.store_cut.add(holder)


async def _cut_cloud(fleet, holder):
    fleet.faults.cloud_cut.add(holder)


async def _silence_cloud(fleet, holder):
    fleet.faults.cloud_silent.add(holder)


@pytest.mark.parametrize('is_fenced', [False, True])
@pytest.mark.parametrize(
    ('fail', 'within_s'),
    [
        (_kill, 9.0),
        (_stop, 1.5),
        (_freeze, 9.0),
        (_cut_store, 9.5),
        (_cut_cloud, 6.0),
        (_silence_cloud, 9.0),
    ],
)
async def test_another_vm_takes_over(
    fail, within_s, is_fenced, monkeypatch, autojump_clock
):
    """A holder that fails must not leave the duties without one."""
    fleet = make_fleet(1, is_fenced=is_fenced)
    async with run_fleet(fleet, NAMES, monkeypatch):
        holder = await wait_for_holder(fleet)
        await fail(fleet, holder)
        failed_at_s = now_s()
        await trio.sleep(within_s)
        others = [
            call
            for call in calls_since(fleet, failed_at_s)
            if call.holder != holder
        ]
        assert others
        if holder in fleet.faults.frozen:
            thaw(fleet, holder)
        await trio.sleep(15.0)
        late = [call.holder for call in calls_since(fleet, now_s() - 5.0)]
        assert late
        assert holder not in late
    assert not broken_rules(fleet)


async def _lose_write_response(fleet, holder):
    """The store executes a renewal, but its response is lost."""
    fleet.faults.store_lost[holder] = 1


async def _drop_reports(fleet, holder):
    """The holder's messages reach nobody, others' messages reach it."""
    for name in NAMES:
        if name != holder:
            fleet.faults.cut_pairs.add((holder, name))


async def _freeze_shortly(fleet, holder):
    await _freeze(fleet, holder)
    await trio.sleep(2.0)
    thaw(fleet, holder)


async def _let_busy(fleet, holder):
    """The API gets so many calls from elsewhere that it takes none."""
    fleet.faults.ratios['busy'] = 1.0
    await trio.sleep(5.0)
    fleet.faults.ratios['busy'] = 0.0


@pytest.mark.parametrize(
    'disturb',
    [_lose_write_response, _drop_reports, _freeze_shortly, _let_busy],
)
async def test_holder_stays(disturb, monkeypatch, autojump_clock):
    """A fault that a holder survives must not cost a change of holders."""
    fleet = make_fleet(2)
    async with run_fleet(fleet, NAMES, monkeypatch):
        holder = await wait_for_holder(fleet)
        token = fleet.calls[-1].token
        await disturb(fleet, holder)
        await trio.sleep(20.0)
        recent = calls_since(fleet, now_s() - 3.0)
        assert {(call.holder, call.token) for call in recent} == {
            (holder, token)
        }
    assert not broken_rules(fleet)


@pytest.mark.parametrize('copied_before_s', [0.5, 8.0])
@pytest.mark.parametrize('is_holder_killed', [False, True])
async def test_restored_store_repeats_nothing(
    copied_before_s, is_holder_killed, monkeypatch, autojump_clock
):
    """An older copy must not bring back a token or a window's turn."""
    fleet = make_fleet(3)
    async with run_fleet(fleet, NAMES, monkeypatch):
        holder = await wait_for_holder(fleet)
        copy = copy_of(fleet.store)
        await trio.sleep(copied_before_s)
        token = fleet.calls[-1].token
        restore(fleet.store, copy)
        if is_holder_killed:
            kill(fleet, holder)
        await trio.sleep(20.0)
        recent = calls_since(fleet, now_s() - 3.0)
        assert recent
        assert all(call.token > token for call in recent)
        if not is_holder_killed:
            assert holder_of(fleet) == holder
    assert not broken_rules(fleet)


async def test_empty_copy_repeats_nothing(monkeypatch, autojump_clock):
    """A copy from before the first holder has no duty object at all."""
    fleet = make_fleet(4)
    copy = copy_of(fleet.store)
    async with run_fleet(fleet, NAMES, monkeypatch):
        await wait_for_holder(fleet)
        restore(fleet.store, copy)
        await trio.sleep(20.0)
        assert calls_since(fleet, now_s() - 3.0)
    assert not broken_rules(fleet)


async def test_report_of_a_killed_holder_is_resent_unchanged(
    monkeypatch, autojump_clock
):
    """A report in the object but not sent must keep its counts."""
    fleet = make_fleet(5)
    async with run_fleet(fleet, NAMES, monkeypatch):
        holder = await wait_for_holder(fleet)
        fleet.faults.cloud_silent.add(holder)
        reports = fleet.sites[holder].duty.reports
        while not reports['unsent']:
            await trio.sleep(0.05)
        stored = reports['unsent'][-1]
        kill(fleet, holder)
        await trio.sleep(12.0)
    sent = [
        call.body['counts']
        for call in fleet.executed
        if call.path == 'usage' and call.body['window'] == stored.window
    ]
    assert sent
    assert all(counts == stored.counts for counts in sent)
    assert not broken_rules(fleet)


async def test_store_outage_ends_the_lease_and_nobody_takes_it(
    monkeypatch, autojump_clock
):
    """Without the store nobody knows who holds the lease."""
    fleet = make_fleet(6)
    async with run_fleet(fleet, NAMES, monkeypatch):
        await wait_for_holder(fleet)
        fleet.faults.store_cut.add('*')
        down_at_s = now_s()
        await trio.sleep(20.0)
        assert not calls_since(fleet, down_at_s + 6.0)
        fleet.faults.store_cut.clear()
        await trio.sleep(18.0)
        assert calls_since(fleet, down_at_s + 20.0)
    assert not broken_rules(fleet)


async def test_refused_token_is_replaced(monkeypatch, autojump_clock):
    """After a 409 the VM must not call with that token again."""
    fleet = make_fleet(7, is_fenced=True)
    async with run_fleet(fleet, NAMES, monkeypatch):
        await wait_for_holder(fleet)
        last = fleet.executed[-1]
        higher = last._replace(token=last.token + 1)
        fleet.executed.extend(
            higher._replace(path=call.path, body=call.body)
            for call in fleet.executed[-4:]
        )
        await trio.sleep(20.0)
        assert fleet.refused
        assert calls_since(fleet, now_s() - 3.0)
    assert not broken_rules(fleet)


async def test_holder_frozen_while_it_connects_does_not_call(
    monkeypatch, autojump_clock
):
    """A call that was decided before a freeze must not be sent after it."""
    fleet = make_fleet(8)
    async with run_fleet(fleet, NAMES, monkeypatch):
        holder = await wait_for_holder(fleet)
        while not fleet.sites[holder].duty.calls['is_running']:
            await trio.sleep(0.001)
        await _freeze(fleet, holder)
        frozen_at_s = now_s()
        await trio.sleep(12.0)
        thaw(fleet, holder)
        await trio.sleep(3.0)
        since = calls_since(fleet, frozen_at_s)
        assert since
        assert holder not in {call.holder for call in since}
    assert not broken_rules(fleet)


@pytest.mark.parametrize('cut', ['none', 'cloud', 'store'])
async def test_store_calls_are_few(cut, monkeypatch, autojump_clock):
    """All VMs together may make 30 store calls a minute for the duties."""
    fleet = make_fleet(9)
    async with run_fleet(fleet, NAMES, monkeypatch):
        await wait_for_holder(fleet)
        if cut != 'none':
            getattr(fleet.faults, f'{cut}_cut').add('*')
        await trio.sleep(150.0)
        end_s = now_s()
    assert store_calls_per_min(fleet, START_S, end_s - 60.0) < 30.0
    assert not broken_rules(fleet)


async def test_calls_keep_to_their_rate(monkeypatch, autojump_clock):
    """Calls above the limit get 429."""
    fleet = make_fleet(10, calls_per_s=0.5)
    async with run_fleet(fleet, NAMES, monkeypatch):
        await trio.sleep(60.0)
    assert 15 < len(fleet.calls) <= 26


async def test_restarted_vm_takes_its_lease_again(monkeypatch, autojump_clock):
    """The only VM must not wait for its own earlier process's lease."""
    fleet = make_fleet(11)
    async with run_fleet(fleet, ['hub-1'], monkeypatch):
        await wait_for_holder(fleet)
        kill(fleet, 'hub-1')
        start(fleet, 'hub-1')
        await trio.sleep(4.5)
        assert calls_since(fleet, now_s() - 1.0)
    assert not broken_rules(fleet)
