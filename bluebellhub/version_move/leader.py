"""The leader of a version move: steps, evidence and rollback."""

from typing import Final, NamedTuple

from bluebellhub.invariants import check_invariant
from bluebellhub.version_move.comparison import (
    OutcomeCounts,
    RouteOutcomes,
    VersionComparison,
    add_outcomes,
    is_bad,
    is_good,
    make_comparison,
    rare_routes,
)
from bluebellhub.version_move.move import MoveStatus, VersionMove

__all__ = [
    'LeaderState',
    'advance_move',
    'initial_status',
    'largest_share',
    'make_leader_state',
    'record_route_outcomes',
    'roll_back_move',
]

STEP_SHARES: Final = (0.25, 0.5, 1.0)
STEP_MIN_S: Final = 3.0
STEP_MAX_S: Final = 60.0


class LeaderState(NamedTuple):
    """Aggregate root: a move, its status and the outcomes reported.

    ``fence`` is the fencing number of this leader.  ``comparisons`` are by
    route, ``reported`` holds the last cumulative counts of each VM by VM and
    route, and ``loaded`` the upstreams that have acknowledged the command to
    load the version.
    """

    move: VersionMove
    status: MoveStatus
    fence: int
    step_started_s: float
    comparisons: dict[str, VersionComparison]
    reported: dict[tuple[str, str], RouteOutcomes]
    loaded: set[str]
    leader_since_s: float


def make_leader_state(
    move: VersionMove, status: MoveStatus, fence: int, now_s: float
) -> LeaderState:
    """Return the state of a VM that becomes the leader now."""
    return LeaderState(move, status, fence, now_s, {}, {}, set(), now_s)


def initial_status(move: VersionMove, stored: MoveStatus | None) -> MoveStatus:
    """Return the status that a leader starts from.

    A stored status of an earlier move is ignored.
    """
    if stored is not None and stored.to_version == move.to_version:
        return stored
    return MoveStatus(move.model, move.to_version)


def largest_share(leader: LeaderState) -> float:
    """Return the ratio of requests that the new version may get now."""
    status = leader.status
    if status.state == 'taken_back':
        return 0.0
    if status.state == 'done':
        return 1.0
    if status.step == 0:
        return leader.move.largest_unproven_share
    return STEP_SHARES[status.step - 1]


def record_route_outcomes(
    leader: LeaderState, vm: str, outcomes: RouteOutcomes
) -> None:
    """Add the cumulative counts that a VM reported for a route."""
    before = leader.reported.get((vm, outcomes.route))
    old, new = outcomes.old, outcomes.new
    if before is not None:
        old = _increase(before.old, old)
        new = _increase(before.new, new)
    leader.reported[vm, outcomes.route] = outcomes
    comparison = leader.comparisons.get(outcomes.route, make_comparison())
    leader.comparisons[outcomes.route] = add_outcomes(comparison, old, new)


def _increase(before: OutcomeCounts, after: OutcomeCounts) -> OutcomeCounts:
    """Return the counts since ``before``; a restarted VM counts from zero."""
    if after.requests < before.requests or after.bad < before.bad:
        return after
    return OutcomeCounts(
        after.requests - before.requests, after.bad - before.bad
    )


def advance_move(
    leader: LeaderState, now_s: float, now_epoch_s: float
) -> LeaderState:
    """Return the state after a check of a running move.

    The move is rolled back if an operator aborted it or the evidence on a
    route is bad.  Otherwise it advances by a step, or ends after the last
    one, once the step has lasted long enough and the evidence suffices.
    """
    status = leader.status
    if status.state != 'running':
        return leader
    if leader.move.wanted == 'abort':
        return roll_back_move(leader, 'aborted by an operator')
    for route, comparison in leader.comparisons.items():
        if is_bad(comparison):
            bad_count = f'{comparison.new.bad} of {comparison.new.requests}'
            reason = f'route {route}: {bad_count} requests went badly'
            return roll_back_move(leader, reason)
    if now_s - leader.step_started_s < _step_time_s(leader, now_epoch_s):
        return leader
    return _next_step(leader, now_s) if _has_evidence(leader) else leader


def _step_time_s(leader: LeaderState, now_epoch_s: float) -> float:
    """Return the minimum duration of this step in seconds.

    The remaining steps are spread over half of the time to the due date,
    between `STEP_MIN_S` and `STEP_MAX_S` each.
    """
    steps_left = len(STEP_SHARES) + 1 - leader.status.step
    left_s = max(0.0, leader.move.due_at - now_epoch_s)
    step_time_s = min(left_s / (2 * steps_left), STEP_MAX_S)
    return max(STEP_MIN_S, step_time_s)


def _has_evidence(leader: LeaderState) -> bool:
    """Return whether the evidence suffices for the next step.

    Every common route needs evidence that the version is good, and no rare
    route may have evidence that it is bad.
    """
    rare = rare_routes(leader.comparisons)
    common = [route for route in leader.comparisons if route not in rare]
    if not common:
        return False
    return all(
        is_good(comparison, rare=route in rare)
        for route, comparison in leader.comparisons.items()
    )


def _next_step(leader: LeaderState, now_s: float) -> LeaderState:
    """Return the state after the next step; restarts the evidence."""
    check_invariant(
        'steps_need_evidence',
        holds=_has_evidence(leader),
        detail=leader.move.model,
    )
    for route, comparison in list(leader.comparisons.items()):
        leader.comparisons[route] = comparison._replace(good_llr=0.0)
    step = leader.status.step + 1
    done = step > len(STEP_SHARES)
    status = leader.status._replace(
        state='done' if done else 'running', step=min(step, len(STEP_SHARES))
    )
    return leader._replace(status=status, step_started_s=now_s)


def roll_back_move(leader: LeaderState, reason: str) -> LeaderState:
    """Return the state with the move rolled back, which is permanent."""
    status = leader.status._replace(state='taken_back', reason=reason)
    return leader._replace(status=status)
