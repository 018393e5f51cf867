"""True time, from the wall clocks of all VMs.

A wall clock may jump by seconds. The clock of `bluebellhub.clock` never does,
so each VM keeps how far wall clocks are ahead of that one, and their median
stays right while some of them are wrong. Only the holder of the duties receives
the wall clocks of all VMs; the others take the true time that it states.
"""

from collections import deque
from collections.abc import Iterable
from math import inf
from statistics import median
from typing import Final, NamedTuple, TypedDict

__all__ = [
    'TrueTime',
    'is_time_known',
    'make_true_time',
    'observe_reference',
    'observe_wall',
    'true_time_s',
]

# An observation counts for this time.
VALID_S: Final = 15.0
# The transfer of a message makes its offset too small. Of the observations in
# this time the largest counts, so that one late message does no harm.
COMPARED_S: Final = 5.0
# Messages and synchronised clocks are about this precise. A wall clock that
# differs by less is right.
TOLERANCE_S: Final = 0.25
# With its own clock these are enough for a median that one cannot change.
OTHER_CLOCKS_MIN: Final = 2
# The median of hundreds of clocks is not computed for each message.
MEDIAN_VALID_S: Final = 0.25


class Observation(NamedTuple):
    """How far a clock was ahead of this VM's, and when that was seen."""

    offset_s: float
    seen_at_s: float


class Median(TypedDict):
    """The median offset, and when it was computed."""

    offset_s: float
    computed_at_s: float


class TrueTime(NamedTuple):
    """The root: observed wall clocks by VM, and true times of holders."""

    walls: dict[str, deque[Observation]]
    reference: deque[Observation]
    median: Median


def make_true_time() -> TrueTime:
    """Create the state of a VM that knows its own wall clock only."""
    return TrueTime({}, deque(), {'offset_s': 0.0, 'computed_at_s': -inf})


def observe_wall(
    true_time: TrueTime, vm: str, wall_s: float, now_s: float
) -> None:
    """Record the wall clock of another VM, received now."""
    _observe(true_time.walls.setdefault(vm, deque()), wall_s, now_s)


def observe_reference(true_time: TrueTime, true_s: float, now_s: float) -> None:
    """Record the true time that the holder states, received now."""
    _observe(true_time.reference, true_s, now_s)


def _observe(seen: deque[Observation], clock_s: float, now_s: float) -> None:
    while seen and now_s - seen[0].seen_at_s > COMPARED_S:
        seen.popleft()
    seen.append(Observation(clock_s - now_s, now_s))


def true_time_s(true_time: TrueTime, now_s: float, wall_s: float) -> float:
    """Return the true time, in seconds since the start of 1970.

    ``wall_s`` is this VM's wall clock, which is returned unless it differs, and
    while too few others are known to tell which one is wrong.
    """
    offset_s = _latest(true_time.reference, now_s)
    if offset_s is None:
        offset_s = _median_offset(true_time, wall_s - now_s, now_s)
    if offset_s is None:
        return wall_s
    corrected_s = now_s + offset_s
    return corrected_s if abs(wall_s - corrected_s) > TOLERANCE_S else wall_s


def is_time_known(true_time: TrueTime, now_s: float) -> bool:
    """Return whether one wrong wall clock makes no difference."""
    if _latest(true_time.reference, now_s) is not None:
        return True
    return len(_wall_offsets(true_time, now_s)) >= OTHER_CLOCKS_MIN


def _median_offset(
    true_time: TrueTime, local_offset_s: float, now_s: float
) -> float | None:
    """Return the median offset, or ``None`` if too few clocks are known."""
    last = true_time.median
    if 0 <= now_s - last['computed_at_s'] <= MEDIAN_VALID_S:
        return last['offset_s']
    offsets = _wall_offsets(true_time, now_s)
    if len(offsets) < OTHER_CLOCKS_MIN:
        return None
    last['offset_s'] = median([local_offset_s, *offsets])
    last['computed_at_s'] = now_s
    return last['offset_s']


def _wall_offsets(true_time: TrueTime, now_s: float) -> list[float]:
    offsets = [_latest(seen, now_s) for seen in true_time.walls.values()]
    return [offset_s for offset_s in offsets if offset_s is not None]


def _latest(seen: Iterable[Observation], now_s: float) -> float | None:
    """Return the offset that counts now, or ``None`` if all are too old."""
    return max(
        (
            known.offset_s
            for known in seen
            if now_s - known.seen_at_s <= VALID_S
        ),
        default=None,
    )
