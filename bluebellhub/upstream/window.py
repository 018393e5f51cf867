"""Window: the number of requests that an upstream sustains at once.

The window of a cold upstream starts at ``cold_limit``.  It grows with first
tokens that arrive on time and shrinks with late ones.  A restart resets it.
"""

from typing import Final, Literal, NamedTuple

__all__ = [
    'Window',
    'apply_limit',
    'make_window',
    'observe_late',
    'observe_many',
    'observe_on_time',
    'restart',
]

SHRINK_FACTOR: Final = 0.9
WARM_MIN_SHARE: Final = 0.25
GROWTH_ROUNDS: Final = 2.0


class Window(NamedTuple):
    """Aggregate root: ``limit`` is from ``cold_limit`` to ``full`` requests."""

    cold_limit: int
    full: int
    limit: float
    phase: Literal['cold', 'warm']
    shrunk_at_s: float = 0.0

    @property
    def slots(self) -> int:
        """Number of requests that may run at once, at least one."""
        return max(1, int(self.limit))


def make_window(cold_limit: int, full: int, *, warm: bool = False) -> Window:
    """Create the window of an upstream that just started, or a warm one."""
    if warm:
        return Window(cold_limit, full, float(full), 'warm')
    return Window(cold_limit, full, float(min(cold_limit, full)), 'cold')


def observe_on_time(window: Window) -> Window:
    """Grow the window after a first token that arrived on time.

    A cold window doubles within two rounds.  A round is as many requests as
    the window allows at once.
    """
    if window.phase == 'cold':
        step = 1 / GROWTH_ROUNDS
    else:
        step = 1 / window.limit
    limit = min(float(window.full), window.limit + step)
    phase = 'warm' if limit >= window.full else window.phase
    return window._replace(limit=limit, phase=phase)


def observe_late(window: Window, now_s: float, interval_s: float) -> Window:
    """Shrink the window, at most once in ``interval_s`` seconds."""
    if now_s < window.shrunk_at_s + interval_s:
        return window
    lowest = max(window.cold_limit, window.full * WARM_MIN_SHARE)
    if window.phase == 'cold':
        lowest = window.cold_limit
    limit = min(window.limit, max(lowest, window.limit * SHRINK_FACTOR))
    return window._replace(limit=limit, shrunk_at_s=now_s)


def observe_many(
    window: Window, on_time: int, late: int, now_s: float, interval_s: float
) -> Window:
    """Apply the numbers of on-time and late first tokens of several VMs."""
    for _ in range(min(on_time, window.full)):
        window = observe_on_time(window)
    if late > on_time:
        window = observe_late(window, now_s, interval_s)
    return window


def apply_limit(window: Window, limit: float) -> Window:
    """Apply the limit that the owner of the window has sent."""
    bounded = min(max(limit, 1.0), float(window.full))
    phase: Literal['cold', 'warm'] = window.phase
    if bounded > window.cold_limit:
        phase = 'warm' if bounded >= window.full else phase
    return window._replace(limit=bounded, phase=phase)


def restart(window: Window) -> Window:
    """Reset the window to cold."""
    return make_window(window.cold_limit, window.full)
