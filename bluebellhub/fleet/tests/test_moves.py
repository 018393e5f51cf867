"""Version moves led by a fleet: takeover, races and bad marks."""

import pytest

from bluebellhub.fleet.tests.small_fleet import (
    cut_off,
    later,
    start_fleet,
)
from bluebellhub.membership import owner_of
from bluebellhub.scheduler.outcomes import OutcomeCounts
from bluebellhub.standins.platform_model import read_object
from bluebellhub.standins.virtual_state import kill_vm, operate, pause_vm
from bluebellhub.version_move import allows_new

STOPPED_S = 2.0


def _announce(virtual):
    fields = {'from_version': '1', 'to_version': '2', 'due_at': 1e12}
    operate(virtual, 'version_move', 'm', fields)
    later(virtual, 4.0)


def _leader(virtual):
    shard_map = virtual.fleets['hub-0'].members.state['shard_map']
    return owner_of(shard_map, 'share:m')


def _report(virtual, vm, bad):
    """Let a VM have seen requests of the new version go badly."""
    outcome_counts = virtual.fleets[vm].scheduler.outcome_counts
    outcome_counts['m', 'quote', '1'] = OutcomeCounts(200, 1)
    outcome_counts['m', 'quote', '2'] = OutcomeCounts(20, bad)


def _open_gates(virtual):
    now_s = virtual.clock.state['now_s']
    return [
        name
        for name, fleet in virtual.fleets.items()
        if virtual.states[name]['alive']
        and virtual.states[name]['paused_until_s'] <= now_s
        and allows_new(
            fleet.scheduler.moves['m']._replace(dispatched=1000),
            'quote',
            now_s,
        )
    ]


def test_an_announced_move_opens_the_gates():
    virtual = start_fleet()
    _announce(virtual)
    assert len(_open_gates(virtual)) == 5
    status = read_object(virtual.platform, 'move_status', 'm')
    assert status.spec['leader'] == _leader(virtual)


@pytest.mark.parametrize('cut', ['none', 'vm', 'store', 'leader_killed'])
def test_a_bad_version_gets_nothing_two_seconds_later(cut):
    virtual = start_fleet()
    _announce(virtual)
    leader = _leader(virtual)
    others = [name for name in virtual.fleets if name != leader]
    if cut == 'vm':
        cut_off(virtual, others[0])
    elif cut == 'store':
        virtual.platform.state['down'] = True
    _report(virtual, others[1], bad=18)
    later(virtual, 0.6)
    if cut == 'leader_killed':
        kill_vm(virtual, leader)
    later(virtual, STOPPED_S)
    for _ in range(100):
        assert not _open_gates(virtual)
        later(virtual, 0.1)


@pytest.mark.parametrize('fault', ['kill', 'pause', 'cut'])
def test_another_vm_takes_a_move_over(fault):
    virtual = start_fleet()
    _announce(virtual)
    leader = _leader(virtual)
    fence = read_object(virtual.platform, 'move_status', 'm').version
    if fault == 'kill':
        kill_vm(virtual, leader)
    elif fault == 'pause':
        pause_vm(virtual, leader, virtual.clock.state['now_s'] + 12.0)
    else:
        cut_off(virtual, leader)
    later(virtual, 20.0)
    status = read_object(virtual.platform, 'move_status', 'm')
    assert status.spec['leader'] != leader or fault == 'pause'
    assert status.version > fence
    leads = [
        name
        for name, fleet in virtual.fleets.items()
        if 'm' in fleet.leads and virtual.states[name]['alive']
    ]
    newest = [virtual.fleets[name].leads['m'].fence for name in leads]
    assert newest.count(status.version) == 1


def test_an_aborted_move_is_taken_back():
    virtual = start_fleet()
    _announce(virtual)
    fields = read_object(virtual.platform, 'version_move', 'm').spec
    operate(virtual, 'version_move', 'm', {**fields, 'wanted': 'abort'})
    later(virtual, 4.0)
    status = read_object(virtual.platform, 'move_status', 'm')
    assert status.spec['state'] == 'taken_back'
    assert not _open_gates(virtual)
