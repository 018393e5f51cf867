"""One VM's decisions: tiers, shedding, retries, gates and floors."""

import pytest

from bluebellhub.contract import AccountLimits, find_tier
from bluebellhub.errors import InvariantError
from bluebellhub.invariants import violations
from bluebellhub.request import AttemptFailure, make_ask
from bluebellhub.request.refusal import NoUpstreamError
from bluebellhub.scheduler import (
    Cancel,
    Dispatch,
    Probe,
    Refuse,
    add_upstream,
    answer_ended,
    attempt_failed,
    caller_left,
    make_scheduler,
    request_sent,
    submit,
    tick,
    tokens_arrived,
)
from bluebellhub.scheduler.finish import refuse
from bluebellhub.scheduler.room import whole_window
from bluebellhub.scheduler.shedding import shed
from bluebellhub.scheduler.state import Plan
from bluebellhub.upstream import UpstreamSpec, make_upstream

LIMITS = AccountLimits(1e6, 10**6)


def _scheduler(upstreams=1, window=2, **fields):
    scheduler = make_scheduler(Plan(), whole_window)
    for number in range(upstreams):
        spec = UpstreamSpec(
            f'u{number}',
            '127.0.0.1:1',
            ('m',),
            f'd{number}',
            window=window,
            **fields,
        )
        add_upstream(scheduler, make_upstream(spec, warm=True))
    return scheduler


def _submit(scheduler, name, tier='check', now_s=0.0, **fields):
    given = {'prompt_tokens': 10, 'arrived_at_s': now_s, **fields}
    ask = make_ask(name, find_tier(tier), 'm', **given)
    return submit(scheduler, ask, LIMITS, now_s)


def _kinds(events):
    return [type(event) for event in events]


def _reasons(events):
    return {
        event.request_id: event.error.reason
        for event in events
        if isinstance(event, Refuse)
    }


def test_a_request_runs_through():
    scheduler = _scheduler()
    assert _kinds(_submit(scheduler, 'a')) == [Dispatch]
    request_sent(scheduler, 'a')
    tokens_arrived(scheduler, 'a', 0, 1, 0.05)
    tokens_arrived(scheduler, 'a', 1, 1, 0.08)
    answer_ended(scheduler, 'a', 0.08, cached_tokens=0)
    assert not scheduler.lives
    assert not scheduler.upstreams['u0'].work
    assert scheduler.uses[''].in_progress == 0


@pytest.mark.parametrize(
    ('setup', 'reason'),
    [
        ({'draining': True}, 'draining'),
        ({'isolated': True}, 'isolated'),
    ],
)
def test_a_closed_vm_refuses(setup, reason):
    scheduler = _scheduler()
    scheduler.flags.update(setup)
    assert _reasons(_submit(scheduler, 'a')) == {'a': reason}


@pytest.mark.parametrize(
    ('tier', 'tokens', 'expected'),
    [
        ('check', 5_000, {}),
        ('check', 9_000, {'a': 'deadline'}),
        ('plan', 9_000, {}),
    ],
)
def test_a_prompt_too_long_for_its_tier_is_refused(tier, tokens, expected):
    events = _submit(_scheduler(), 'a', tier, prompt_tokens=tokens)
    assert _reasons(events) == expected


def test_an_unknown_target_is_refused():
    scheduler = make_scheduler(Plan(), whole_window)
    assert _reasons(_submit(scheduler, 'a')) == {'a': 'unknown_target'}


def test_a_window_holds_work_back_and_the_top_tier_goes_first():
    scheduler = _scheduler()
    for name in ('a', 'b'):
        assert _kinds(_submit(scheduler, name)) == [Dispatch]
    assert not _submit(scheduler, 'low', 'plan')
    assert not _submit(scheduler, 'high', 'check')
    events = answer_ended(scheduler, 'a', 0.1)
    assert [event.request_id for event in events] == ['high']


