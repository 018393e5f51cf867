"""Decisions of one VM: tiers, shedding, eligibility, admission floors."""

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
from bluebellhub.scheduler.options import SchedulerOptions
from bluebellhub.scheduler.shedding import shed
from bluebellhub.scheduler.tests.small_scheduler import (
    event_types,
    make_small_scheduler,
    refusal_reasons_of,
    submit_request,
)


def test_a_request_is_dispatched_and_completed():
    scheduler = make_small_scheduler()
    assert event_types(submit_request(scheduler, 'a')) == [Dispatch]
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
def test_a_draining_or_isolated_vm_refuses_requests(setup, reason):
    scheduler = make_small_scheduler()
    scheduler.flags.update(setup)
    assert refusal_reasons_of(submit_request(scheduler, 'a')) == {'a': reason}


@pytest.mark.parametrize(
    ('tier', 'tokens', 'expected'),
    [
        ('check', 5_000, {}),
        ('check', 9_000, {'a': 'deadline'}),
        ('plan', 9_000, {}),
    ],
)
def test_a_prompt_too_long_for_its_tier_is_refused(tier, tokens, expected):
    events = submit_request(
        make_small_scheduler(), 'a', tier, prompt_tokens=tokens
    )
    assert refusal_reasons_of(events) == expected


def test_an_unknown_target_is_refused():
    scheduler = make_scheduler(SchedulerOptions(), full_window_slots)
    assert refusal_reasons_of(submit_request(scheduler, 'a')) == {
        'a': 'unknown_target'
    }


def test_a_full_window_queues_requests_and_dispatches_the_top_tier_first():
    scheduler = make_small_scheduler()
    for name in ('a', 'b'):
        assert event_types(submit_request(scheduler, name)) == [Dispatch]
    assert not submit_request(scheduler, 'low', 'plan')
    assert not submit_request(scheduler, 'high', 'check')
    events = response_ended(scheduler, 'a', 0.1)
    assert [event.request_id for event in events] == ['high']


def test_an_urgent_check_preempts_a_plan():
    scheduler = make_small_scheduler()
    for name in ('p1', 'p2'):
        submit_request(scheduler, name, 'plan')
    submit_request(scheduler, 'c', 'check', now_s=0.1)
    events = tick(scheduler, 0.5)
    assert event_types(events) == [Cancel, Dispatch]
    assert events[1].request_id == 'c'
    assert events[0].request_id in {'p1', 'p2'}
    assert scheduler.requests[events[0].request_id].phase == 'queued'


def test_lower_tiers_are_shed_before_a_higher_one():
    scheduler = make_small_scheduler()
    for name in ('a', 'b'):
        submit_request(scheduler, name)
    submit_request(scheduler, 'plan', 'plan', now_s=0.1)
    submit_request(scheduler, 'batch', 'batch', now_s=0.1)
    submit_request(scheduler, 'check', 'check', now_s=0.1)
    events = tick(scheduler, 0.75)
    assert list(refusal_reasons_of(events)) == ['batch', 'plan', 'check']
    assert set(refusal_reasons_of(events).values()) == {'shed'}


def test_shedding_a_higher_tier_first_violates_an_invariant():
    scheduler = make_small_scheduler()
    for name in ('a', 'b'):
        submit_request(scheduler, name)
    submit_request(scheduler, 'plan', 'plan')
    submit_request(scheduler, 'check', 'check')
    with pytest.raises(InvariantError, match='lower_tier_shed_first'):
        shed(scheduler, [], scheduler.requests['check'], 0.0)
    violations.clear()


def test_a_higher_tier_is_shed_only_at_the_agreed_floor():
    scheduler = make_small_scheduler()
    scheduler.flags['fleet'] = True
    for name in ('a', 'b'):
        submit_request(scheduler, name)
    submit_request(scheduler, 'check', 'check', now_s=0.1)
    assert not refusal_reasons_of(tick(scheduler, 0.75))
    assert scheduler.requested_floors['m'][0] == 0
    scheduler.agreed_floors['m'] = 0
    assert refusal_reasons_of(tick(scheduler, 0.8)) == {'check': 'shed'}


def test_tiers_below_the_admission_floor_are_shed():
    scheduler = make_small_scheduler()
    scheduler.admission_floors['m'] = 1
    assert refusal_reasons_of(submit_request(scheduler, 'plan', 'plan')) == {
        'plan': 'shed'
    }
    assert event_types(submit_request(scheduler, 'quote', 'quote')) == [
        Dispatch
    ]


def test_a_caller_that_disconnects_frees_its_slot():
    scheduler = make_small_scheduler()
    for name in ('a', 'b'):
        submit_request(scheduler, name)
    submit_request(scheduler, 'c')
    events = caller_disconnected(scheduler, 'a', 0.1)
    assert event_types(events) == [Cancel, Dispatch]
    assert events[1].request_id == 'c'


@pytest.mark.parametrize('gate', ['domain', 'leaving', 'paused'])
def test_ineligible_upstreams_receive_no_requests(gate):
    scheduler = make_small_scheduler(upstreams=2)
    excluded = scheduler.upstreams['u0']
    if gate == 'domain':
        scheduler.domains_out.add('d0')
    elif gate == 'leaving':
        spec = excluded.spec._replace(leaving=True)
        scheduler.upstreams['u0'] = excluded._replace(spec=spec)
    else:
        scheduler.upstreams['u0'] = excluded._replace(paused_until_s=9.0)
    for name in ('a', 'b'):
        assert submit_request(scheduler, name)[0].upstream == 'u1'


def test_without_an_eligible_upstream_requests_are_refused_at_the_deadline():
    scheduler = make_small_scheduler()
    scheduler.domains_out.add('d0')
    assert not submit_request(scheduler, 'a')
    assert not tick(scheduler, 0.5)
    assert refusal_reasons_of(tick(scheduler, 0.6)) == {'a': 'no_upstream'}


def test_a_straggler_has_one_request_at_a_time():
    scheduler = make_small_scheduler(upstreams=4, window=8)
    straggler = scheduler.upstreams['u0']
    speed = straggler.speed._replace(
        prefill_tokens_per_s=500.0, observations=50
    )
    scheduler.upstreams['u0'] = straggler._replace(speed=speed)
    for number in range(24):
        submit_request(scheduler, f'r{number}')
    assert len(scheduler.upstreams['u0'].work) <= 1


@pytest.mark.parametrize(
    ('idempotent', 'kinds', 'left'),
    [(True, [Cancel, Dispatch], []), (False, [], ['a'])],
)
def test_idempotent_requests_are_requeued_when_a_lease_expires(
    idempotent, kinds, left
):
    scheduler = make_small_scheduler(upstreams=2)
    first = submit_request(scheduler, 'a', idempotent=idempotent)[0].upstream
    request_sent(scheduler, 'a')
    scheduler.domains_out.add(scheduler.upstreams[first].spec.failure_domain)
    scheduler.expired_leases.add(first)
    events = tick(scheduler, 0.1)
    assert event_types(events) == kinds
    assert list(scheduler.upstreams[first].work) == left
    assert not scheduler.expired_leases
    counted = scheduler.counters['retries', 'lease_lapsed']
    assert counted == len(kinds) / 2
