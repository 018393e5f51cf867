"""When a caller whose request was refused should send it again."""

from random import Random
from typing import Final

__all__ = ['bounded_retry_s']

RETRY_MIN_S: Final = 0.2
# A retry later than this has too little time left.
REMAINING_SHARE: Final = 1 / 3
# Callers that were refused together must not come back together.
JITTER_SHARE: Final = 0.25


def bounded_retry_s(wait_s: float, remaining_s: float, random: Random) -> float:
    """Return the seconds after which a caller should retry.

    Capacity is expected in ``wait_s``; the caller gives up after
    ``remaining_s``.  Up to a quarter of the time is random.
    """
    longest_s = max(0.0, remaining_s) * REMAINING_SHARE
    least_s = RETRY_MIN_S / (1 - JITTER_SHARE)
    bounded_s = min(max(wait_s, least_s), longest_s)
    return bounded_s * (1 - JITTER_SHARE * random.random())
