"""Version moves in a fleet: leader takeover, conflicts and bad versions."""

import pytest

from bluebellhub.fleet.tests.small_fleet import (
    isolate,
    run_for,
    start_fleet,
)
from bluebellhub.membership import owner_of
from bluebellhub.scheduler.outcomes import OutcomeCounts
from bluebellhub.standins.platform_model import read_object
from bluebellhub.standins.virtual_state import (
    kill_vm,
    pause_vm,
    write_as_operator,
)
from bluebellhub.version_move import allows_new

STOPPED_WITHIN_S = 2.0


def _start_move(virtual):
    fields = {'from_version': '1', 'to_version': '2', 'due_at': 1e12}
    write_as_operator(virtual, 'version_move', 'm', fields)
    run_for(virtual, 4.0)


def _leader(virtual):
    shard_map = virtual.fleets['hub-0'].members.state['shard_map']
    return owner_of(shard_map, 'share:m')


def _set_outcomes(virtual, vm, bad):
    """Set the outcome counts of a VM, with ``bad`` of 20 requests bad."""
    outcome_counts = virtual.fleets[vm].scheduler.outcome_counts
    outcome_counts['m', 'quote', '1'] = OutcomeCounts(200, 1)
    outcome_counts['m', 'quote', '2'] = OutcomeCounts(20, bad)


def _vms_allowing_new(virtual):
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


def test_new_move_is_allowed_on_all_vms():
    virtual = start_fleet()
    _start_move(virtual)
    assert len(_vms_allowing_new(virtual)) == 5
    status = read_object(virtual.platform, 'move_status', 'm')
    assert status.spec['leader'] == _leader(virtual)


@pytest.mark.parametrize('cut', ['none', 'vm', 'store', 'leader_killed'])
def test_bad_version_gets_no_requests_after_two_seconds(cut):
    virtual = start_fleet()
    _start_move(virtual)
    leader = _leader(virtual)
    others = [name for name in virtual.fleets if name != leader]
    if cut == 'vm':
        isolate(virtual, others[0])
    elif cut == 'store':
        virtual.platform.state['down'] = True
    _set_outcomes(virtual, others[1], bad=18)
    run_for(virtual, 0.6)
    if cut == 'leader_killed':
        kill_vm(virtual, leader)
    run_for(virtual, STOPPED_WITHIN_S)
    for _ in range(100):
        assert not _vms_allowing_new(virtual)
        run_for(virtual, 0.1)


@pytest.mark.parametrize('fault', ['kill', 'pause', 'cut'])
def test_another_vm_takes_over_leadership(fault):
    virtual = start_fleet()
    _start_move(virtual)
    leader = _leader(virtual)
    fence = read_object(virtual.platform, 'move_status', 'm').version
    if fault == 'kill':
        kill_vm(virtual, leader)
    elif fault == 'pause':
        pause_vm(virtual, leader, virtual.clock.state['now_s'] + 12.0)
    else:
        isolate(virtual, leader)
    run_for(virtual, 20.0)
    status = read_object(virtual.platform, 'move_status', 'm')
    assert status.spec['leader'] != leader or fault == 'pause'
    assert status.version > fence
    leader_names = [
        name
        for name, fleet in virtual.fleets.items()
        if 'm' in fleet.leader_states and virtual.states[name]['alive']
    ]
    fences = [
        virtual.fleets[name].leader_states['m'].fence for name in leader_names
    ]
    assert fences.count(status.version) == 1


def test_aborted_move_is_rolled_back():
    virtual = start_fleet()
    _start_move(virtual)
    fields = read_object(virtual.platform, 'version_move', 'm').spec
    write_as_operator(
        virtual, 'version_move', 'm', {**fields, 'wanted': 'abort'}
    )
    run_for(virtual, 4.0)
    status = read_object(virtual.platform, 'move_status', 'm')
    assert status.spec['state'] == 'taken_back'
    assert not _vms_allowing_new(virtual)
