"""Comparison of two versions by how long their upstreams take for a step.

A step is an event of a streamed response, or a whole response of a service.
Hardware differs, so single responses cannot be compared: a good version on slow
hardware is slower than the old version on fast hardware.  What is compared are
means over the upstreams, since both versions have much the same hardware.
"""

from collections.abc import Iterable, Sequence
from math import ceil, exp, log
from typing import Final, NamedTuple

__all__ = ['StepTotal', 'add_step', 'is_slower', 'sum_step_totals']

# Upstreams whose steps are known well enough, and how many of them suffice.
STEPS_MIN: Final = 5
UPSTREAMS_MIN: Final = 3
UPSTREAMS_ENOUGH: Final = 12
MEASURED_SHARE: Final = 0.8
SLOWER_RATIO: Final = 1.7


class StepTotal(NamedTuple):
    """Steps of an upstream and the seconds that they took together."""

    steps: int = 0
    seconds: float = 0.0


def add_step(total: StepTotal, duration_s: float) -> StepTotal:
    """Return the total with one more step."""
    return StepTotal(total.steps + 1, total.seconds + duration_s)


def sum_step_totals(totals: Iterable[StepTotal]) -> StepTotal:
    """Add up what several VMs observed at one upstream."""
    steps, seconds = 0, 0.0
    for total in totals:
        steps += total.steps
        seconds += total.seconds
    return StepTotal(steps, seconds)


def is_slower(old: Sequence[StepTotal], new: Sequence[StepTotal]) -> bool:
    """Return whether the new version's upstreams take longer for a step.

    ``old`` and ``new`` have one entry for each upstream of the version.  The
    geometric means are compared, so that no upstream outweighs the others.
    Nothing is known before most upstreams of both versions, or enough of
    them, have been measured.

    >>> usual = [StepTotal(10, seconds) for seconds in (0.2, 0.3, 0.8)]
    >>> is_slower(usual, [StepTotal(10, 0.8), *usual[:2]])
    False
    >>> is_slower(usual, [StepTotal(10, seconds) for seconds in (0.5, 0.8, 2)])
    True
    """
    old_s, new_s = _mean_step_s(old), _mean_step_s(new)
    if old_s is None or new_s is None:
        return False
    return new_s > SLOWER_RATIO * old_s


def _mean_step_s(totals: Sequence[StepTotal]) -> float | None:
    """Return the geometric mean of the step times, or ``None`` if unknown."""
    measured = [
        log(total.seconds / total.steps)
        for total in totals
        if total.steps >= STEPS_MIN and total.seconds > 0
    ]
    most = ceil(MEASURED_SHARE * len(totals))
    needed = max(UPSTREAMS_MIN, min(most, UPSTREAMS_ENOUGH))
    if len(measured) < needed:
        return None
    return exp(sum(measured) / len(measured))
