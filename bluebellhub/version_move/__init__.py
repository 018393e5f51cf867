"""Version moves: shares, evidence, steps and taking back."""

from bluebellhub.version_move.gate import (
    MoveGate,
    allows_new,
    count_dispatch,
    make_gate,
    set_share,
)
from bluebellhub.version_move.move import VersionMove

__all__ = [
    'MoveGate',
    'VersionMove',
    'allows_new',
    'count_dispatch',
    'make_gate',
    'set_share',
]
