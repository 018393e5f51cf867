"""Usage reports in the duty object, which a next holder sends unchanged."""

from collections.abc import Callable, Iterable
from typing import Final

from bluebellhub.duty.duty import Duty
from bluebellhub.duty.orders import UsageOrder

__all__ = [
    'REPORTS_MAX',
    'add_report',
    'apply_stored_reports',
    'finish_skipping',
    'record_reports',
    'known_reports',
    'merged_reports',
    'next_unsent',
    'record_announced',
    'record_sent',
    'reports_to_write',
    'resend_stored',
    'skip_window',
]

# At windows of 5 s these cover a holder's lease and the next one's takeover.
REPORTS_MAX: Final = 3


def add_report(duty: Duty, order: UsageOrder) -> bool:
    """Have a new report written to the object, after which it is sent.

    Returns whether it is added: its window must be later than those of the
    object, since a window is only ever sent with one set of counts.
    """
    reports = duty.reports
    if reports['unsaved'] is not None:
        return False
    if any(known.window >= order.window for known in reports['stored']):
        return False
    reports['unsaved'] = order
    return True


def known_reports(duty: Duty) -> tuple[UsageOrder, ...]:
    """Return the reports after which the next window is to be reported."""
    stored, skipped = duty.reports['stored'], duty.reports['skipped']
    return stored if skipped is None else (*stored, UsageOrder(skipped, {}))


def skip_window(duty: Duty, order: UsageOrder) -> bool:
    """Skip a due window that an earlier holder may have reported.

    Returns whether it is skipped.  After a restore of the store, a VM that did
    not hear the holder until then would send other counts for it.
    """
    if duty.reports['may_be_lost']:
        duty.reports['skipped'] = order.window
    return duty.reports['may_be_lost']


def finish_skipping(duty: Duty) -> None:
    """Report the windows that become due from now on."""
    duty.reports['may_be_lost'] = False


def reports_to_write(duty: Duty) -> tuple[UsageOrder, ...]:
    """Return the reports for the holder's next write."""
    unsaved = duty.reports['unsaved']
    added = () if unsaved is None else (unsaved,)
    return _latest((*duty.reports['stored'], *added))


def apply_stored_reports(duty: Duty, stored: tuple[UsageOrder, ...]) -> None:
    """Apply the reports of an object that this VM has written."""
    reports = duty.reports
    reports['stored'] = stored
    unsaved = reports['unsaved']
    if unsaved is not None and unsaved in stored:
        reports['unsent'] = (*reports['unsent'], unsaved)
        reports['unsaved'] = None


def resend_stored(duty: Duty) -> None:
    """Send the reports of the object that this VM did not get accepted."""
    accepted = duty.reports['accepted']
    duty.reports['unsent'] = tuple(
        report
        for report in duty.reports['stored']
        if report.window not in accepted
    )


def merged_reports(
    duty: Duty, stored: Iterable[UsageOrder]
) -> tuple[UsageOrder, ...]:
    """Return the reports of the object and those that only VMs still know.

    A store that was restored from an older copy may have lost some that were
    sent.  The object's come first where both have a window.
    """
    received = duty.reports['received']
    by_window = {report.window: report for report in duty.reports['stored']}
    by_window.update(received)
    by_window.update({report.window: report for report in stored})
    return _latest(by_window.values())


def record_reports(duty: Duty, reports: Iterable[UsageOrder]) -> None:
    """Keep the reports that a holder announced."""
    received = duty.reports['received']
    received.update({report.window: report for report in reports})
    for window in sorted(received)[:-REPORTS_MAX]:
        received.pop(window)


def next_unsent(
    duty: Duty, is_current: Callable[[UsageOrder], bool]
) -> UsageOrder | None:
    """Return the first report to be sent; drop those of no more use.

    It is sent only once it is announced, so that other VMs know it also if a
    restore of the store loses it.
    """
    unsent = tuple(
        report for report in duty.reports['unsent'] if is_current(report)
    )
    duty.reports['unsent'] = unsent
    announced = duty.reports['announced']
    ready = (report for report in unsent if report.window in announced)
    return next(ready, None)


def record_announced(duty: Duty) -> None:
    """Record that the reports of the object were announced."""
    windows = (report.window for report in duty.reports['stored'])
    duty.reports['announced'] = frozenset(windows)


def record_sent(duty: Duty, order: UsageOrder) -> None:
    """Record that the API accepted a report."""
    reports = duty.reports
    reports['unsent'] = tuple(
        report for report in reports['unsent'] if report != order
    )
    stored = {report.window for report in reports['stored']}
    reports['accepted'] = (reports['accepted'] | {order.window}) & (
        stored | {order.window}
    )


def _latest(reports: Iterable[UsageOrder]) -> tuple[UsageOrder, ...]:
    ordered = sorted(reports, key=lambda report: report.window)
    return tuple(ordered[-REPORTS_MAX:])
