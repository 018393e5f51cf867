"""Tests of admission, queueing and retries of a VM."""

from math import inf

import pytest

from bluebellhub.errors import InvariantError
from bluebellhub.invariants import violations
from bluebellhub.request import AttemptFailure
from bluebellhub.request.heads import TokenCounts
from bluebellhub.request.refusal import (
    DrainingError,
    NoUpstreamError,
    QuotaError,
    UnauthenticatedError,
    UnknownTargetError,
)
from bluebellhub.route import Account, Route
from bluebellhub.scheduler import (
    Probe,
    attempt_failed,
    caller_disconnected,
    request_sent,
    tick,
    tokens_arrived,
)
from bluebellhub.site.admission import admit_request, refund
from bluebellhub.site.priority import queue_rank, request_priority
from bluebellhub.site.state import Bounds, make_site
from bluebellhub.site.tests.small_site import (
    dispatched_upstreams,
    make_registration,
    make_request_head,
    make_small_site,
    refusal_errors,
    send,
)


@pytest.mark.parametrize(
    ('fields', 'error', 'status'),
    [
        ({'host': 'b.example'}, UnknownTargetError, 404),
        ({'path': '/b/'}, UnknownTargetError, 404),
        ({'key': 'k2'}, UnauthenticatedError, 401),
        ({'key': None}, UnauthenticatedError, 401),
        ({'tokens': TokenCounts(5000, 0)}, QuotaError, 429),
    ],
)
def test_request_outside_configuration_is_refused(fields, error, status):
    site = make_small_site(make_registration())
    with pytest.raises(error) as caught:
        admit_request(site, make_request_head(**fields), 0.0)
    assert (caught.value.status, caught.value.run) == (status, 'no')


def test_request_without_configuration_is_refused():
    site = make_site('hub-1', 'd', Bounds(), -60.0)
    with pytest.raises(NoUpstreamError) as caught:
        admit_request(site, make_request_head(), 0.0)
    assert caught.value.status == 503


@pytest.mark.parametrize(
    ('stops_at_s', 'entries', 'error'),
    [
        (4.9, [make_registration()], DrainingError),
        (inf, [], NoUpstreamError),
        (inf, [make_registration(service='t')], NoUpstreamError),
    ],
)
def test_refusal_if_vm_cannot_serve(stops_at_s, entries, error):
    site = make_small_site(*entries)
    site.flags['stops_at_s'] = stops_at_s
    with pytest.raises(error) as caught:
        admit_request(site, make_request_head(), 0.0)
    assert (caught.value.status, caught.value.run) == (503, 'no')


def test_stopping_vm_admits_requests_that_end_in_time():
    site = make_small_site(make_registration())
    site.flags['stops_at_s'] = 5.0
    assert admit_request(site, make_request_head(time_limit_s=5.0), 0.0)
    with pytest.raises(DrainingError):
        admit_request(site, make_request_head(time_limit_s=5.0), 0.1)


@pytest.mark.parametrize(
    ('limit_s', 'timeout_s', 'ends_at_s'),
    [(5.0, 10.0, 5.0), (None, 10.0, 10.0), (50.0, 10.0, 10.0)],
)
def test_shorter_time_limit_applies(limit_s, timeout_s, ends_at_s):
    site = make_small_site(make_registration(), timeout_s=timeout_s)
    admission = admit_request(
        site, make_request_head(time_limit_s=limit_s), 0.0
    )
    assert admission.request.ends_at_s == ends_at_s


def test_refund_restores_quota():
    site = make_small_site(make_registration())
    admission, _ = send(site, tokens=TokenCounts(900, 0))
    with pytest.raises(QuotaError):
        send(site, '2', tokens=TokenCounts(900, 0))
    refund(site, admission)
    send(site, '3', tokens=TokenCounts(900, 0))


@pytest.mark.parametrize(('waited_s', 'runs'), [(0.3, []), (0.61, ['no'])])
def test_queue_wait_is_bounded_by_objective(waited_s, runs):
    site = make_small_site(make_registration())
    for number in range(2):
        send(site, f'own-{number}')
    send(site)
    errors = refusal_errors(tick(site.scheduler, waited_s))
    assert [error.run for error in errors] == runs
    assert all(error.status == 503 for error in errors)


RETRYABLE = {'repeat': 'idempotent', 'attempts_max': 2}


ONCE = {'repeat': 'once', 'attempts_max': 2}


