"""Which window the holder of the duties reports next, and its counts."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from typing import Final

from bluebellhub.usage.reports import WindowCounts
from bluebellhub.usage.usage import ReceivedUsage, Usage
from bluebellhub.usage.windows import oldest_sendable, window_at, window_end_s

__all__ = ['due_window', 'record_closed']

# Reports of all VMs are awaited for this time after the end of a window.
SETTLED_S: Final = 1.0
LATEST_S: Final = 5.0
# A new holder awaits the VMs' reports for this time, whatever is due: they send
# theirs at once, and it may not know the names of all live VMs.
COLLECTING_S: Final = 1.0
# A VM that has reported within this time and is silent now may only be frozen
# or cut off for a moment, so its counts are awaited too.
AWAITED_S: Final = 10.0


def due_window(
    usage: Usage,
    live_vms: Iterable[str],
    after_window: int | None,
    true_s: float,
    now_s: float,
) -> WindowCounts | None:
    """Return the next window and its counts, or ``None`` if none is due.

    ``live_vms`` are the other VMs from which a report is expected, and
    ``after_window`` is the last window that was reported, if any.
    """
    window = _next_window(usage, after_window, true_s)
    after_end_s = true_s - window_end_s(usage.bounds, window)
    collected_s = now_s - usage.flags['holding_since_s']
    if after_end_s < SETTLED_S or collected_s < COLLECTING_S:
        return None
    if after_end_s < LATEST_S and not _is_covered(
        usage, live_vms, window, now_s
    ):
        return None
    closed = usage.closed.get(window)
    if closed is not None:
        return WindowCounts(window, dict(closed))
    counts: Counter[str] = Counter()
    for part in _parts(usage, window):
        counts.update(part)
    return WindowCounts(window, dict(counts))


def record_closed(usage: Usage, window: int, counts: Mapping[str, int]) -> None:
    """Record the report of a window, whose counts never change again.

    After the store was restored, the duty object may lack the report, and the
    window is reported once more.
    """
    usage.closed[window] = counts


def _next_window(usage: Usage, after_window: int | None, true_s: float) -> int:
    """Return the window that follows the last one reported.

    The first one of all is that in which the first VM started.
    """
    oldest = oldest_sendable(usage.bounds, true_s)
    if after_window is not None:
        return max(oldest, after_window + 1)
    first = [received.report.first_window for received in _all_received(usage)]
    local = usage.flags['first_window']
    first.append(window_at(usage.bounds, true_s) if local is None else local)
    return max(oldest, min(first))


def _is_covered(
    usage: Usage, live_vms: Iterable[str], window: int, now_s: float
) -> bool:
    """Return whether each VM has reported since the end of the window."""
    end_s = window_end_s(usage.bounds, window)
    awaited = {
        vm
        for vm, starts in usage.received.items()
        if any(
            now_s - known.received_at_s <= AWAITED_S
            for known in starts.values()
        )
    }
    return all(
        any(
            known.covered_s >= end_s
            for known in usage.received.get(vm, {}).values()
        )
        for vm in awaited | set(live_vms)
    )


def _all_received(usage: Usage) -> Iterator[ReceivedUsage]:
    for starts in usage.received.values():
        yield from starts.values()


def _parts(usage: Usage, window: int) -> Iterator[Mapping[str, int]]:
    """Yield the counts of this VM and of all starts of the others."""
    yield usage.counts.get(window, {})
    for received in _all_received(usage):
        yield received.windows.get(window, {})
