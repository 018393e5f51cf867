"""Amounts summed over a window that slides with time."""

from collections import deque
from typing import Final, NamedTuple, TypedDict

__all__ = ['SlidingWindow', 'add', 'make_sliding_window', 'total']

BUCKET_COUNT: Final = 40


class RunningSum(TypedDict):
    """The sum of the amounts that are still in the window."""

    amount: float


class SlidingWindow(NamedTuple):
    """The root: amounts by bucket of ``bucket_s``, oldest first.

    An amount leaves the window at most one bucket late, never early.
    """

    window_s: float
    bucket_s: float
    buckets: deque[tuple[int, float]]
    sum: RunningSum


def make_sliding_window(window_s: float) -> SlidingWindow:
    """Create an empty window of ``window_s`` seconds."""
    return SlidingWindow(
        window_s, window_s / BUCKET_COUNT, deque(), {'amount': 0.0}
    )


def add(sliding: SlidingWindow, amount: float, now_s: float) -> None:
    """Count an amount at ``now_s``; a negative one takes back."""
    position = int(now_s / sliding.bucket_s)
    buckets = sliding.buckets
    if buckets and buckets[-1][0] >= position:
        last, old = buckets.pop()
        buckets.append((last, old + amount))
    else:
        buckets.append((position, amount))
    sliding.sum['amount'] += amount


def total(sliding: SlidingWindow, now_s: float) -> float:
    """Sum what was added in the window that ends at ``now_s``."""
    oldest = int(now_s / sliding.bucket_s) - BUCKET_COUNT
    buckets = sliding.buckets
    while buckets and buckets[0][0] < oldest:
        sliding.sum['amount'] -= buckets.popleft()[1]
    return sliding.sum['amount']
