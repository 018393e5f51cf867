"""Numbers and times of usage windows."""

from typing import Final, NamedTuple

__all__ = [
    'UsageBounds',
    'is_sendable',
    'oldest_kept',
    'oldest_sendable',
    'window_at',
    'window_end_s',
]

# A window whose report is overdue by more than this is not sent any more.
OVERDUE_MAX_S: Final = 20.0
# Counts are kept for longer than a window is sent: clocks of VMs differ.
KEPT_S: Final = 15.0


class UsageBounds(NamedTuple):
    """The length of a window, and when its report is due after its end."""

    window_s: float = 5.0
    late_s: float = 10.0


def window_at(bounds: UsageBounds, true_s: float) -> int:
    """Return the window at a time, in seconds since the start of 1970."""
    return int(true_s // bounds.window_s)


def window_end_s(bounds: UsageBounds, window: int) -> float:
    """Return when a window ends.

    >>> window_end_s(UsageBounds(5.0), 353445120)
    1767225605.0
    """
    return (window + 1) * bounds.window_s


def oldest_sendable(bounds: UsageBounds, true_s: float) -> int:
    """Return the oldest window that is still reported."""
    return window_at(bounds, true_s - bounds.late_s - OVERDUE_MAX_S)


def is_sendable(bounds: UsageBounds, window: int, true_s: float) -> bool:
    """Return whether the report of a window is still sent."""
    return window >= oldest_sendable(bounds, true_s)


def oldest_kept(bounds: UsageBounds, true_s: float) -> int:
    """Return the oldest window whose counts are still kept."""
    return oldest_sendable(bounds, true_s - KEPT_S)
