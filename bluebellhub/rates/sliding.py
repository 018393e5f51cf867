"""Amounts summed over a sliding time window."""

from collections import deque
from typing import Final, NamedTuple, TypedDict

__all__ = [
    'SlidingWindow',
    'add',
    'make_sliding_window',
    'rate_per_s',
    'total',
]

BUCKET_COUNT: Final = 40


class RunningSum(TypedDict):
    """The sum of the amounts in the window."""

    amount: float


class SlidingWindow(NamedTuple):
    """The root: amounts by bucket of ``bucket_s`` seconds, oldest first.

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


def add(window: SlidingWindow, amount: float, now_s: float) -> None:
    """Add an amount at ``now_s``; a negative one is subtracted."""
    position = int(now_s / window.bucket_s)
    buckets = window.buckets
    if buckets and buckets[-1][0] >= position:
        last, previous = buckets.pop()
        buckets.append((last, previous + amount))
    else:
        buckets.append((position, amount))
    window.sum['amount'] += amount


def total(window: SlidingWindow, now_s: float) -> float:
    """Return the sum of the amounts in the window that ends at ``now_s``."""
    oldest = int(now_s / window.bucket_s) - BUCKET_COUNT
    buckets = window.buckets
    while buckets and buckets[0][0] < oldest:
        window.sum['amount'] -= buckets.popleft()[1]
    return window.sum['amount']


def rate_per_s(window: SlidingWindow, now_s: float) -> float:
    """Return the mean rate since the oldest amount in the window."""
    amount = total(window, now_s)
    if not window.buckets:
        return 0.0
    since_s = now_s - window.buckets[0][0] * window.bucket_s
    return amount / max(since_s, window.bucket_s)
