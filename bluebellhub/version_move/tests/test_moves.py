"""Version moves: evidence, steps, shares and taking back."""

from random import Random

import pytest

from bluebellhub.errors import InvariantError
from bluebellhub.invariants import violations
from bluebellhub.version_move import (
    MoveStatus,
    OutcomeCounts,
    RouteOutcomes,
    VersionMove,
    advance_move,
    allows_new,
    allows_old,
    count_dispatch,
    initial_status,
    largest_share,
    make_gate,
    make_leader_state,
    record_route_outcomes,
    set_share,
)
from bluebellhub.version_move.comparison import (
    add_outcomes,
    is_bad,
    make_comparison,
)

MOVE = VersionMove('m', '1', '2', due_at=600.0)
ROUTES = ('availability', 'quote', 'plan')


def _lead():
    return make_leader_state(MOVE, initial_status(MOVE, None), 1, 0.0)


def _feed(lead, count, bad_share, random, seen, routes=ROUTES):
    """Report more trials of both versions as running totals."""
    for route in ROUTES:
        old, new = seen.get(route, (OutcomeCounts(), OutcomeCounts()))
        share = bad_share if route in routes else 0.01
        bad = sum(random.random() < share for _ in range(count))
        slips = sum(random.random() < 0.01 for _ in range(count))
        old = OutcomeCounts(old.requests + count, old.bad + slips)
        new = OutcomeCounts(new.requests + count, new.bad + bad)
        seen[route] = (old, new)
        record_route_outcomes(lead, 'hub-1', RouteOutcomes(route, old, new))


def _play(bad_from_s, bad_share, seed, routes=ROUTES, until_s=300):
    lead = _lead()
    random = Random(seed)
    seen = {}
    for now_s in range(1, until_s):
        share = bad_share if now_s >= bad_from_s else 0.01
        _feed(lead, 3, share, random, seen, routes)
        lead = advance_move(lead, float(now_s), float(now_s))
        if lead.standing.state != 'running':
            return lead, now_s
    return lead, until_s


@pytest.mark.parametrize('seed', range(8))
def test_good_versions_are_moved_before_the_date(seed):
    lead, took_s = _play(0, 0.01, seed, until_s=600)
    assert lead.standing.state == 'done'
    assert took_s < 600


@pytest.mark.parametrize(
    ('bad_from_s', 'bad_share', 'routes'),
    [
        (0, 1.0, ROUTES),
        (0, 0.3, ROUTES),
        (60, 0.3, ROUTES),
        (0, 0.5, ('plan',)),
        (100, 1.0, ('quote',)),
    ],
)
@pytest.mark.parametrize('seed', range(3))
def test_bad_versions_are_taken_back(bad_from_s, bad_share, routes, seed):
    lead, took_s = _play(bad_from_s, bad_share, seed, routes)
    assert lead.standing.state == 'taken_back'
    assert largest_share(lead) == 0.0
    assert took_s < bad_from_s + 40


def test_a_bad_mark_stays():
    lead, _ = _play(0, 1.0, 1)
    later = advance_move(lead, 1e6, 1e6)
    assert later.standing.state == 'taken_back'
    taken_over = make_leader_state(MOVE, later.standing, 2, 1e6)
    assert largest_share(taken_over) == 0.0


@pytest.mark.parametrize(
    ('stored', 'state'),
    [
        (None, 'running'),
        (MoveStatus('m', '2', 'taken_back'), 'taken_back'),
        (MoveStatus('m', 'older', 'taken_back'), 'running'),
    ],
)
def test_a_standing_belongs_to_its_version(stored, state):
    assert initial_status(MOVE, stored).state == state


def test_totals_may_be_doubled_lost_and_restarted():
    lead = _lead()
    totals = RouteOutcomes('r', OutcomeCounts(10, 0), OutcomeCounts(10, 1))
    record_route_outcomes(lead, 'hub-1', totals)
    record_route_outcomes(lead, 'hub-1', totals)
    record_route_outcomes(
        lead,
        'hub-1',
        RouteOutcomes('r', OutcomeCounts(14, 0), OutcomeCounts(14, 1)),
    )
    assert lead.comparisons['r'].new == OutcomeCounts(14, 1)
    record_route_outcomes(
        lead,
        'hub-1',
        RouteOutcomes('r', OutcomeCounts(2, 0), OutcomeCounts(2, 0)),
    )
    assert lead.comparisons['r'].new == OutcomeCounts(16, 1)


def test_an_old_version_that_fails_as_often_is_no_evidence():
    verdict = make_comparison()
    for _ in range(50):
        verdict = add_outcomes(
            verdict, OutcomeCounts(10, 3), OutcomeCounts(10, 3)
        )
    assert not is_bad(verdict)


@pytest.mark.parametrize('share', [0.05, 0.25, 1.0])
def test_a_gate_keeps_the_share(share):
    gate = make_gate('m', '2', 0.0)._replace(largest_unproven=share)
    gate = set_share(gate, share, 10.0, proven=False)
    new = 0
    for _ in range(400):
        version = '2' if allows_new(gate, 'r', 1.0) else '1'
        new += version == '2'
        gate = count_dispatch(gate, version, 'r', 1.0)
    assert new <= share * 400
    assert new >= share * 400 - 1


@pytest.mark.parametrize(
    ('fields', 'now_s', 'new', 'old'),
    [
        ({}, 1.0, True, False),
        ({}, 10.0, False, True),
        ({'bad': True}, 1.0, False, True),
        ({'done': True}, 99.0, True, False),
    ],
)
def test_gates_open_and_close(fields, now_s, new, old):
    gate = set_share(make_gate('m', '2', 0.0), 1.0, 10.0, proven=True)
    gate = gate._replace(**fields)
    assert allows_new(gate, 'r', now_s) is new
    assert allows_old(gate, now_s) is old


def test_work_for_a_bad_version_is_an_error():
    gate = make_gate('m', '2', 0.0)._replace(bad=True, dispatched=100)
    with pytest.raises(InvariantError, match='bad_version_gets_no_work'):
        count_dispatch(gate, '2', 'r', 0.0)
    violations.clear()


def test_routes_take_turns_while_a_version_is_unproven():
    gate = set_share(make_gate('m', '2', 0.0), 0.05, 10.0, proven=False)
    new = {'common': 0, 'rare': 0}
    for number in range(4000):
        route = 'common' if number % 10 else 'rare'
        version = '2' if allows_new(gate, route, 1.0) else '1'
        new[route] += version == '2'
        gate = count_dispatch(gate, version, route, 1.0)
    assert new['common'] + new['rare'] >= 0.048 * 4000
    assert abs(new['common'] - new['rare']) <= 2
