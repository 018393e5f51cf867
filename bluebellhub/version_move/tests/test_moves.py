"""Version moves: evidence, steps, traffic shares and rollback."""

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


def _start_leader():
    return make_leader_state(MOVE, initial_status(MOVE, None), 1, 0.0)


def _report(leader, count, bad_share, random, reported, routes=ROUTES):
    """Report more outcomes of both versions as cumulative counts."""
    for route in ROUTES:
        old, new = reported.get(route, (OutcomeCounts(), OutcomeCounts()))
        share = bad_share if route in routes else 0.01
        bad = sum(random.random() < share for _ in range(count))
        old_bad = sum(random.random() < 0.01 for _ in range(count))
        old = OutcomeCounts(old.requests + count, old.bad + old_bad)
        new = OutcomeCounts(new.requests + count, new.bad + bad)
        reported[route] = (old, new)
        record_route_outcomes(leader, 'hub-1', RouteOutcomes(route, old, new))


def _run_move(bad_from_s, bad_share, seed, routes=ROUTES, until_s=300):
    leader = _start_leader()
    random = Random(seed)
    reported = {}
    for now_s in range(1, until_s):
        share = bad_share if now_s >= bad_from_s else 0.01
        _report(leader, 3, share, random, reported, routes)
        leader = advance_move(leader, float(now_s), float(now_s))
        if leader.status.state != 'running':
            return leader, now_s
    return leader, until_s


@pytest.mark.parametrize('seed', range(8))
def test_move_to_good_version_is_done_before_due_date(seed):
    leader, ended_s = _run_move(0, 0.01, seed, until_s=600)
    assert leader.status.state == 'done'
    assert ended_s < 600


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
def test_bad_version_is_rolled_back(bad_from_s, bad_share, routes, seed):
    leader, ended_s = _run_move(bad_from_s, bad_share, seed, routes)
    assert leader.status.state == 'taken_back'
    assert largest_share(leader) == 0.0
    assert ended_s < bad_from_s + 40


def test_rollback_is_permanent():
    leader, _ = _run_move(0, 1.0, 1)
    later = advance_move(leader, 1e6, 1e6)
    assert later.status.state == 'taken_back'
    taken_over = make_leader_state(MOVE, later.status, 2, 1e6)
    assert largest_share(taken_over) == 0.0


@pytest.mark.parametrize(
    ('stored', 'state'),
    [
        (None, 'running'),
        (MoveStatus('m', '2', 'taken_back'), 'taken_back'),
        (MoveStatus('m', 'older', 'taken_back'), 'running'),
    ],
)
def test_initial_status_ignores_other_target_versions(stored, state):
    assert initial_status(MOVE, stored).state == state


def test_counts_survive_duplicates_losses_and_restarts():
    leader = _start_leader()
    outcomes = RouteOutcomes('r', OutcomeCounts(10, 0), OutcomeCounts(10, 1))
    record_route_outcomes(leader, 'hub-1', outcomes)
    record_route_outcomes(leader, 'hub-1', outcomes)
    record_route_outcomes(
        leader,
        'hub-1',
        RouteOutcomes('r', OutcomeCounts(14, 0), OutcomeCounts(14, 1)),
    )
    assert leader.comparisons['r'].new == OutcomeCounts(14, 1)
    record_route_outcomes(
        leader,
        'hub-1',
        RouteOutcomes('r', OutcomeCounts(2, 0), OutcomeCounts(2, 0)),
    )
    assert leader.comparisons['r'].new == OutcomeCounts(16, 1)


def test_equal_failure_rates_are_no_evidence():
    comparison = make_comparison()
    for _ in range(50):
        comparison = add_outcomes(
            comparison, OutcomeCounts(10, 3), OutcomeCounts(10, 3)
        )
    assert not is_bad(comparison)


@pytest.mark.parametrize('share', [0.05, 0.25, 1.0])
def test_gate_keeps_share(share):
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
def test_gate_state_selects_allowed_versions(fields, now_s, new, old):
    gate = set_share(make_gate('m', '2', 0.0), 1.0, 10.0, proven=True)
    gate = gate._replace(**fields)
    assert allows_new(gate, 'r', now_s) is new
    assert allows_old(gate, now_s) is old


def test_dispatch_to_bad_version_violates_invariant():
    gate = make_gate('m', '2', 0.0)._replace(bad=True, dispatched=100)
    with pytest.raises(InvariantError, match='bad_version_gets_no_work'):
        count_dispatch(gate, '2', 'r', 0.0)
    violations.clear()


def test_unproven_dispatches_rotate_over_routes():
    gate = set_share(make_gate('m', '2', 0.0), 0.05, 10.0, proven=False)
    new = {'common': 0, 'rare': 0}
    for number in range(4000):
        route = 'common' if number % 10 else 'rare'
        version = '2' if allows_new(gate, route, 1.0) else '1'
        new[route] += version == '2'
        gate = count_dispatch(gate, version, route, 1.0)
    assert new['common'] + new['rare'] >= 0.048 * 4000
    assert abs(new['common'] - new['rare']) <= 2