@pytest.mark.parametrize(
    ('route', 'kind', 'again', 'runs'),
    [
        (RETRYABLE, 'cut', True, []),
        (RETRYABLE, 'silent', True, []),
        (RETRYABLE, 'mismatch', True, []),
        (RETRYABLE, 'answered_error', True, []),
        (ONCE, 'cut', False, ['unknown']),
        (ONCE, 'silent', False, ['unknown']),
        (ONCE, 'mismatch', False, ['unknown']),
        (ONCE, 'answered_error', False, ['unknown']),
        (ONCE, 'refused', True, []),
        (ONCE, 'misdirected', True, []),
        (ONCE, 'connect_failed', True, []),
        ({**RETRYABLE, 'attempts_max': 1}, 'cut', False, ['unknown']),
        ({**ONCE, 'attempts_max': 1}, 'refused', True, []),
    ],
)
def test_only_safe_failures_are_retried(route, kind, again, runs):
    site = make_small_site(
        make_registration('u1'), make_registration('u2'), **route
    )
    for number in range(60):
        admit_request(
            site,
            make_request_head(f'other-{number}', tokens=TokenCounts(1, 0)),
            0.0,
        )
    admission, events = send(site)
    request_id = admission.request.request_id
    request_sent(site.scheduler, request_id)
    events = attempt_failed(
        site.scheduler, request_id, AttemptFailure(kind), 0.1
    )
    assert bool(dispatched_upstreams(events)) is again
    assert [error.run for error in refusal_errors(events)] == runs


def test_retry_uses_another_upstream():
    site = make_small_site(
        make_registration('u1'), make_registration('u2'), **RETRYABLE
    )
    for number in range(60):
        admit_request(site, make_request_head(f'other-{number}'), 0.0)
    pairs = []
    for number in range(8):
        admission, events = send(site, f'{number}')
        request_id = admission.request.request_id
        request_sent(site.scheduler, request_id)
        failure = AttemptFailure('cut')
        again = attempt_failed(site.scheduler, request_id, failure, 0.1)
        pairs.append(
            (*dispatched_upstreams(events), *dispatched_upstreams(again))
        )
        caller_disconnected(site.scheduler, request_id, 0.1)
    assert set(pairs) <= {('u1', 'u2'), ('u2', 'u1')}


def test_refusal_by_upstream_counts_as_not_executed():
    site = make_small_site(make_registration(), repeat='once')
    admission, _ = send(site)
    request_id = admission.request.request_id
    request_sent(site.scheduler, request_id)
    events = attempt_failed(
        site.scheduler, request_id, AttemptFailure('refused'), 0.1
    )
    assert [error.run for error in refusal_errors(events)] == ['no']


def test_repeated_tokens_in_stream_violate_invariant():
    site = make_small_site(make_registration(), is_stream=True)
    admission, _ = send(site)
    request_id = admission.request.request_id
    tokens_arrived(site.scheduler, request_id, 0, 6, 0.1)
    with pytest.raises(InvariantError):
        tokens_arrived(site.scheduler, request_id, 3, 6, 0.2)
    assert violations.pop('whole_answer') == 1


def test_vm_without_vm_list_refuses_requests():
    site = make_small_site(make_registration(), vms=())
    with pytest.raises(NoUpstreamError):
        admit_request(site, make_request_head(), 0.0)


@pytest.mark.parametrize(
    ('first', 'second', 'served'),
    [
        ({'account': 1, 'route': 0}, {'account': 0, 'route': 2}, 'second'),
        ({'account': 1, 'route': 2}, {'account': 1, 'route': 0}, 'second'),
        ({'account': None, 'route': 1}, {'account': 0, 'route': 1}, 'second'),
        ({'account': 0, 'route': 0}, {'account': 0, 'route': 1}, 'first'),
        ({'account': 0, 'route': 1}, {'account': 0, 'route': 1}, 'first'),
    ],
)
def test_account_rank_precedes_route_rank(first, second, served):
    ranked = {}
    for name, ranks in (('first', first), ('second', second)):
        account = Account('yard', rank=ranks['account'])
        route = Route('r', 'a.example', '/', (), rank=ranks['route'])
        ranked[name] = queue_rank(request_priority(route, account))
    assert min(ranked, key=lambda name: ranked[name]) == served


def test_low_rank_alone_may_use_all_slots():
    site = make_small_site(make_registration(slots=12), rank=9)
    sent = [send(site, f'{number}')[1] for number in range(12)]
    assert all(dispatched_upstreams(events) for events in sent)


def test_silent_upstream_is_not_probed():
    site = make_small_site(make_registration(), make_registration('u2'))
    admission, _ = send(site)
    events = attempt_failed(
        site.scheduler,
        admission.request.request_id,
        AttemptFailure('silent'),
        1.0,
    )
    assert not any(isinstance(event, Probe) for event in events)
