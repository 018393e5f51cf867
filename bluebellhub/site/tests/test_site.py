"""A VM's decisions on the users' platform."""

from math import inf

import pytest

from bluebellhub.errors import InvariantError
from bluebellhub.invariants import violations
from bluebellhub.request import AttemptFailure
from bluebellhub.request.call import Load, Tokens
from bluebellhub.request.refusal import (
    DrainingError,
    NoUpstreamError,
    QuotaError,
    UnauthenticatedError,
    UnknownTargetError,
)
from bluebellhub.scheduler import (
    Dispatch,
    Refuse,
    attempt_failed,
    caller_left,
    request_sent,
    submit,
    tick,
    tokens_arrived,
)
from bluebellhub.site.admission import UNLIMITED, admit_call, give_back
from bluebellhub.site.news import SiteNews
from bluebellhub.site.sharing import make_news, take_news, weigh_others
from bluebellhub.site.state import Bounds, make_site, set_vms
from bluebellhub.site.tests.small_site import (
    make_call,
    make_entry,
    make_small_site,
    make_version,
)
from bluebellhub.site.upstreams import (
    hear_call_load,
    put_in_force,
    set_evacuated,
    take_listing,
    take_registration,
    take_removal,
)


def _send(site, request_id='1', now_s=0.0, **fields):
    admission = admit_call(site, make_call(request_id, **fields), now_s)
    events = submit(site.scheduler, admission.ask, UNLIMITED, now_s)
    return admission, events


def _chosen(events):
    return [event.upstream for event in events if isinstance(event, Dispatch)]


def _refusals(events):
    return [event.error for event in events if isinstance(event, Refuse)]


@pytest.mark.parametrize(
    ('fields', 'error', 'status'),
    [
        ({'host': 'b.example'}, UnknownTargetError, 404),
        ({'path': '/b/'}, UnknownTargetError, 404),
        ({'key': 'k2'}, UnauthenticatedError, 401),
        ({'key': None}, UnauthenticatedError, 401),
        ({'tokens': Tokens(5000, 0)}, QuotaError, 429),
    ],
)
def test_what_the_configuration_does_not_allow(fields, error, status):
    site = make_small_site(make_entry())
    with pytest.raises(error) as caught:
        admit_call(site, make_call(**fields), 0.0)
    assert (caught.value.status, caught.value.run) == (status, 'no')


def test_a_vm_without_configuration_says_not_run():
    site = make_site('hub-1', 'd', Bounds(), -60.0)
    with pytest.raises(NoUpstreamError) as caught:
        admit_call(site, make_call(), 0.0)
    assert caught.value.status == 503


@pytest.mark.parametrize(
    ('stops_at_s', 'entries', 'error'),
    [
        (4.9, [make_entry()], DrainingError),
        (inf, [], NoUpstreamError),
        (inf, [make_entry(service='t')], NoUpstreamError),
    ],
)
def test_what_this_vm_cannot_serve(stops_at_s, entries, error):
    site = make_small_site(*entries)
    site.flags['stops_at_s'] = stops_at_s
    with pytest.raises(error) as caught:
        admit_call(site, make_call(), 0.0)
    assert (caught.value.status, caught.value.run) == (503, 'no')


def test_a_vm_that_stops_takes_what_ends_before():
    site = make_small_site(make_entry())
    site.flags['stops_at_s'] = 5.0
    assert admit_call(site, make_call(time_limit_s=5.0), 0.0)
    with pytest.raises(DrainingError):
        admit_call(site, make_call(time_limit_s=5.0), 0.1)


@pytest.mark.parametrize(
    ('limit_s', 'timeout_s', 'ends_at_s'),
    [(5.0, 10.0, 5.0), (None, 10.0, 10.0), (50.0, 10.0, 10.0)],
)
def test_the_shorter_time_limit_holds(limit_s, timeout_s, ends_at_s):
    site = make_small_site(make_entry(), timeout_s=timeout_s)
    admission = admit_call(site, make_call(time_limit_s=limit_s), 0.0)
    assert admission.ask.ends_at_s == ends_at_s


