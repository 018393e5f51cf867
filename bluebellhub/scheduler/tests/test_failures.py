"""Failed attempts: retries, probes and the statements of refusals."""

import pytest

from bluebellhub.request import AttemptFailure
from bluebellhub.request.refusal import NoUpstreamError
from bluebellhub.scheduler import (
    Dispatch,
    Probe,
    attempt_failed,
    caller_disconnected,
    request_sent,
    tokens_arrived,
)
from bluebellhub.scheduler.finish import refuse
from bluebellhub.scheduler.tests.small_scheduler import (
    event_types,
    make_small_scheduler,
    refusal_reasons_of,
    submit_request,
)


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
def test_a_failed_attempt_is_retried_or_refused(
    kind, sent, idempotent, outcome, run
):
    scheduler = make_small_scheduler(upstreams=2)
    first = submit_request(scheduler, 'a', idempotent=idempotent)[0]
    if sent:
        request_sent(scheduler, 'a')
    events = attempt_failed(scheduler, 'a', AttemptFailure(kind), 0.1)
    events = [event for event in events if not isinstance(event, Probe)]
    if outcome == 'retry':
        assert event_types(events) == [Dispatch]
        moved = events[0].upstream != first.upstream
        assert moved or kind == 'cut'
        return
    assert refusal_reasons_of(events) == {'a': outcome}
    assert events[0].error.run == run


def test_a_silent_upstream_is_probed():
    scheduler = make_small_scheduler(upstreams=2)
    first = submit_request(scheduler, 'a')[0]
    events = attempt_failed(scheduler, 'a', AttemptFailure('silent'), 0.1)
    assert Probe(first.upstream) in events


@pytest.mark.parametrize('kind', ['silent', 'connect_failed'])
@pytest.mark.parametrize(
    'waiting',
    [
        1,
        pytest.param(2, marks=pytest.mark.known_red),
        pytest.param(6, marks=pytest.mark.known_red),
    ],
)
def test_one_silence_of_an_upstream_counts_as_one_failure(kind, waiting):
    """Six requests that waited while it was silent pause it for eight s."""
    scheduler = make_small_scheduler(window=8)
    names = [f'r{number}' for number in range(waiting)]
    for name in names:
        submit_request(scheduler, name, idempotent=False)
    for name in names:
        attempt_failed(scheduler, name, AttemptFailure(kind), 1.0)
    assert scheduler.upstreams['u0'].paused_until_s == 1.25


def test_the_retry_budget_limits_retries():
    scheduler = make_small_scheduler(upstreams=3, window=30)
    outcomes = []
    for number in range(30):
        name = f'r{number}'
        submit_request(scheduler, name, now_s=float(number))
        failure = AttemptFailure('mismatch')
        events = attempt_failed(scheduler, name, failure, number + 0.01)
        outcomes.append(Dispatch in event_types(events))
        if name in scheduler.requests:
            caller_disconnected(scheduler, name, number + 0.02)
    assert sum(outcomes) == 10
    assert scheduler.counters['retries_denied', 'mismatch'] == 20


def test_a_truncated_stream_is_resumed_at_its_offset():
    scheduler = make_small_scheduler(upstreams=2)
    submit_request(scheduler, 'a')
    request_sent(scheduler, 'a')
    tokens_arrived(scheduler, 'a', 0, 7, 0.05)
    events = attempt_failed(scheduler, 'a', AttemptFailure('cut'), 0.9)
    resumed = [event for event in events if isinstance(event, Dispatch)]
    assert [event.offset for event in resumed] == [7]


@pytest.mark.parametrize(('sent', 'run'), [(False, 'no'), (True, 'unknown')])
def test_a_refusal_states_whether_the_request_was_sent(sent, run):
    scheduler = make_small_scheduler()
    submit_request(scheduler, 'a')
    if sent:
        request_sent(scheduler, 'a')
    error = NoUpstreamError('gone')
    refuse(scheduler, [], scheduler.requests['a'], error)
    assert error.run == run
