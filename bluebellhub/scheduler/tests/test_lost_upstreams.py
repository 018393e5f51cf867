"""Requests that wait when the last upstream of their target is removed."""

import pytest

from bluebellhub.faults import isolated_faults
from bluebellhub.invariants import set_violations_fatal
from bluebellhub.request import AttemptFailure
from bluebellhub.scheduler import (
    Dispatch,
    add_upstream,
    attempt_failed,
    dispatch,
    make_scheduler,
    remove_upstream,
    request_sent,
    tick,
)
from bluebellhub.scheduler.capacity import full_window_slots
from bluebellhub.scheduler.options import SchedulerOptions
from bluebellhub.scheduler.tests.small_scheduler import (
    event_types,
    refusal_reasons_of,
    submit_request,
)
from bluebellhub.upstream import UpstreamSpec, make_upstream

DISCIPLINES = ('immediate', 'tiered', 'shared')
# After the queue deadline of each tier.
LATE_S = 60.0


def _make_scheduler(discipline, slots=1):
    options = SchedulerOptions(discipline=discipline)
    scheduler = make_scheduler(options, full_window_slots)
    _add(scheduler, 'u0', slots)
    return scheduler


def _add(scheduler, name, slots=1):
    spec = UpstreamSpec(name, '127.0.0.1:1', ('m',), 'd', window=slots)
    add_upstream(scheduler, make_upstream(spec, warm=True))


@pytest.mark.parametrize('discipline', DISCIPLINES)
@pytest.mark.parametrize('kind', ['connect_failed', 'cut'])
def test_request_waits_while_its_target_has_no_upstream(discipline, kind):
    scheduler = _make_scheduler(discipline)
    submit_request(scheduler, 'a')
    if kind == 'cut':
        request_sent(scheduler, 'a')
    submit_request(scheduler, 'b')
    remove_upstream(scheduler, 'u0')
    assert not attempt_failed(scheduler, 'a', AttemptFailure(kind), 0.01)
    assert not tick(scheduler, 0.02)
    _add(scheduler, 'u1', slots=4)
    dispatched = tick(scheduler, 0.03)
    assert {event.request_id for event in dispatched} >= {'a'}


@pytest.mark.parametrize('discipline', DISCIPLINES)
def test_request_without_an_upstream_is_refused_at_its_deadline(discipline):
    scheduler = _make_scheduler(discipline)
    submit_request(scheduler, 'a')
    remove_upstream(scheduler, 'u0')
    attempt_failed(scheduler, 'a', AttemptFailure('connect_failed'), 0.01)
    refused = tick(scheduler, LATE_S)
    assert refusal_reasons_of(refused).keys() == {'a'}
    assert refused[0].error.run == 'no'
    assert not scheduler.requests


def _raise(*_args):
    raise OverflowError


@pytest.mark.parametrize('discipline', ['tiered', 'shared'])
def test_error_over_one_upstream_leaves_the_others_in_use(
    monkeypatch, discipline
):
    set_violations_fatal(fatal=False)
    scheduler = _make_scheduler(discipline, slots=4)
    _add(scheduler, 'u1', slots=4)
    make_candidate = dispatch.make_candidate

    def fail_for_u0(scheduler, state, upstream, *others):
        if upstream.spec.name == 'u0':
            raise OverflowError
        return make_candidate(scheduler, state, upstream, *others)

    monkeypatch.setattr(dispatch, 'make_candidate', fail_for_u0)
    events = [submit_request(scheduler, name)[0] for name in 'ab']
    assert [event.upstream for event in events] == ['u1', 'u1']
    assert isolated_faults.pop('upstream') == 2


@pytest.mark.parametrize('discipline', ['tiered', 'shared'])
def test_error_over_one_request_ends_only_that_one(monkeypatch, discipline):
    set_violations_fatal(fatal=False)
    scheduler = _make_scheduler(discipline, slots=4)
    monkeypatch.setattr(dispatch, 'start_attempt', _raise)
    assert refusal_reasons_of(submit_request(scheduler, 'a')) == {
        'a': 'internal'
    }
    monkeypatch.undo()
    assert event_types(submit_request(scheduler, 'b')) == [Dispatch]
    assert isolated_faults.pop('dispatch') == 1
