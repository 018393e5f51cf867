"""A clock in virtual time: calls run in the order of their times."""

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any, NamedTuple, TypedDict

__all__ = ['VirtualClock', 'call_at', 'make_clock', 'run_until']

Call = Callable[..., None]


class ClockState(TypedDict):
    """The virtual time in seconds."""

    now_s: float


class VirtualClock(NamedTuple):
    """The root: pending calls by time, then by the order of arrival."""

    heap: list[tuple[float, int, Call, tuple[Any, ...]]]
    serial: count
    state: ClockState


def make_clock() -> VirtualClock:
    """Create a clock at time 0."""
    return VirtualClock([], count(), {'now_s': 0.0})


def call_at(clock: VirtualClock, when_s: float, call: Call, *args: Any) -> None:
    """Run ``call(when_s, *args)`` when the clock gets there."""
    heapq.heappush(clock.heap, (when_s, next(clock.serial), call, args))


def run_until(clock: VirtualClock, until_s: float) -> None:
    """Run all calls up to ``until_s`` and stop there."""
    while clock.heap and clock.heap[0][0] <= until_s:
        now_s, _, call, args = heapq.heappop(clock.heap)
        clock.state['now_s'] = now_s
        call(now_s, *args)
    clock.state['now_s'] = until_s
