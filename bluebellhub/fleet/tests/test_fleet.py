"""The fleet under failures, in virtual time."""

import pytest

from bluebellhub.contract import AccountLimits, find_tier
from bluebellhub.errors import ConflictError
from bluebellhub.fleet.tests.small_fleet import (
    cut_off,
    later,
    leased,
    start_fleet,
    start_vm,
    total_leased,
)
from bluebellhub.membership import owner_of
from bluebellhub.request import make_request
from bluebellhub.scheduler import submit, tick
from bluebellhub.standins.platform_model import read_object, write_object
from bluebellhub.standins.virtual_state import kill_vm, operate, pause_vm

IN_FORCE_S = 6.0
OUT_S = 3.0
OPERATIONS = ('out', 'leaving')


def _revision(virtual):
    return {
        name: fleet.configuration.progress['revision']
        for name, fleet in virtual.fleets.items()
        if virtual.states[name]['alive']
    }


def _operate_out(virtual, operation):
    if operation == 'out':
        operate(virtual, 'failure_domain', 'rennes', {'state': 'out'})
        return
    spec = read_object(virtual.platform, 'upstream', 'u0').spec
    operate(virtual, 'upstream', 'u0', {**spec, 'leaving': True})


def _owner(virtual, key):
    shard_map = next(iter(virtual.fleets.values())).members.state['shard_map']
    return owner_of(shard_map, key)


def test_a_cold_window_is_leased_and_never_exceeded():
    virtual = start_fleet()
    for _ in range(40):
        later(virtual, 0.1)
        assert total_leased(virtual, 'u0') <= 2
    assert total_leased(virtual, 'u0') == 2


@pytest.mark.parametrize('operation', OPERATIONS)
@pytest.mark.parametrize('cut', ['none', 'holder', 'owner', 'pause'])
def test_no_new_work_after_three_seconds(operation, cut):
    virtual = start_fleet()
    owner = _owner(virtual, 'window:u0')
    holder = next(name for name in virtual.fleets if name != owner)
    if cut == 'holder':
        cut_off(virtual, holder)
    elif cut == 'owner':
        cut_off(virtual, owner)
    elif cut == 'pause':
        pause_vm(virtual, holder, virtual.clock.state['now_s'] + 2.9)
    _operate_out(virtual, operation)
    later(virtual, OUT_S)
    for _ in range(30):
        assert total_leased(virtual, 'u0') == 0
        later(virtual, 0.1)


def test_a_failure_domain_comes_back():
    virtual = start_fleet()
    _operate_out(virtual, 'out')
    later(virtual, 5.0)
    operate(virtual, 'failure_domain', 'rennes', {'state': 'in'})
    later(virtual, 5.0)
    assert total_leased(virtual, 'u0') > 0


@pytest.mark.parametrize(
    ('fault', 'survivors'),
    [('none', 5), ('kill', 4), ('loss', 5), ('store_cut', 5)],
)
def test_changes_are_in_force_within_six_seconds(fault, survivors):
    virtual = start_fleet()
    if fault == 'kill':
        kill_vm(virtual, 'hub-1')
    elif fault == 'loss':
        virtual.faults.update({'loss': 0.3, 'doubled': 0.3})
    elif fault == 'store_cut':
        virtual.store_cuts.update(('hub-0', 'hub-1', 'hub-2'))
    operate(virtual, 'failure_domain', 'rennes', {'state': 'out'})
    wanted = read_object(virtual.platform, 'failure_domain', 'rennes').revision
    later(virtual, IN_FORCE_S)
    revisions = _revision(virtual)
    assert len(revisions) == survivors
    assert min(revisions.values()) >= wanted


def test_done_is_said_only_when_all_live_vms_have_it():
    virtual = start_fleet()
    cut_off(virtual, 'hub-4')
    operate(virtual, 'failure_domain', 'rennes', {'state': 'out'})
    later(virtual, 2.0)
    name = 'failure_domain.rennes'
    assert not read_object(virtual.platform, 'change_status', name).version
    later(virtual, 10.0)
    status = read_object(virtual.platform, 'change_status', name)
    assert status.spec == {'version': 1, 'state': 'done'}
    assert total_leased(virtual, 'u0') == 0


def test_a_vm_that_starts_in_an_outage_learns_from_the_others():
    virtual = start_fleet()
    virtual.platform.state['down'] = True
    kill_vm(virtual, 'hub-2')
    later(virtual, 1.0)
    fresh = start_vm(virtual, 'hub-2', 'brest')
    known = {f'hub-{number}' for number in range(5)}
    fresh.members.listed.update(known)
    later(virtual, IN_FORCE_S)
    assert fresh.configuration.records['upstream', 'u0'] is not None
    assert fresh.scheduler.flags['isolated'] is False


def test_leases_go_on_while_the_store_is_down():
    virtual = start_fleet()
    virtual.platform.state['down'] = True
    later(virtual, 20.0)
    assert total_leased(virtual, 'u0') == 2


def test_an_old_listing_does_not_revert_a_change():
    virtual = start_fleet()
    fleet = virtual.fleets['hub-0']
    old = dict(fleet.configuration.objects)
    operate(virtual, 'failure_domain', 'rennes', {'state': 'out'})
    later(virtual, 2.0)
    from bluebellhub.fleet.handlers import apply_config_update
    from bluebellhub.fleet.messages import ConfigUpdate

    news = ConfigUpdate(3, list(old.values()))
    apply_config_update(fleet, 'hub-1', news, virtual.clock.state['now_s'])
    assert 'rennes' in fleet.scheduler.domains_out


def test_operators_who_race_get_a_conflict():
    virtual = start_fleet()
    write_object(
        virtual.platform, 'failure_domain', 'brest', {'state': 'out'}, 0
    )
    with pytest.raises(ConflictError, match='version 1'):
        write_object(
            virtual.platform, 'failure_domain', 'brest', {'state': 'in'}, 0
        )