@pytest.mark.parametrize(
    ('entry', 'out', 'chosen'),
    [
        (make_entry('u2'), (), ['u2']),
        (make_entry('u2', state='draining'), (), []),
        (make_entry('u2', failure_domain='e'), ('e',), []),
        (make_entry('u2', service='t'), (), []),
    ],
)
def test_which_upstreams_get_new_work(entry, out, chosen):
    site = make_small_site(make_entry('u1', state='draining'), entry)
    set_evacuated(site, out)
    _, events = _send(site)
    assert _chosen(events) == chosen


@pytest.mark.parametrize(
    ('change', 'chosen'),
    [
        (lambda site: take_removal(site, 'u1', 9.0), []),
        (lambda site: take_listing(site, [], 9.0), []),
        (lambda site: take_listing(site, [make_entry()], 9.0), ['u1']),
        (
            lambda site: take_registration(
                site, make_entry(state='draining'), 9.0
            ),
            [],
        ),
        (
            lambda site: take_registration(
                site, make_entry(address='10.0.0.2:1', born_ms=9), 9.0
            ),
            ['u1'],
        ),
    ],
)
def test_registrations_change_the_upstreams(change, chosen):
    site = make_small_site(make_entry(), make_entry('other', service='t'))
    change(site)
    site.scheduler.by_target.setdefault('s', [])
    if not site.scheduler.by_target['s']:
        with pytest.raises(NoUpstreamError):
            _send(site, now_s=9.0)
        return
    _, events = _send(site, now_s=9.0)
    assert _chosen(events) == chosen


def test_a_new_lifetime_has_learned_nothing():
    site = make_small_site(make_entry())
    upstreams = site.scheduler.upstreams
    upstreams['u1'] = upstreams['u1']._replace(paused_until_s=99.0)
    take_registration(site, make_entry(born_ms=5), 1.0)
    assert upstreams['u1'].paused_until_s == 0.0


@pytest.mark.parametrize(
    ('others', 'own', 'placed'),
    [(0, 0, True), (0, 1, True), (1, 1, False), (2, 0, False), (5, 0, False)],
)
def test_slots_that_other_vms_use_are_left_alone(others, own, placed):
    site = make_small_site(make_entry())
    take_news(site, 'hub-2', SiteNews(1, 9.0, 1, {'u1': others}, {}, {}), 0.0)
    weigh_others(site, 0.1)
    for number in range(own):
        _send(site, f'own-{number}')
    _, events = _send(site)
    assert bool(_chosen(events)) is placed


@pytest.mark.parametrize(('at_s', 'placed'), [(0.5, False), (1.5, True)])
def test_old_news_count_as_silence(at_s, placed):
    site = make_small_site(make_entry())
    take_news(site, 'hub-2', SiteNews(1, 9.0, 1, {'u1': 2}, {}, {}), 0.0)
    weigh_others(site, 0.0)
    weigh_others(site, at_s)
    _, events = _send(site, now_s=at_s)
    assert bool(_chosen(events)) is placed


def test_news_tell_work_and_use():
    site = make_small_site(make_entry())
    _send(site, tokens=Tokens(10, 2))
    news = make_news(site, 0.0)
    assert (news.age_s, news.number) == (60.0, 1)
    assert (news.work, news.prefill) == ({'u1': 1}, {'u1': 10})
    assert news.admitted == {'yard': 12.0}


@pytest.mark.parametrize(
    ('load', 'placed'),
    [(Load(1, 0, 2), True), (Load(2, 0, 2), False), (Load(1, 1, 2), False)],
)
def test_the_load_in_an_answer_counts(load, placed):
    site = make_small_site(make_entry())
    hear_call_load(site, 'u1', load)
    _, events = _send(site)
    assert bool(_chosen(events)) is placed


def test_a_refused_request_gives_its_tokens_back():
    site = make_small_site(make_entry())
    admission, _ = _send(site, tokens=Tokens(900, 0))
    with pytest.raises(QuotaError):
        _send(site, '2', tokens=Tokens(900, 0))
    give_back(site, admission)
    _send(site, '3', tokens=Tokens(900, 0))


