"""How many slots of an upstream may be in use so that it rejects little.

Requests that arrive at random sometimes find all slots in use, also if there
are enough slots on average.  Erlang's loss formula tells how often.
"""

from functools import lru_cache
from typing import Final

__all__ = ['fill_ratio']

RATIO_MAX: Final = 0.8
RATIO_MIN: Final = 0.1
RATIO_STEP: Final = 0.05
# Part of a limit that the mean of the rejections may reach: they vary, and VMs
# know the load of an upstream only as it was some time ago.
MEAN_RATIO: Final = 0.125
# Hold times are distinguished by so many significant digits.
HOLD_DIGITS: Final = 1
# With more slots, hardly a request finds all of them in use.
SLOTS_MAX: Final = 1000


def fill_ratio(slots: int, hold_s: float, rejections_per_s: float) -> float:
    """Return the part of the slots that may be in use on average.

    Requests hold a slot for ``hold_s`` seconds.

    >>> fill_ratio(8, 1.0, 8.0), fill_ratio(8, 1.0, 2.0)
    (0.8, 0.55)
    """
    if slots > SLOTS_MAX:
        return RATIO_MAX
    return _fill_ratio(
        slots, float(f'{hold_s:.{HOLD_DIGITS}e}'), rejections_per_s
    )


@lru_cache(maxsize=1024)
def _fill_ratio(slots: int, hold_s: float, rejections_per_s: float) -> float:
    ratio = RATIO_MAX
    while ratio > RATIO_MIN:
        lost_per_s = _loss_ratio(slots, ratio * slots) * ratio * slots / hold_s
        if lost_per_s <= MEAN_RATIO * rejections_per_s:
            break
        ratio -= RATIO_STEP
    return max(RATIO_MIN, round(ratio, 2))


def _loss_ratio(slots: int, load: float) -> float:
    """Return the ratio of requests that find all slots in use.

    ``load`` is the mean number of slots in use if none were rejected.
    """
    ratio = 1.0
    for used in range(1, slots + 1):
        ratio = load * ratio / (used + load * ratio)
    return ratio
