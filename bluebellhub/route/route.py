"""A route: which requests it matches and how they are answered."""

from collections.abc import Sequence
from random import Random
from typing import Literal, NamedTuple

__all__ = ['RetryPolicy', 'Route', 'Split', 'choose_target', 'is_retryable']

RetryPolicy = Literal['idempotent', 'once']


class Split(NamedTuple):
    """A service that gets ``weight`` parts of a route's requests."""

    target: str
    weight: float


class Route(NamedTuple):
    """A route of the active configuration.

    ``path_prefix`` begins and ends with a slash. ``objective_s`` is the target
    time to the first piece of a response, ``timeout_s`` limits the total time
    of a request, and ``gap_s`` is the target time between two pieces of a
    stream. A smaller ``rank`` goes first. ``attempts_max`` bounds the number of
    upstreams on which one request may be executed.
    """

    name: str
    host: str
    path_prefix: str
    splits: tuple[Split, ...]
    repeat: RetryPolicy = 'once'
    is_stream: bool = False
    is_resumable: bool = False
    is_public: bool = False
    timeout_s: float = 10.0
    objective_s: float = 1.0
    gap_s: float = 1.0
    rank: int = 0
    attempts_max: int = 1


def is_retryable(route: Route) -> bool:
    """Return whether a request may be executed more than once.

    A stream may be retried only if another upstream can resume it.
    """
    if route.is_stream:
        return route.is_resumable
    return route.repeat == 'idempotent'


def choose_target(splits: Sequence[Split], random: Random) -> str:
    """Return the service for one request, drawn at random by the weights."""
    if len(splits) == 1:
        return splits[0].target
    targets = [split.target for split in splits]
    weights = [split.weight for split in splits]
    return random.choices(targets, weights)[0]