@pytest.mark.parametrize(('waited_s', 'runs'), [(0.3, []), (0.61, ['no'])])
def test_a_request_waits_for_a_part_of_its_objective(waited_s, runs):
    site = make_small_site(make_entry())
    for number in range(2):
        _send(site, f'own-{number}')
    _send(site)
    errors = _refusals(tick(site.scheduler, waited_s))
    assert [error.run for error in errors] == runs
    assert all(error.status == 503 for error in errors)


# The bucket of `YARD`: its burst and 0.35 of the overage of a window.
FULL = 1315.0
# At a start: 0.5 s of the rate and 0.25 of the overage.
START = 725.0
REPEATABLE = {'repeat': 'idempotent', 'attempts_max': 2}
ONCE = {'repeat': 'once', 'attempts_max': 2}


@pytest.mark.parametrize(
    ('route', 'kind', 'again', 'runs'),
    [
        (REPEATABLE, 'cut', True, []),
        (REPEATABLE, 'silent', True, []),
        (REPEATABLE, 'mismatch', True, []),
        (REPEATABLE, 'answered_error', True, []),
        (ONCE, 'cut', False, ['unknown']),
        (ONCE, 'silent', False, ['unknown']),
        (ONCE, 'mismatch', False, ['unknown']),
        (ONCE, 'answered_error', False, ['unknown']),
        (ONCE, 'refused', True, []),
        (ONCE, 'misdirected', True, []),
        (ONCE, 'connect_failed', True, []),
        ({**REPEATABLE, 'attempts_max': 1}, 'cut', False, ['unknown']),
        ({**ONCE, 'attempts_max': 1}, 'refused', True, []),
    ],
)
def test_what_follows_a_failed_attempt(route, kind, again, runs):
    site = make_small_site(make_entry('u1'), make_entry('u2'), **route)
    for number in range(60):
        admit_call(site, make_call(f'other-{number}', tokens=Tokens(1, 0)), 0.0)
    admission, events = _send(site)
    request_id = admission.ask.request_id
    request_sent(site.scheduler, request_id)
    events = attempt_failed(
        site.scheduler, request_id, AttemptFailure(kind), 0.1
    )
    assert bool(_chosen(events)) is again
    assert [error.run for error in _refusals(events)] == runs


def test_the_next_attempt_goes_elsewhere():
    site = make_small_site(make_entry('u1'), make_entry('u2'), **REPEATABLE)
    for number in range(60):
        admit_call(site, make_call(f'other-{number}'), 0.0)
    pairs = []
    for number in range(8):
        admission, events = _send(site, f'{number}')
        request_id = admission.ask.request_id
        request_sent(site.scheduler, request_id)
        failure = AttemptFailure('cut')
        again = attempt_failed(site.scheduler, request_id, failure, 0.1)
        pairs.append((*_chosen(events), *_chosen(again)))
        caller_left(site.scheduler, request_id, 0.1)
    assert set(pairs) <= {('u1', 'u2'), ('u2', 'u1')}


def test_a_request_that_was_refused_unrun_twice_has_not_run():
    site = make_small_site(make_entry(), repeat='once')
    admission, _ = _send(site)
    request_id = admission.ask.request_id
    request_sent(site.scheduler, request_id)
    events = attempt_failed(
        site.scheduler, request_id, AttemptFailure('refused'), 0.1
    )
    assert [error.run for error in _refusals(events)] == ['no']


def test_a_stream_has_neither_gap_nor_repetition():
    site = make_small_site(make_entry(), is_stream=True)
    admission, _ = _send(site)
    request_id = admission.ask.request_id
    tokens_arrived(site.scheduler, request_id, 0, 6, 0.1)
    with pytest.raises(InvariantError):
        tokens_arrived(site.scheduler, request_id, 3, 6, 0.2)
    assert violations.pop('whole_answer') == 1


@pytest.mark.parametrize('vms', [1, 8, 85])
def test_a_cold_upstream_gets_its_rate_from_all_vms(vms):
    names = [f'hub-{number}' for number in range(vms)]
    sent = 0
    for name in names:
        site = make_site(name, 'd', Bounds(), -60.0)
        site.vms.update(dict.fromkeys(names, ''))
        put_in_force(site, make_version())
        cold = make_entry(cold_s=3.0, slots=50)
        take_registration(site, cold, 0.0)
        for number in range(40):
            _, events = _send(site, f'{number}', now_s=number / 40)
            sent += len(_chosen(events))
    assert 1 <= sent <= 16 * 1.5 + 5


