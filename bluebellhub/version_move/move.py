"""Version moves as operators request them."""

from typing import Annotated, Literal, NamedTuple

import msgspec

__all__ = ['MoveCommand', 'MoveState', 'MoveStatus', 'VersionMove']

Share = Annotated[float, msgspec.Meta(gt=0, le=1)]


MoveState = Literal['running', 'done', 'taken_back']


class MoveStatus(NamedTuple):
    """Status of a move in the store, from which any VM can take over.

    ``step`` counts the increases of the new version's share so far.
    ``leader`` is the VM that wrote the status last.
    """

    model: str
    to_version: str
    state: MoveState = 'running'
    step: int = 0
    reason: str = ''
    leader: str = ''


class MoveCommand(NamedTuple):
    """A move that is due ``duration_s`` seconds after it was requested.

    ``state`` is the state in the store, or ``None`` before a leader has
    written one.  ``revision`` is that of the command's last change.
    """

    model: str
    to_version: str
    duration_s: float
    state: MoveState | None = None
    revision: int = 0


class VersionMove(NamedTuple):
    """Moves a model's traffic from one version to another by a date.

    ``due_at`` is in seconds since the epoch.  ``largest_unproven_share`` is
    the ratio of requests that the new version may get before there is
    evidence that it is good.
    """

    model: str
    from_version: str
    to_version: str
    due_at: float
    largest_unproven_share: Share = 0.05
    wanted: Literal['move', 'abort'] = 'move'