def test_a_late_check_takes_the_place_of_a_plan():
    scheduler = _scheduler()
    for name in ('p1', 'p2'):
        _submit(scheduler, name, 'plan')
    _submit(scheduler, 'c', 'check', now_s=0.1)
    events = tick(scheduler, 0.5)
    assert _kinds(events) == [Cancel, Dispatch]
    assert events[1].request_id == 'c'
    assert events[0].request_id in {'p1', 'p2'}
    assert scheduler.lives[events[0].request_id].phase == 'queued'


def test_lower_tiers_are_shed_before_a_higher_one():
    scheduler = _scheduler()
    for name in ('a', 'b'):
        _submit(scheduler, name)
    _submit(scheduler, 'plan', 'plan', now_s=0.1)
    _submit(scheduler, 'batch', 'batch', now_s=0.1)
    _submit(scheduler, 'check', 'check', now_s=0.1)
    events = tick(scheduler, 0.75)
    assert list(_reasons(events)) == ['batch', 'plan', 'check']
    assert set(_reasons(events).values()) == {'shed'}


def test_shedding_out_of_order_is_an_error():
    scheduler = _scheduler()
    for name in ('a', 'b'):
        _submit(scheduler, name)
    _submit(scheduler, 'plan', 'plan')
    _submit(scheduler, 'check', 'check')
    with pytest.raises(InvariantError, match='lower_tier_shed_first'):
        shed(scheduler, [], scheduler.lives['check'], 0.0)
    violations.clear()


def test_a_higher_tier_waits_for_the_fleets_floor():
    scheduler = _scheduler()
    scheduler.flags['fleet'] = True
    for name in ('a', 'b'):
        _submit(scheduler, name)
    _submit(scheduler, 'check', 'check', now_s=0.1)
    assert not _reasons(tick(scheduler, 0.75))
    assert scheduler.floors_wanted['m'][0] == 0
    scheduler.floors_agreed['m'] = 0
    assert _reasons(tick(scheduler, 0.8)) == {'check': 'shed'}


def test_a_floor_refuses_lower_tiers():
    scheduler = _scheduler()
    scheduler.floors['m'] = 1
    assert _reasons(_submit(scheduler, 'plan', 'plan')) == {'plan': 'shed'}
    assert _kinds(_submit(scheduler, 'quote', 'quote')) == [Dispatch]


@pytest.mark.parametrize(
    ('kind', 'sent', 'idempotent', 'outcome', 'run'),
    [
        ('connect_failed', False, False, 'retry', None),
        ('connect_failed', False, True, 'retry', None),
        ('cut', True, True, 'retry', None),
        ('cut', True, False, 'upstream_failed', 'unknown'),
        ('silent', True, False, 'upstream_failed', 'unknown'),
        ('mismatch', True, False, 'answer_mismatch', 'unknown'),
    ],
)
def test_failures_are_retried_or_refused(kind, sent, idempotent, outcome, run):
    scheduler = _scheduler(upstreams=2)
    first = _submit(scheduler, 'a', idempotent=idempotent)[0]
    if sent:
        request_sent(scheduler, 'a')
    events = attempt_failed(scheduler, 'a', AttemptFailure(kind), 0.1)
    events = [event for event in events if not isinstance(event, Probe)]
    if outcome == 'retry':
        assert _kinds(events) == [Dispatch]
        moved = events[0].upstream != first.upstream
        assert moved or kind == 'cut'
        return
    assert _reasons(events) == {'a': outcome}
    assert events[0].error.run == run


def test_a_silent_upstream_is_probed():
    scheduler = _scheduler(upstreams=2)
    first = _submit(scheduler, 'a')[0]
    events = attempt_failed(scheduler, 'a', AttemptFailure('silent'), 0.1)
    assert Probe(first.upstream) in events


