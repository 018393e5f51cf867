"""A version move as operators announce it."""

from typing import Annotated, Literal, NamedTuple

import msgspec

__all__ = ['MoveCommand', 'MoveState', 'MoveStatus', 'VersionMove']

Share = Annotated[float, msgspec.Meta(gt=0, le=1)]


MoveState = Literal['running', 'done', 'taken_back']


class MoveStatus(NamedTuple):
    """What the store keeps of a move, so that any VM can take it over.

    ``step`` counts the shares reached, ``leader`` wrote the status last.
    """

    model: str
    to_version: str
    state: MoveState = 'running'
    step: int = 0
    reason: str = ''
    leader: str = ''


class MoveCommand(NamedTuple):
    """A move that is due ``duration_s`` after it was ordered.

    ``state`` is what the store says of it, ``None`` before the first word,
    and ``revision`` that of the order's last change.
    """

    model: str
    to_version: str
    duration_s: float
    state: MoveState | None = None
    revision: int = 0


class VersionMove(NamedTuple):
    """Move a model's traffic from one version to another by a date.

    ``due_at`` is in seconds since the epoch.  ``largest_unproven_share`` is
    the ratio of requests that the new version may get before it is proven.
    """

    model: str
    from_version: str
    to_version: str
    due_at: float
    largest_unproven_share: Share = 0.05
    wanted: Literal['move', 'abort'] = 'move'
