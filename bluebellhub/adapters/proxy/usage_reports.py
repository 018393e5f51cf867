"""Sends and receives the reports of what VMs have counted."""

from typing import Final

import logbook
import trio

from bluebellhub.adapters.peer_link import PeerLink, send_all
from bluebellhub.adapters.proxy.state import DutyWork, Proxy
from bluebellhub.clock import now_epoch_s, now_s
from bluebellhub.faults import isolate_fault
from bluebellhub.site.usage_sources import queued_here
from bluebellhub.usage import (
    UsageReport,
    apply_usage_report,
    collectors,
    is_holding,
    make_usage_report,
    record_claim,
)

__all__ = ['receive_usage_report', 'report_at_once', 'send_usage_reports']

INTERVAL_S: Final = 1.0
# A VM that stops reports more often: what it counts after its last report is
# lost.
LEAVING_INTERVAL_S: Final = 0.2

log = logbook.Logger('bluebellhub.usage')


async def send_usage_reports(proxy: Proxy, link: PeerLink) -> None:
    """Report to the holder of the duties until cancelled.

    A report is sent every second, and at once when the holder changes. The
    holder sends its own to all VMs: they learn the true time from it, and its
    next successor has its counts.
    """
    work = proxy.duty_work
    if work is None:
        return
    while True:
        with isolate_fault('usage_report'):
            send_all(link, _receivers(proxy, work), _make_report(proxy, work))
        is_leaving = proxy.site.flags['leaving']
        with trio.move_on_after(
            LEAVING_INTERVAL_S if is_leaving else INTERVAL_S
        ):
            await work.reports_due.receive()


def _receivers(proxy: Proxy, work: DutyWork) -> list[str]:
    """Return the VMs that the next report goes to."""
    if is_holding(work.usage, now_s()):
        return [name for name in proxy.site.vms if name != proxy.site.vm]
    return collectors(work.usage, now_s())


def _make_report(proxy: Proxy, work: DutyWork) -> UsageReport:
    queued = queued_here(proxy.site)
    return make_usage_report(work.usage, queued, now_s(), now_epoch_s())


def receive_usage_report(
    proxy: Proxy, sender: str, report: UsageReport
) -> None:
    """Apply a VM's report; one that is not usable is dropped and counted."""
    work = proxy.duty_work
    if work is None:
        return
    if sender == proxy.site.vm or sender not in proxy.site.vms:
        _count(proxy, sender, 'unknown_sender')
        return
    current_s = now_s()
    change = apply_usage_report(
        work.usage, sender, report, current_s, now_epoch_s()
    )
    _count(proxy, sender, change)
    if change == 'applied' and report.is_holder:
        if record_claim(work.usage, sender, current_s):
            log.info('usage goes to a new holder', extra={'holder': sender})
            report_at_once(work)


def report_at_once(work: DutyWork) -> None:
    """Have the next report sent at once."""
    try:
        work.report_requests.send_nowait(None)
    except trio.WouldBlock:
        log.debug('a report is about to be sent already')


def _count(proxy: Proxy, sender: str, change: str) -> None:
    proxy.site.scheduler.counters['usage_reports', change] += 1
    if change != 'applied':
        log.info(
            'usage report dropped', extra={'sender': sender, 'cause': change}
        )
