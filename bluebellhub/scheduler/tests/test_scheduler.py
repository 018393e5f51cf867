"""One VM's decisions: tiers, shedding, gates and floors."""

import pytest

from bluebellhub.errors import InvariantError
from bluebellhub.invariants import violations
from bluebellhub.scheduler import (
    Cancel,
    Dispatch,
    caller_disconnected,
    make_scheduler,
    request_sent,
    response_ended,
    tick,
    tokens_arrived,
)
from bluebellhub.scheduler.capacity import full_window_slots
from bluebellhub.scheduler.shedding import shed
from bluebellhub.scheduler.state import SchedulerOptions
from bluebellhub.scheduler.tests.small_scheduler import (
    kinds_of,
    make_small_scheduler,
    reasons_of,
    submit_one,
)


def test_a_request_runs_through():
    scheduler = make_small_scheduler()
    assert kinds_of(submit_one(scheduler, 'a')) == [Dispatch]
    request_sent(scheduler, 'a')
    tokens_arrived(scheduler, 'a', 0, 1, 0.05)
    tokens_arrived(scheduler, 'a', 1, 1, 0.08)
    response_ended(scheduler, 'a', 0.08, cached_tokens=0)
    assert not scheduler.requests
    assert not scheduler.upstreams['u0'].work
    assert scheduler.account_usage[''].in_progress == 0


@pytest.mark.parametrize(
    ('setup', 'reason'),
    [
        ({'draining': True}, 'draining'),
        ({'isolated': True}, 'isolated'),
    ],
)
def test_a_closed_vm_refuses(setup, reason):
    scheduler = make_small_scheduler()
    scheduler.flags.update(setup)
    assert reasons_of(submit_one(scheduler, 'a')) == {'a': reason}


@pytest.mark.parametrize(
    ('tier', 'tokens', 'expected'),
    [
        ('check', 5_000, {}),
        ('check', 9_000, {'a': 'deadline'}),
        ('plan', 9_000, {}),
    ],
)
def test_a_prompt_too_long_for_its_tier_is_refused(tier, tokens, expected):
    events = submit_one(make_small_scheduler(), 'a', tier, prompt_tokens=tokens)
    assert reasons_of(events) == expected


def test_an_unknown_target_is_refused():
    scheduler = make_scheduler(SchedulerOptions(), full_window_slots)
    assert reasons_of(submit_one(scheduler, 'a')) == {'a': 'unknown_target'}


def test_a_window_holds_work_back_and_the_top_tier_goes_first():
    scheduler = make_small_scheduler()
    for name in ('a', 'b'):
        assert kinds_of(submit_one(scheduler, name)) == [Dispatch]
    assert not submit_one(scheduler, 'low', 'plan')
    assert not submit_one(scheduler, 'high', 'check')
    events = response_ended(scheduler, 'a', 0.1)
    assert [event.request_id for event in events] == ['high']


def test_a_late_check_takes_the_place_of_a_plan():
    scheduler = make_small_scheduler()
    for name in ('p1', 'p2'):
        submit_one(scheduler, name, 'plan')
    submit_one(scheduler, 'c', 'check', now_s=0.1)
    events = tick(scheduler, 0.5)
    assert kinds_of(events) == [Cancel, Dispatch]
    assert events[1].request_id == 'c'
    assert events[0].request_id in {'p1', 'p2'}
    assert scheduler.requests[events[0].request_id].phase == 'queued'


def test_lower_tiers_are_shed_before_a_higher_one():
    scheduler = make_small_scheduler()
    for name in ('a', 'b'):
        submit_one(scheduler, name)
    submit_one(scheduler, 'plan', 'plan', now_s=0.1)
    submit_one(scheduler, 'batch', 'batch', now_s=0.1)
    submit_one(scheduler, 'check', 'check', now_s=0.1)
    events = tick(scheduler, 0.75)
    assert list(reasons_of(events)) == ['batch', 'plan', 'check']
    assert set(reasons_of(events).values()) == {'shed'}