def test_retries_have_a_budget():
    scheduler = _scheduler(upstreams=3, window=30)
    outcomes = []
    for number in range(30):
        name = f'r{number}'
        _submit(scheduler, name, now_s=float(number))
        failure = AttemptFailure('mismatch')
        events = attempt_failed(scheduler, name, failure, number + 0.01)
        outcomes.append(Dispatch in _kinds(events))
        if name in scheduler.lives:
            caller_left(scheduler, name, number + 0.02)
    assert sum(outcomes) == 10
    assert scheduler.counters['retries_denied', 'mismatch'] == 20


def test_a_cut_stream_is_resumed_at_its_offset():
    scheduler = _scheduler(upstreams=2)
    _submit(scheduler, 'a')
    request_sent(scheduler, 'a')
    tokens_arrived(scheduler, 'a', 0, 7, 0.05)
    events = attempt_failed(scheduler, 'a', AttemptFailure('cut'), 0.9)
    resumed = [event for event in events if isinstance(event, Dispatch)]
    assert [event.offset for event in resumed] == [7]


def test_a_caller_that_leaves_frees_its_place():
    scheduler = _scheduler()
    for name in ('a', 'b'):
        _submit(scheduler, name)
    _submit(scheduler, 'c')
    events = caller_left(scheduler, 'a', 0.1)
    assert _kinds(events) == [Cancel, Dispatch]
    assert events[1].request_id == 'c'


@pytest.mark.parametrize('gate', ['domain', 'leaving', 'paused'])
def test_gates_keep_work_away(gate):
    scheduler = _scheduler(upstreams=2)
    closed = scheduler.upstreams['u0']
    if gate == 'domain':
        scheduler.domains_out.add('d0')
    elif gate == 'leaving':
        spec = closed.spec._replace(leaving=True)
        scheduler.upstreams['u0'] = closed._replace(spec=spec)
    else:
        scheduler.upstreams['u0'] = closed._replace(paused_until_s=9.0)
    for name in ('a', 'b'):
        assert _submit(scheduler, name)[0].upstream == 'u1'


def test_without_any_upstream_the_deadline_ends_the_wait():
    scheduler = _scheduler()
    scheduler.domains_out.add('d0')
    assert not _submit(scheduler, 'a')
    assert not tick(scheduler, 0.5)
    assert _reasons(tick(scheduler, 0.6)) == {'a': 'no_upstream'}


@pytest.mark.parametrize(('sent', 'run'), [(False, 'no'), (True, 'unknown')])
def test_a_refusal_tells_truly_whether_it_ran(sent, run):
    scheduler = _scheduler()
    _submit(scheduler, 'a')
    if sent:
        request_sent(scheduler, 'a')
    error = NoUpstreamError('gone')
    refuse(scheduler, [], scheduler.lives['a'], error)
    assert error.run == run


def test_stragglers_get_one_probe_at_a_time():
    scheduler = _scheduler(upstreams=4, window=8)
    slow = scheduler.upstreams['u0']
    speed = slow.speed._replace(prefill_tokens_per_s=500.0, observations=50)
    scheduler.upstreams['u0'] = slow._replace(speed=speed)
    for number in range(24):
        _submit(scheduler, f'r{number}')
    assert len(scheduler.upstreams['u0'].work) <= 1


@pytest.mark.parametrize(
    ('idempotent', 'kinds', 'left'),
    [(True, [Cancel, Dispatch], []), (False, [], ['a'])],
)
def test_work_leaves_an_upstream_whose_lease_has_lapsed(
    idempotent, kinds, left
):
    scheduler = _scheduler(upstreams=2)
    first = _submit(scheduler, 'a', idempotent=idempotent)[0].upstream
    request_sent(scheduler, 'a')
    scheduler.domains_out.add(scheduler.upstreams[first].spec.failure_domain)
    scheduler.lapsed.add(first)
    events = tick(scheduler, 0.1)
    assert _kinds(events) == kinds
    assert list(scheduler.upstreams[first].work) == left
    assert not scheduler.lapsed
    counted = scheduler.counters['retries', 'lease_lapsed']
    assert counted == len(kinds) / 2