@pytest.mark.parametrize('fault', ['kill', 'pause', 'cut'])
def test_a_cold_window_holds_through_a_change_of_owner(fault):
    virtual = start_fleet()
    owner = _owner(virtual, 'window:u0')
    if fault == 'kill':
        kill_vm(virtual, owner)
    elif fault == 'pause':
        pause_vm(virtual, owner, virtual.clock.state['now_s'] + 9.0)
    else:
        cut_off(virtual, owner, store=False)
    for _ in range(200):
        later(virtual, 0.1)
        alive = {
            name: amount
            for name, amount in leased(virtual, 'u0').items()
            if virtual.states[name]['alive']
        }
        assert sum(alive.values()) <= 2
    assert sum(alive.values()) == 2


@pytest.mark.parametrize(
    ('kills_owner', 'cuts'),
    [
        (False, ['owner']),
        (False, ['holder']),
        (False, ['owner', 'holder']),
        (True, []),
        (True, ['holder']),
    ],
)
def test_a_cold_upstream_bears_the_work_of_vms_that_lost_touch(
    kills_owner, cuts
):
    """Running work counts too, also that of a VM that nobody hears."""
    virtual = start_fleet(upstreams=1)
    owner = _owner(virtual, 'window:u0')
    _ask_everywhere(virtual, 0)
    assert _running(virtual, 'u0') == 2
    holder = next(
        name
        for name, fleet in virtual.fleets.items()
        if fleet.scheduler.upstreams['u0'].work and name != owner
    )
    if kills_owner:
        kill_vm(virtual, owner)
    for role in cuts:
        cut_off(virtual, owner if role == 'owner' else holder)
    for step in range(200):
        _ask_everywhere(virtual, step + 1)
        assert _running(virtual, 'u0') <= 2
    assert _running(virtual, 'u0') == 2


def _ask_everywhere(virtual, step):
    """Submit a request at every VM, and let 0.1 s pass."""
    later(virtual, 0.1)
    now_s = virtual.clock.state['now_s']
    for name, fleet in virtual.fleets.items():
        if virtual.states[name]['alive']:
            fields = {'prompt_tokens': 10, 'arrived_at_s': now_s}
            request = make_request(
                f'{name}-{step}', find_tier('plan'), 'm', **fields
            )
            submit(fleet.scheduler, request, AccountLimits(1e6, 10**6), now_s)
            tick(fleet.scheduler, now_s)


def _running(virtual, upstream):
    return sum(
        len(fleet.scheduler.upstreams[upstream].work)
        for name, fleet in virtual.fleets.items()
        if virtual.states[name]['alive']
    )


def test_a_vm_that_hears_nobody_refuses_new_work():
    virtual = start_fleet()
    cut_off(virtual, 'hub-3')
    later(virtual, 3.5)
    assert virtual.fleets['hub-3'].scheduler.flags['isolated']
    virtual.cuts.clear()
    virtual.store_cuts.clear()
    later(virtual, 2.0)
    assert not virtual.fleets['hub-3'].scheduler.flags['isolated']


@pytest.mark.parametrize('silent', [False, True])
def test_a_floor_needs_every_live_vm(silent):
    virtual = start_fleet()
    now_s = virtual.clock.state['now_s']
    scheduler = virtual.fleets['hub-0'].scheduler
    scheduler.requested_floors['m'] = (1, now_s + 30.0)
    if silent:
        pause_vm(virtual, 'hub-4', now_s + 60.0)
    later(virtual, 1.0)
    assert (scheduler.agreed_floors.get('m') == 1) is not silent
    admission_floors = virtual.fleets['hub-1'].scheduler.admission_floors
    assert admission_floors == {'m': 1}
    later(virtual, 4.0)
    assert scheduler.agreed_floors.get('m') == 1


@pytest.mark.parametrize('pause_s', [0.7, 1.0, 1.5, 2.5])
@pytest.mark.parametrize('also_wants', [False, True])
def test_consent_to_an_earlier_floor_does_not_count(pause_s, also_wants):
    """A VM lifts a floor, its heartbeats are lost, the floor is wanted again.

    ``also_wants`` is another VM that wanted the same floor meanwhile.
    """
    virtual = start_fleet()
    first, second = virtual.fleets['hub-0'], virtual.fleets['hub-1']
    for fleet in (first, virtual.fleets['hub-2'] if also_wants else first):
        _want(virtual, fleet, 1.0)
    later(virtual, 0.9)
    assert first.scheduler.agreed_floors == {'m': 1}
    _cut_one_after_the_other(virtual, pause_s)
    _want(virtual, first, 10.0)
    for _ in range(40):
        later(virtual, 0.05)
        agreed = first.scheduler.agreed_floors.get('m') == 1
        heard_s = first.members.peers['hub-1'].received_at_s
        lives = virtual.clock.state['now_s'] - heard_s < OUT_S
        assert not (agreed and lives and not second.scheduler.admission_floors)
    virtual.cuts.clear()
    later(virtual, 1.0)
    assert second.scheduler.admission_floors == {'m': 1}
    assert first.scheduler.agreed_floors == {'m': 1}


def _cut_one_after_the_other(virtual, pause_s):
    """Hub 1 still hears hub 0 while its floor ends, and then no more."""
    virtual.cuts.add(('hub-1', 'hub-0'))
    later(virtual, pause_s)
    virtual.cuts.add(('hub-0', 'hub-1'))


def _want(virtual, fleet, seconds):
    until_s = virtual.clock.state['now_s'] + seconds
    fleet.scheduler.requested_floors['m'] = (1, until_s)
