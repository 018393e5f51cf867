"""The leader's side of a version move: steps, evidence, taking back."""

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

SHARES: Final = (0.25, 0.5, 1.0)
STEP_MIN_S: Final = 3.0
LATE_STEPS_S: Final = 60.0


class LeaderState(NamedTuple):
    """The root: the move, its standing and the evidence heard.

    ``fence`` is the fencing number of this lead, ``heard`` holds the last
    totals of each VM by route and ``ordered`` the upstreams that have
    acknowledged the order to load the version.
    """

    move: VersionMove
    standing: MoveStatus
    fence: int
    step_began_s: float
    comparisons: dict[str, VersionComparison]
    heard: dict[tuple[str, str], RouteOutcomes]
    ordered: set[str]
    led_since_s: float


def make_leader_state(
    move: VersionMove, standing: MoveStatus, fence: int, now_s: float
) -> LeaderState:
    """Create the lead of a move that is taken over or begins now."""
    return LeaderState(move, standing, fence, now_s, {}, {}, set(), now_s)


def initial_status(move: VersionMove, stored: MoveStatus | None) -> MoveStatus:
    """Return the stored standing; one of an earlier move counts as none."""
    if stored is not None and stored.to_version == move.to_version:
        return stored
    return MoveStatus(move.model, move.to_version)


def largest_share(lead: LeaderState) -> float:
    """Return the share of requests that the new version may get now."""
    standing = lead.standing
    if standing.state == 'taken_back':
        return 0.0
    if standing.state == 'done':
        return 1.0
    if standing.step == 0:
        return lead.move.largest_unproven_share
    return SHARES[standing.step - 1]


def record_route_outcomes(
    lead: LeaderState, vm: str, totals: RouteOutcomes
) -> None:
    """Take one VM's running totals of a route."""
    before = lead.heard.get((vm, totals.route))
    old, new = totals.old, totals.new
    if before is not None:
        old = _since(before.old, old)
        new = _since(before.new, new)
    lead.heard[vm, totals.route] = totals
    verdict = lead.comparisons.get(totals.route, make_comparison())
    lead.comparisons[totals.route] = add_outcomes(verdict, old, new)


def _since(before: OutcomeCounts, after: OutcomeCounts) -> OutcomeCounts:
    """Return the difference; a restarted VM counts from zero."""
    if after.requests < before.requests or after.bad < before.bad:
        return after
    return OutcomeCounts(
        after.requests - before.requests, after.bad - before.bad
    )


def advance_move(
    lead: LeaderState, now_s: float, now_epoch_s: float
) -> LeaderState:
    """Take the version back, take the next step, finish, or wait."""
    standing = lead.standing
    if standing.state != 'running':
        return lead
    if lead.move.wanted == 'abort':
        return roll_back_move(lead, 'aborted by an operator')
    for route, verdict in lead.comparisons.items():
        if is_bad(verdict):
            trials = f'{verdict.new.bad} of {verdict.new.requests}'
            reason = f'route {route}: {trials} requests went badly'
            return roll_back_move(lead, reason)
    if now_s - lead.step_began_s < _step_time_s(lead, now_epoch_s):
        return lead
    return _next_step(lead, now_s) if _is_proven(lead) else lead


def _step_time_s(lead: LeaderState, now_epoch_s: float) -> float:
    """Spread the steps that are left over a part of the time left."""
    steps_left = len(SHARES) + 1 - lead.standing.step
    left_s = max(0.0, lead.move.due_at - now_epoch_s)
    spread_s = min(left_s / (2 * steps_left), LATE_STEPS_S)
    return max(STEP_MIN_S, spread_s)


def _is_proven(lead: LeaderState) -> bool:
    """All common routes have evidence for this step, none is suspect."""
    rare = rare_routes(lead.comparisons)
    common = [route for route in lead.comparisons if route not in rare]
    if not common:
        return False
    return all(
        is_good(verdict, rare=route in rare)
        for route, verdict in lead.comparisons.items()
    )


def _next_step(lead: LeaderState, now_s: float) -> LeaderState:
    check_invariant(
        'steps_need_evidence',
        holds=_is_proven(lead),
        detail=lead.move.model,
    )
    for route, verdict in list(lead.comparisons.items()):
        lead.comparisons[route] = verdict._replace(trust=0.0)
    step = lead.standing.step + 1
    done = step > len(SHARES)
    standing = lead.standing._replace(
        state='done' if done else 'running', step=min(step, len(SHARES))
    )
    return lead._replace(standing=standing, step_began_s=now_s)


def roll_back_move(lead: LeaderState, reason: str) -> LeaderState:
    """Take the version back; nothing brings it forward again."""
    standing = lead.standing._replace(state='taken_back', reason=reason)
    return lead._replace(standing=standing)