def _news(number, admitted, start_id=1, age_s=60.0):
    return SiteNews(start_id, age_s, number, {}, {}, {'yard': admitted})


@pytest.mark.parametrize(
    ('news', 'charged'),
    [
        ([(0.1, _news(1, 500.0))], 0.0),
        ([(0.1, _news(1, 500.0)), (0.2, _news(2, 560.0))], 60.0),
        ([(0.1, _news(2, 500.0)), (0.2, _news(1, 460.0))], 0.0),
        ([(0.1, _news(2, 500.0)), (0.2, _news(2, 500.0))], 0.0),
        ([(0.1, _news(9, 500.0)), (0.2, _news(1, 30.0, 7))], 30.0),
        ([(0.1, _news(1, 500.0)), (2.2, _news(2, 560.0))], 0.0),
        (
            [
                (0.1, _news(9, 500.0)),
                (0.2, _news(1, 30.0, 7)),
                (0.2, _news(10, 520.0)),
            ],
            30.0,
        ),
    ],
)
def test_use_of_others_is_charged_once(news, charged):
    site = make_small_site(make_entry(), vms=('hub-1', 'hub-2'))
    for at_s, item in news:
        take_news(site, 'hub-2', item, at_s)
    _send(site, now_s=news[-1][0], tokens=Tokens(0, 1))
    assert site.quotas.buckets['yard'].level == FULL - charged - 1.0


def test_a_vm_that_knows_no_other_sends_nothing():
    site = make_small_site(make_entry(), vms=())
    with pytest.raises(NoUpstreamError):
        admit_call(site, make_call(), 0.0)


@pytest.mark.parametrize('is_first', [True, False])
def test_a_cold_upstream_is_cold_whichever_is_read_first(is_first):
    """A VM that starts may read registrations before the configuration."""
    site = make_site('hub-1', 'd', Bounds(), -60.0)
    site.vms['hub-1'] = ''
    cold = make_entry(cold_s=3.0, slots=50)
    if is_first:
        take_registration(site, cold, 0.0)
    put_in_force(site, make_version())
    if not is_first:
        take_registration(site, cold, 0.0)
    sent = 0
    for number in range(60):
        _, events = _send(site, f'{number}', now_s=number / 60)
        sent += len(_chosen(events))
    assert 1 <= sent <= 16 * 1.5 + 5


@pytest.mark.parametrize(
    ('told', 'level'),
    [
        ([], START / 2),
        ([_news(1, 0.0, 1, 50.0)._replace(levels={'yard': 700.0})], 700.0),
        ([_news(1, 0.0, 1, 0.0)._replace(levels={'yard': 900.0})], START),
        (
            [
                _news(1, 0.0, 1, 50.0)._replace(levels={'yard': 700.0}),
                _news(2, 40.0, 1, 50.1)._replace(levels={'yard': 900.0}),
            ],
            660.0,
        ),
    ],
)
def test_a_vm_that_starts_takes_the_level_of_one_that_runs(told, level):
    site = make_site('hub-1', 'd', Bounds(), 0.0)
    set_vms(site, {'hub-1': '', 'hub-2': ''})
    put_in_force(site, make_version())
    for news in told:
        take_news(site, 'hub-2', news, 0.0)
    take_registration(site, make_entry(), 0.0)
    _send(site, tokens=Tokens(0, 1))
    assert site.quotas.buckets['yard'].level == level - 1.0


@pytest.mark.parametrize(
    ('age_s', 'is_told'), [(61.0, False), (3.0, False), (0.5, True)]
)
def test_levels_are_told_to_a_vm_that_starts(age_s, is_told):
    site = make_small_site(make_entry(), vms=('hub-1', 'hub-2'))
    _send(site, tokens=Tokens(0, 1))
    take_news(site, 'hub-2', _news(1, 0.0, 1, age_s), 0.0)
    assert bool(make_news(site, 0.1).levels) is is_told