def test_shedding_out_of_order_is_an_error():
    scheduler = make_small_scheduler()
    for name in ('a', 'b'):
        submit_one(scheduler, name)
    submit_one(scheduler, 'plan', 'plan')
    submit_one(scheduler, 'check', 'check')
    with pytest.raises(InvariantError, match='lower_tier_shed_first'):
        shed(scheduler, [], scheduler.requests['check'], 0.0)
    violations.clear()


def test_a_higher_tier_waits_for_the_fleets_floor():
    scheduler = make_small_scheduler()
    scheduler.flags['fleet'] = True
    for name in ('a', 'b'):
        submit_one(scheduler, name)
    submit_one(scheduler, 'check', 'check', now_s=0.1)
    assert not reasons_of(tick(scheduler, 0.75))
    assert scheduler.requested_floors['m'][0] == 0
    scheduler.agreed_floors['m'] = 0
    assert reasons_of(tick(scheduler, 0.8)) == {'check': 'shed'}


def test_a_floor_refuses_lower_tiers():
    scheduler = make_small_scheduler()
    scheduler.admission_floors['m'] = 1
    assert reasons_of(submit_one(scheduler, 'plan', 'plan')) == {'plan': 'shed'}
    assert kinds_of(submit_one(scheduler, 'quote', 'quote')) == [Dispatch]


def test_a_caller_that_leaves_frees_its_place():
    scheduler = make_small_scheduler()
    for name in ('a', 'b'):
        submit_one(scheduler, name)
    submit_one(scheduler, 'c')
    events = caller_disconnected(scheduler, 'a', 0.1)
    assert kinds_of(events) == [Cancel, Dispatch]
    assert events[1].request_id == 'c'


@pytest.mark.parametrize('gate', ['domain', 'leaving', 'paused'])
def test_gates_keep_work_away(gate):
    scheduler = make_small_scheduler(upstreams=2)
    closed = scheduler.upstreams['u0']
    if gate == 'domain':
        scheduler.domains_out.add('d0')
    elif gate == 'leaving':
        spec = closed.spec._replace(leaving=True)
        scheduler.upstreams['u0'] = closed._replace(spec=spec)
    else:
        scheduler.upstreams['u0'] = closed._replace(paused_until_s=9.0)
    for name in ('a', 'b'):
        assert submit_one(scheduler, name)[0].upstream == 'u1'


def test_without_any_upstream_the_deadline_ends_the_wait():
    scheduler = make_small_scheduler()
    scheduler.domains_out.add('d0')
    assert not submit_one(scheduler, 'a')
    assert not tick(scheduler, 0.5)
    assert reasons_of(tick(scheduler, 0.6)) == {'a': 'no_upstream'}


def test_stragglers_get_one_probe_at_a_time():
    scheduler = make_small_scheduler(upstreams=4, window=8)
    slow = scheduler.upstreams['u0']
    speed = slow.speed._replace(prefill_tokens_per_s=500.0, observations=50)
    scheduler.upstreams['u0'] = slow._replace(speed=speed)
    for number in range(24):
        submit_one(scheduler, f'r{number}')
    assert len(scheduler.upstreams['u0'].work) <= 1


@pytest.mark.parametrize(
    ('idempotent', 'kinds', 'left'),
    [(True, [Cancel, Dispatch], []), (False, [], ['a'])],
)
def test_work_leaves_an_upstream_whose_lease_has_lapsed(
    idempotent, kinds, left
):
    scheduler = make_small_scheduler(upstreams=2)
    first = submit_one(scheduler, 'a', idempotent=idempotent)[0].upstream
    request_sent(scheduler, 'a')
    scheduler.domains_out.add(scheduler.upstreams[first].spec.failure_domain)
    scheduler.expired_leases.add(first)
    events = tick(scheduler, 0.1)
    assert kinds_of(events) == kinds
    assert list(scheduler.upstreams[first].work) == left
    assert not scheduler.expired_leases
    counted = scheduler.counters['retries', 'lease_lapsed']
    assert counted == len(kinds) / 2
