"""Aggregate root of usage accounting, on each VM.

Every VM counts what it forwards. The holder of the duties receives the counts
of all VMs as cumulative totals, so lost and duplicate reports do no harm.
"""

from collections import Counter
from collections.abc import Mapping
from math import inf, isfinite
from typing import Any, Final, Literal, NamedTuple, TypedDict

from bluebellhub.usage.reports import UsageReport, WindowCounts
from bluebellhub.usage.true_time import (
    TrueTime,
    is_time_known,
    make_true_time,
    observe_reference,
    observe_wall,
    true_time_s,
)
from bluebellhub.usage.windows import UsageBounds, oldest_kept, window_at

__all__ = [
    'Change',
    'ReceivedUsage',
    'Usage',
    'UsageBounds',
    'UsageFlags',
    'apply_usage_report',
    'count_start',
    'local_true_s',
    'make_usage',
    'make_usage_report',
    'queued_requests',
]

# Corrections of the clock up to this size do not lead back into a window that
# this VM has reported as complete.
STEP_BACK_MAX_S: Final = 1.0
# Windows that the next holder may not find in the duty object any more, after
# the store was restored from an older copy.
CLOSED_SENT: Final = 3
# Queues in a report count for this time.
QUEUED_VALID_S: Final = 3.0

# What became of a report: applied, an older one, or one with absurd times.
Change = Literal['applied', 'stale', 'malformed']


class ReceivedUsage(NamedTuple):
    """The newest report of one start of another VM.

    ``windows`` are the newest totals of all windows that are kept. They are
    complete up to ``covered_s`` in true time.
    """

    report: UsageReport
    received_at_s: float
    covered_s: float
    windows: dict[int, Mapping[str, int]]


class UsageFlags(TypedDict):
    """Scalar state.

    This VM collects reports until ``holding_until_s``, and since
    ``holding_since_s``. It has counted up to ``counted_to_s`` in true time,
    and ``first_window`` is the window in which it began, unless it has not.
    """

    sequence: int
    first_window: int | None
    counted_to_s: float
    holding_since_s: float
    holding_until_s: float


class Usage(NamedTuple):
    """The root: this VM's counts by window, and those of other VMs.

    ``received`` holds the reports by VM and start. ``claims`` holds when each
    of the VMs that collect reports last said so. ``closed`` are the windows
    that a holder has reported; their counts never change.
    """

    start_id: int
    bounds: UsageBounds
    true_time: TrueTime
    counts: dict[int, Counter[str]]
    received: dict[str, dict[int, ReceivedUsage]]
    claims: dict[str, float]
    closed: dict[int, Mapping[str, int]]
    flags: UsageFlags


def make_usage(start_id: int, bounds: UsageBounds) -> Usage:
    """Create the state of a VM that has counted nothing yet."""
    return Usage(
        start_id,
        bounds,
        make_true_time(),
        {},
        {},
        {},
        {},
        {
            'sequence': 0,
            'first_window': None,
            'counted_to_s': -inf,
            'holding_since_s': -inf,
            'holding_until_s': -inf,
        },
    )


def local_true_s(usage: Usage, now_s: float, wall_s: float) -> float:
    """Return the true time that this VM counts by.

    A small correction does not set it back, since a report that covers the
    end of a window may have been sent.
    """
    flags = usage.flags
    true_s = true_time_s(usage.true_time, now_s, wall_s)
    if 0 < flags['counted_to_s'] - true_s <= STEP_BACK_MAX_S:
        true_s = flags['counted_to_s']
    flags['counted_to_s'] = true_s
    window = window_at(usage.bounds, true_s)
    first = flags['first_window']
    flags['first_window'] = window if first is None else min(first, window)
    return true_s


def count_start(usage: Usage, account: str, true_s: float) -> None:
    """Count a request of a client account that begins to run now."""
    window = window_at(usage.bounds, true_s)
    usage.counts.setdefault(window, Counter())[account] += 1


def make_usage_report(
    usage: Usage,
    queued: Mapping[str, int],
    now_s: float,
    wall_s: float,
) -> UsageReport:
    """Return this VM's next report; drops counts that are too old to send."""
    true_s = local_true_s(usage, now_s, wall_s)
    flags = usage.flags
    flags['sequence'] += 1
    oldest = oldest_kept(usage.bounds, true_s)
    _drop_before(usage.counts, oldest)
    _drop_before(usage.closed, oldest)
    is_holder = now_s < flags['holding_until_s']
    first = window_at(usage.bounds, true_s)
    if flags['first_window'] is not None:
        first = flags['first_window']
    return UsageReport(
        usage.start_id,
        flags['sequence'],
        wall_s,
        true_s,
        first,
        _listed(usage.counts),
        dict(queued),
        is_holder,
        is_time_known(usage.true_time, now_s),
        _listed(usage.closed)[-CLOSED_SENT:] if is_holder else [],
    )


def _listed(windows: Mapping[int, Mapping[str, int]]) -> list[WindowCounts]:
    return [
        WindowCounts(window, dict(counts))
        for window, counts in sorted(windows.items())
    ]


def apply_usage_report(
    usage: Usage, vm: str, report: UsageReport, now_s: float, wall_s: float
) -> Change:
    """Apply the report of another VM; returns what became of it.

    Counts of an earlier start of the VM are kept beside those of a later one.
    """
    if not (isfinite(report.wall_s) and isfinite(report.true_s)):
        return 'malformed'
    starts = usage.received.setdefault(vm, {})
    known = starts.get(report.start_id)
    if known is not None and report.sequence <= known.report.sequence:
        return 'stale'
    observe_wall(usage.true_time, vm, report.wall_s, now_s)
    if report.is_holder and report.is_time_known:
        observe_reference(usage.true_time, report.true_s, now_s)
    for closed in report.closed:
        usage.closed.setdefault(closed.window, closed.counts)
    true_s = true_time_s(usage.true_time, now_s, wall_s)
    starts[report.start_id] = _merge(known, report, now_s, true_s)
    _drop_old(usage, starts, report.start_id, true_s)
    return 'applied'


def _merge(
    known: ReceivedUsage | None,
    report: UsageReport,
    now_s: float,
    true_s: float,
) -> ReceivedUsage:
    """Return what is known of a VM's start once a newer report is applied.

    A clock that is ahead does not make a report cover what is yet to come.
    """
    covered_s = min(report.true_s, true_s)
    if known is None:
        return ReceivedUsage(report, now_s, covered_s, dict(report.windows))
    return ReceivedUsage(
        report,
        now_s,
        max(known.covered_s, covered_s),
        {**known.windows, **dict(report.windows)},
    )


def _drop_old(
    usage: Usage,
    starts: dict[int, ReceivedUsage],
    latest_start: int,
    true_s: float,
) -> None:
    """Drop windows that are not sent any more, and starts without others."""
    oldest = oldest_kept(usage.bounds, true_s)
    for start_id, known in list(starts.items()):
        _drop_before(known.windows, oldest)
        if not known.windows and start_id != latest_start:
            starts.pop(start_id)


def _drop_before(windows: dict[int, Any], oldest: int) -> None:
    old = [window for window in windows if window < oldest]
    for window in old:
        windows.pop(window)


def queued_requests(usage: Usage, now_s: float) -> Counter[str]:
    """Return the requests that wait on other VMs, by service."""
    queued: Counter[str] = Counter()
    for starts in usage.received.values():
        latest = max(starts.values(), key=_received_at_s)
        if now_s - latest.received_at_s <= QUEUED_VALID_S:
            queued.update(latest.report.queued)
    return queued


def _received_at_s(received: ReceivedUsage) -> float:
    return received.received_at_s
