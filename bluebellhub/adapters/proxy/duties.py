"""Runs the duties that one VM at a time holds: lease, announcements, orders.

The lease task calls the store, and the order task calls the cloud API.  They
share the state in `bluebellhub.duty`, which decides on each call.
"""

from typing import Final, NamedTuple, TypedDict

import logbook
import trio

from bluebellhub.adapters.peer_link import send_all
from bluebellhub.adapters.proxy.duty_orders import (
    OrderDesk,
    give_next_order,
    make_order_desk,
)
from bluebellhub.adapters.proxy.duty_store import run_step
from bluebellhub.adapters.proxy.gossip import gossip_handlers
from bluebellhub.adapters.proxy.object_handlers import Watcher
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.clock import now_s
from bluebellhub.duty import (
    DutyReport,
    apply_era,
    apply_report,
    duty_kinds,
    leave,
    make_duty_report,
    next_step,
    record_announced,
)
from bluebellhub.faults import isolate_fault
from bluebellhub.platform.cloud import close_cloud, make_cloud
from bluebellhub.settings import Settings
from bluebellhub.site.liveness import first_live_vms

__all__ = ['run_duties']

# Short against a call's time limit; most ticks only compare times.
TICK_S: Final = 0.05
ANNOUNCEMENT_INTERVAL_S: Final = 1.0

log = logbook.Logger('bluebellhub.duties')


class Announced(TypedDict):
    """What was announced and logged last.

    ``lease`` was announced at ``sent_at_s``, and the acquisition or end of the
    lease with ``logged_token`` was logged.
    """

    sent_at_s: float
    lease: tuple[int, int, bool] | None
    logged_token: int


class DutyRunner(NamedTuple):
    """The root: what the tasks of the duties use."""

    watcher: Watcher
    desk: OrderDesk
    announced: Announced


async def run_duties(watcher: Watcher, settings: Settings) -> None:
    """Take part in the duties that the settings name, until cancelled."""
    names = [name.strip() for name in settings.site.duty.duties.split(',')]
    unknown = [name for name in names if name not in duty_kinds.entries]
    if unknown:
        log.warning('unknown duties ignored', extra={'names': unknown})
    cloud = make_cloud(settings.site.duty.cloud)
    known = [name for name in names if name in duty_kinds.entries]
    runner = DutyRunner(
        watcher,
        make_order_desk(watcher.proxy, cloud, known),
        {'sent_at_s': 0.0, 'lease': None, 'logged_token': 0},
    )
    try:
        await _run_tasks(runner)
    finally:
        with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
            await close_cloud(cloud)


async def _run_tasks(runner: DutyRunner) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_keep_lease, runner)
        nursery.start_soon(_announce_lease, runner)
        nursery.start_soon(_give_orders, runner)


async def _keep_lease(runner: DutyRunner) -> None:
    """Acquire, renew and release the lease as decided."""
    while True:
        with isolate_fault('duty_lease'):
            _log_change(runner)
            await _take_next_step(runner.watcher)
            _log_change(runner)
        await trio.sleep(TICK_S)


async def _take_next_step(watcher: Watcher) -> None:
    site = watcher.proxy.site
    era = watcher.store.era['number']
    current_s = now_s()
    if site.flags['leaving']:
        leave(site.duty)
    if era is not None:
        apply_era(site.duty, era, current_s)
    step = next_step(site.duty, first_live_vms(site, current_s), current_s)
    if step is not None:
        await run_step(site.duty, watcher.store, step)


def _log_change(runner: DutyRunner) -> None:
    """Count and log the end of a lease and the beginning of another."""
    proxy = runner.watcher.proxy
    before, now = (
        runner.announced['logged_token'],
        proxy.site.duty.lease['token'],
    )
    if before == now:
        return
    runner.announced['logged_token'] = now
    counters = proxy.node.scheduler.counters
    if before:
        counters['duty_changes', 'ended'] += 1
        log.info('lease of the duties ended', extra={'token': before})
    if now:
        counters['duty_changes', 'acquired'] += 1
        log.info('lease of the duties acquired', extra={'token': now})


async def _announce_lease(runner: DutyRunner) -> None:
    """Send the lease to the other VMs when it changes and every second."""
    while True:
        with isolate_fault('duty_announcement'):
            _announce_if_due(runner)
        await trio.sleep(TICK_S)


def _announce_if_due(runner: DutyRunner) -> None:
    site = runner.watcher.proxy.site
    current_s = now_s()
    report = make_duty_report(site.duty, current_s)
    if report is None:
        return
    lease = (report.token, report.revision, report.is_released)
    announced = runner.announced
    age_s = current_s - announced['sent_at_s']
    if lease == announced['lease'] and age_s < ANNOUNCEMENT_INTERVAL_S:
        return
    announced.update({'sent_at_s': current_s, 'lease': lease})
    candidates = set(first_live_vms(site, current_s)) - {site.vm}
    others = site.vms.keys() - candidates - {site.vm}
    send_all(runner.watcher.link, sorted(candidates), report)
    # Only the VMs that may take over need the usage reports.
    without = report._replace(reports=[])
    send_all(runner.watcher.link, sorted(others), without)
    record_announced(site.duty)


async def _give_orders(runner: DutyRunner) -> None:
    """Give the orders of all duties while this VM holds the lease."""
    while True:
        with isolate_fault('duty_orders'):
            await give_next_order(runner.desk)
        await trio.sleep(TICK_S)


@gossip_handlers.register(DutyReport.__name__)
def _apply_duty_report(proxy: Proxy, sender: str, report: DutyReport) -> None:
    """Apply a holder's report; count and log one that is of no use."""
    use = 'unknown'
    if sender in proxy.site.vms:
        use = apply_report(proxy.site.duty, sender, report, now_s())
    proxy.node.scheduler.counters['duty_reports', use] += 1
    if use != 'applied':
        log.info('duty report dropped', extra={'sender': sender, 'use': use})
