"""Version moves: traffic shares, outcome comparison, steps and rollback."""

from bluebellhub.version_move.comparison import OutcomeCounts, RouteOutcomes
from bluebellhub.version_move.gate import (
    MoveGate,
    allows_new,
    allows_old,
    count_dispatch,
    make_gate,
    set_share,
)
from bluebellhub.version_move.leader import (
    LeaderState,
    advance_move,
    initial_status,
    largest_share,
    make_leader_state,
    record_route_outcomes,
    roll_back_move,
)
from bluebellhub.version_move.move import (
    MoveCommand,
    MoveState,
    MoveStatus,
    VersionMove,
)
from bluebellhub.version_move.step_times import StepTotal

__all__ = [
    'LeaderState',
    'MoveCommand',
    'MoveGate',
    'MoveState',
    'MoveStatus',
    'OutcomeCounts',
    'RouteOutcomes',
    'StepTotal',
    'VersionMove',
    'advance_move',
    'allows_new',
    'allows_old',
    'count_dispatch',
    'initial_status',
    'largest_share',
    'make_gate',
    'make_leader_state',
    'record_route_outcomes',
    'roll_back_move',
    'set_share',
]
