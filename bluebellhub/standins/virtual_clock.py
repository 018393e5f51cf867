"""A virtual clock that runs scheduled calls in the order of their times."""

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any, NamedTuple, TypedDict

__all__ = ['VirtualClock', 'call_at', 'make_clock', 'run_until']

TimedCall = Callable[..., None]


class ClockState(TypedDict):
    """The virtual time in seconds."""

    now_s: float


class VirtualClock(NamedTuple):
    """Aggregate root: a heap of pending calls.

    Calls for the same time run in the order in which they were scheduled.
    """

    pending: list[tuple[float, int, TimedCall, tuple[Any, ...]]]
    sequence: count
    state: ClockState


def make_clock() -> VirtualClock:
    """Create a clock at time 0."""
    return VirtualClock([], count(), {'now_s': 0.0})


def call_at(
    clock: VirtualClock, when_s: float, call: TimedCall, *args: Any
) -> None:
    """Schedule ``call(when_s, *args)`` for the time ``when_s``."""
    heapq.heappush(clock.pending, (when_s, next(clock.sequence), call, args))


def run_until(clock: VirtualClock, until_s: float) -> None:
    """Run all calls up to ``until_s`` and set the clock to it."""
    while clock.pending and clock.pending[0][0] <= until_s:
        now_s, _, call, args = heapq.heappop(clock.pending)
        clock.state['now_s'] = now_s
        call(now_s, *args)
    clock.state['now_s'] = until_s
