"""Decisions on the duties, and messages that must not change them."""

import pytest

from bluebellhub.duty import (
    Acquire,
    DutyEntry,
    DutyReport,
    FoundEntry,
    Read,
    UsageOrder,
    add_report,
    apply_entry,
    apply_report,
    apply_written,
    current_token,
    is_holding,
    known_holder,
    make_duty,
    make_duty_report,
    next_step,
)
from bluebellhub.duty.tokens import make_token

VMS = ['hub-1', 'hub-2']
TOKEN = make_token(1, 4)


def make_holder(now_s=10.0):
    """Return a VM that acquired the lease at ``now_s``."""
    duty = make_duty('hub-1', 7)
    assert next_step(duty, ['hub-1'], now_s) == Read()
    apply_entry(duty, FoundEntry(None, 0, 1), now_s)
    step = next_step(duty, ['hub-1'], now_s)
    assert isinstance(step, Acquire)
    apply_written(duty, step, FoundEntry(step.entry, 9, 1), now_s, now_s)
    return duty


def make_report(**fields):
    given = {
        'holder': 'hub-2',
        'start_id': 1,
        'token': TOKEN,
        'revision': 5,
        'left_s': 4.0,
        'is_released': False,
        **fields,
    }
    return DutyReport(**given)


@pytest.mark.parametrize(
    ('at_s', 'may_act'), [(10.1, True), (14.9, True), (15.1, False)]
)
def test_lease_counts_from_the_sending_of_the_write(at_s, may_act):
    """A call must end before another VM can take over."""
    duty = make_holder(10.0)
    assert (current_token(duty, at_s) is not None) == may_act
    assert is_holding(duty, at_s)


@pytest.mark.parametrize(
    ('first', 'second', 'use'),
    [
        (make_report(), make_report(revision=6), 'applied'),
        (make_report(), make_report(revision=4), 'older'),
        (make_report(), make_report(token=TOKEN - 1, revision=9), 'older'),
        (make_report(), make_report(holder='hub-3'), 'malformed'),
        (make_report(), make_report(left_s=99.0), 'malformed'),
        (make_report(), make_report(left_s=float('nan')), 'malformed'),
        (make_report(is_released=True), make_report(), 'older'),
    ],
)
def test_older_or_odd_report_is_dropped(first, second, use):
    """A late message must not bring back a holder that is gone."""
    duty = make_duty('hub-1', 7)
    assert apply_report(duty, 'hub-2', first, 1.0) == 'applied'
    assert apply_report(duty, 'hub-2', second, 2.0) == use
    expected = None if first.is_released else 'hub-2'
    assert known_holder(duty, 3.0) == expected


def test_higher_token_ends_the_lease():
    """Two VMs must not both believe that they hold the lease."""
    duty = make_holder(10.0)
    token = current_token(duty, 10.5)
    apply_report(duty, 'hub-2', make_report(token=token + 1), 10.5)
    assert current_token(duty, 10.6) is None
    assert known_holder(duty, 10.6) == 'hub-2'


@pytest.mark.parametrize(
    ('entry', 'announced', 'free_after_s'),
    [
        (None, None, 0.0),
        (DutyEntry('hub-2', 1, TOKEN, is_released=True), None, 0.0),
        (DutyEntry('hub-1', 6, TOKEN), None, 0.0),
        (DutyEntry('hub-2', 1, TOKEN), None, 6.5),
        (DutyEntry('hub-2', 1, TOKEN), make_report(), 4.0),
        (DutyEntry('hub-2', 1, TOKEN), make_report(revision=4), 6.5),
        # Written before a restore of the store.
        (DutyEntry('hub-2', 1, 4, is_released=True), None, 6.5),
        (DutyEntry('hub-1', 6, 4), None, 6.5),
    ],
)
def test_candidate_waits_until_no_other_can_hold(
    entry, announced, free_after_s
):
    """Another VM's lease must have ended before it is taken over."""
    duty = make_duty('hub-1', 7)
    start_s = 10.0
    if announced is not None:
        apply_report(duty, 'hub-2', announced, start_s)
    apply_entry(duty, FoundEntry(entry, 5, 1), start_s)
    if free_after_s:
        step = next_step(duty, ['hub-1'], start_s + free_after_s - 0.1)
        assert not isinstance(step, Acquire)
    step = next_step(duty, ['hub-1'], start_s + free_after_s + 0.1)
    assert isinstance(step, Acquire)
    assert step.entry.token > TOKEN or entry is None


def test_window_has_one_report():
    """A window that is in the object must not be reported again."""
    duty = make_holder(10.0)
    assert add_report(duty, UsageOrder(5, {'a': 1}))
    assert not add_report(duty, UsageOrder(5, {'a': 2}))
    assert not add_report(duty, UsageOrder(6, {'a': 2}))


def test_holder_announces_its_lease():
    """Others take over by the time that is left of it."""
    duty = make_holder(10.0)
    report = make_duty_report(duty, 12.0)
    assert (report.holder, report.left_s) == ('hub-1', 4.0)
    assert make_duty_report(duty, 17.0) is None
