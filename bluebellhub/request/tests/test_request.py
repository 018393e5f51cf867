"""Requests: attempts, complete responses, retries and refusals."""

import pytest

from bluebellhub.contract import find_tier
from bluebellhub.errors import InvariantError
from bluebellhub.invariants import violations
from bluebellhub.request import (
    AttemptFailure,
    begin_attempt,
    end_attempt,
    execution_status,
    make_request,
    make_request_state,
    may_retry,
    record_sent,
    record_tokens,
    refusal_reasons,
)


def _make_state(*, idempotent=True):
    request = make_request('r', find_tier('check'), 'm', idempotent=idempotent)
    return make_request_state(request)


@pytest.mark.parametrize(
    ('sent', 'ended', 'claim'),
    [
        (False, False, 'no'),
        (False, True, 'no'),
        (True, False, 'unknown'),
        (True, True, 'unknown'),
    ],
)
def test_execution_status_is_unknown_once_sent(sent, ended, claim):
    state = begin_attempt(_make_state(), 'u', 0.0)
    state = record_sent(state) if sent else state
    state = end_attempt(state) if ended else state
    assert execution_status(state) == claim


@pytest.mark.parametrize('sent', [True, False])
def test_a_non_idempotent_request_is_sent_at_most_once(sent):
    state = begin_attempt(_make_state(idempotent=False), 'u', 0.0)
    state = end_attempt(record_sent(state) if sent else state)
    if not sent:
        assert begin_attempt(state, 'v', 0.1).attempts == 2
        return
    with pytest.raises(InvariantError, match='dispatched_at_most_once'):
        begin_attempt(state, 'v', 0.1)
    violations.clear()


@pytest.mark.parametrize(
    ('offsets', 'whole'),
    [([0, 1, 2], True), ([0, 2], False), ([0, 0], False), ([1], False)],
)
def test_responses_have_no_gap_and_no_repetition(offsets, whole):
    state = begin_attempt(_make_state(), 'u', 0.0)
    try:
        for offset in offsets:
            state = record_tokens(state, offset, 1, 0.0)
    except InvariantError:
        assert not whole
        violations.clear()
    else:
        assert whole


@pytest.mark.parametrize(
    ('kind', 'idempotent', 'now_s', 'attempts', 'expected'),
    [
        ('connect_failed', False, 0.1, 1, True),
        ('not_run', False, 0.1, 1, False),
        ('not_run', True, 0.1, 1, True),
        ('cut', True, 0.1, 1, True),
        ('cut', False, 0.1, 1, False),
        ('silent', False, 0.1, 1, False),
        ('upstream_error', True, 0.1, 1, True),
        ('mismatch', True, 0.1, 1, True),
        ('cut', True, 0.6, 1, False),
        ('cut', True, 0.1, 4, False),
        ('preempted', True, 0.1, 4, True),
    ],
)
def test_retry_rules_depend_on_failure_idempotency_and_time(
    kind, idempotent, now_s, attempts, expected
):
    state = _make_state(idempotent=idempotent)._replace(attempts=attempts)
    assert may_retry(state, AttemptFailure(kind), now_s) is expected


def test_every_refusal_reason_has_an_error_status():
    for name, refusal in refusal_reasons.entries.items():
        assert refusal.reason == name
        assert 400 <= refusal.status < 600
