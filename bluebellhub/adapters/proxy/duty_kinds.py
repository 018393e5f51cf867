"""The duties of this VM while it is their holder: usage reports and scaling.

The runner of the duties asks the entries here for the next order. That it asks
at all tells that this VM is the holder.
"""

from collections.abc import Sequence
from typing import Final

import logbook
import trio

from bluebellhub.adapters.proxy.started_requests import USAGE_DUTY
from bluebellhub.adapters.proxy.state import DutyWork, Proxy
from bluebellhub.adapters.proxy.usage_reports import report_at_once
from bluebellhub.clock import now_epoch_s, now_s
from bluebellhub.duty import (
    DutyKind,
    Order,
    Outcome,
    ScaleOrder,
    UsageOrder,
    duty_kinds,
)
from bluebellhub.faults import isolate_fault
from bluebellhub.scaling import (
    make_scaling,
    observe_demand,
    order_ended,
    reset_scaling,
    scale_orders,
)
from bluebellhub.settings import DutySettings
from bluebellhub.site.replica_demand import domain_demands, scaling_bounds
from bluebellhub.site.usage_sources import expected_vms, queued_here
from bluebellhub.usage import (
    UsageBounds,
    due_window,
    end_holding,
    is_holding,
    is_sendable,
    local_true_s,
    make_usage,
    queued_requests,
    record_closed,
    record_holding,
)

__all__ = ['make_duty_work', 'observe_demands']

SCALING_DUTY: Final = 'autoscale'
OBSERVATION_INTERVAL_S: Final = 0.25

log = logbook.Logger('bluebellhub.duty_work')


def make_duty_work(settings: DutySettings, start_id: int) -> DutyWork | None:
    """Create the state for the duties; ``None`` if the settings name none."""
    names = {name.strip() for name in settings.duties.split(',')} - {''}
    if not names:
        return None
    bounds = UsageBounds(settings.usage_window_s, settings.usage_late_s)
    sender, receiver = trio.open_memory_channel[None](1)
    return DutyWork(
        frozenset(names),
        make_usage(start_id, bounds),
        make_scaling(),
        sender,
        receiver,
    )


def _hold(proxy: Proxy, current_s: float) -> DutyWork | None:
    """Record that this VM is the holder; a new one begins anew."""
    work: DutyWork | None = proxy.duty_work
    if work is not None and record_holding(work.usage, current_s):
        log.info('this VM collects usage and demand')
        reset_scaling(work.scaling)
        report_at_once(work)
    return work


def _end_if_lost(work: DutyWork | None, outcome: Outcome) -> None:
    """Stop collecting if another VM has held the duties since."""
    if work is not None and outcome == 'refused':
        end_holding(work.usage)


def _true_s(work: DutyWork, current_s: float) -> float:
    return local_true_s(work.usage, current_s, now_epoch_s())


def next_usage_order(
    proxy: Proxy, reports: Sequence[UsageOrder], current_s: float
) -> Order | None:
    """Return the report of the next window that is due, if any."""
    work = _hold(proxy, current_s)
    if work is None:
        return None
    for report in reports:
        record_closed(work.usage, report.window, report.counts)
    after_window = max((report.window for report in reports), default=None)
    due = due_window(
        work.usage,
        expected_vms(proxy.site, current_s),
        after_window,
        _true_s(work, current_s),
        current_s,
    )
    if due is None:
        return None
    record_closed(work.usage, due.window, due.counts)
    report_at_once(work)
    log.info(
        'usage window closed',
        extra={
            'window': due.window,
            'usage_accounts': len(due.counts),
            'usage_requests': sum(due.counts.values()),
        },
    )
    return UsageOrder(due.window, due.counts)


def record_usage_outcome(
    proxy: Proxy, order: Order, outcome: Outcome, current_s: float
) -> None:
    """Count how the call for a usage report ended."""
    proxy.site.scheduler.counters['usage_windows', outcome] += 1
    _end_if_lost(proxy.duty_work, outcome)


def is_usage_current(proxy: Proxy, order: Order, current_s: float) -> bool:
    """Return whether the report of a window is still sent."""
    work = _hold(proxy, current_s)
    if work is None or not isinstance(order, UsageOrder):
        return False
    return is_sendable(
        work.usage.bounds, order.window, _true_s(work, current_s)
    )


def next_scale_order(
    proxy: Proxy, reports: Sequence[UsageOrder], current_s: float
) -> Order | None:
    """Return the order of replicas that is most urgent, if any is due."""
    work = _hold(proxy, current_s)
    if work is None:
        return None
    bounds = scaling_bounds(proxy.site)
    orders = scale_orders(work.scaling, bounds, current_s)
    return orders[0] if orders else None


def record_scale_outcome(
    proxy: Proxy, order: Order, outcome: Outcome, current_s: float
) -> None:
    """Record how the call for an order of replicas ended."""
    work = proxy.duty_work
    if work is None or not isinstance(order, ScaleOrder):
        return
    order_ended(work.scaling, order, current_s, outcome)
    proxy.site.scheduler.counters['scale_orders', outcome] += 1
    log.info('replicas ordered', extra={**order._asdict(), 'outcome': outcome})
    _end_if_lost(work, outcome)


def is_scale_current(proxy: Proxy, order: Order, current_s: float) -> bool:
    """Return whether an order is still the one that would be sent."""
    work = _hold(proxy, current_s)
    if work is None:
        return False
    bounds = scaling_bounds(proxy.site)
    return order in scale_orders(work.scaling, bounds, current_s)


async def observe_demands(proxy: Proxy) -> None:
    """Observe the demand for replicas while this VM is the holder."""
    work = proxy.duty_work
    if work is None or SCALING_DUTY not in work.names:
        return
    while True:
        with isolate_fault('scaling'):
            if is_holding(work.usage, now_s()):
                observe_all(proxy, work, now_s())
        await trio.sleep(OBSERVATION_INTERVAL_S)


def observe_all(proxy: Proxy, work: DutyWork, current_s: float) -> None:
    """Observe the demand of all scaled services in all failure domains."""
    queued = queued_requests(work.usage, current_s)
    queued.update(queued_here(proxy.site))
    known = {
        service: by_domain.keys()
        for service, by_domain in work.scaling.domains.items()
    }
    for demand in domain_demands(proxy.site, queued, known):
        observe_demand(work.scaling, demand, current_s)


duty_kinds.register(USAGE_DUTY)(
    DutyKind(next_usage_order, record_usage_outcome, is_usage_current)
)
duty_kinds.register(SCALING_DUTY)(
    DutyKind(next_scale_order, record_scale_outcome, is_scale_current)
)
