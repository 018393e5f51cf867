"""Slowdown that an upstream states of itself, and how long it counts."""

from typing import Final, NamedTuple

__all__ = [
    'FRESH_S',
    'Slowdown',
    'bounded_ratio',
    'newer_slowdown',
    'ratio_at',
]

HALF_LIFE_S: Final = 0.5
# A slowdown of this age has a quarter of its weight; it is not passed on.
FRESH_S: Final = 1.0
RATIO_MIN: Final = 0.1
RATIO_MAX: Final = 100.0


class Slowdown(NamedTuple):
    """How long work takes, in relation to the usual time, stated at ``at_s``.

    ``is_own`` is true if the upstream stated it to this VM.
    """

    ratio: float = 1.0
    at_s: float = 0.0
    is_own: bool = False


def bounded_ratio(ratio: float) -> float:
    """Return a stated ratio within bounds; one that is no ratio counts as 1.

    >>> [bounded_ratio(ratio) for ratio in (0.0, -3.0, 1e9, float('nan'))]
    [1.0, 1.0, 100.0, 1.0]
    """
    if not ratio > 0:
        return 1.0
    return min(RATIO_MAX, max(RATIO_MIN, ratio))


def newer_slowdown(known: Slowdown, stated: Slowdown) -> Slowdown:
    """Return the slowdown that was stated last."""
    return stated if stated.at_s >= known.at_s else known


def ratio_at(slowdown: Slowdown, now_s: float) -> float:
    """Return the slowdown to expect now; an old one approaches 1.

    >>> ratio_at(Slowdown(4.0, 10.0), 10.0), ratio_at(Slowdown(4.0, 10.0), 10.5)
    (4.0, 2.0)
    """
    if slowdown.ratio == 1.0:
        return 1.0
    age_s = max(0.0, now_s - slowdown.at_s)
    weight = 0.5 ** (age_s / HALF_LIFE_S)
    return float(slowdown.ratio**weight)
