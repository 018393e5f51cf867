"""Gives the orders of the duties to the cloud API while holding the lease."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple

import logbook

from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.clock import now_s
from bluebellhub.duty import (
    Order,
    Outcome,
    ScaleOrder,
    UsageOrder,
    add_report,
    begin_call,
    current_token,
    duty_kinds,
    finish_skipping,
    is_call_due,
    known_reports,
    next_unsent,
    record_call,
    record_sent,
    skip_window,
)
from bluebellhub.duty.applying import apply_refused
from bluebellhub.errors import (
    CloudBusyError,
    CloudError,
    CloudUnavailableError,
    StaleTokenError,
    WithheldCallError,
)
from bluebellhub.platform.cloud import (
    Caller,
    Cloud,
    order_count,
    report_usage,
)
from bluebellhub.registry import Registry, make_registry

__all__ = ['OrderDesk', 'give_next_order', 'make_order_desk']

USAGE_DUTY = 'usage_report'

OrderCall = Callable[[Cloud, Caller, Any], Awaitable[None]]

order_calls: Registry[OrderCall] = make_registry('call of an order')
order_calls.register(UsageOrder.__name__)(report_usage)
order_calls.register(ScaleOrder.__name__)(order_count)

OUTCOMES: dict[type[CloudError], Outcome] = {
    CloudBusyError: 'busy',
    CloudUnavailableError: 'unanswered',
    StaleTokenError: 'refused',
    WithheldCallError: 'unsent',
}

log = logbook.Logger('bluebellhub.duties')


class OrderDesk(NamedTuple):
    """The root: the API, the duties in turn, and the report to be written.

    ``names`` are the duties, the next one to be asked for an order first.
    ``pending`` holds by duty the usage report that is not accepted yet.
    """

    proxy: Proxy
    cloud: Cloud
    names: list[str]
    pending: dict[str, UsageOrder]


def make_order_desk(
    proxy: Proxy, cloud: Cloud, names: Sequence[str]
) -> OrderDesk:
    """Create a desk without orders."""
    return OrderDesk(proxy, cloud, list(names), {})


async def give_next_order(desk: OrderDesk) -> None:
    """Make the next call, if one is due, and apply its outcome."""
    duty = desk.proxy.site.duty
    _end_lost_reports(desk)
    if not is_call_due(duty, now_s()):
        return
    for name in tuple(desk.names):
        # The duties take turns, so that none waits for another's calls.
        desk.names.append(desk.names.pop(0))
        order = _next_order(desk, name)
        if order is not None:
            await _give_order(desk, name, order)
            return


def _next_order(desk: OrderDesk, name: str) -> Order | None:
    """Return the order of a duty that may be sent now."""
    duty = desk.proxy.site.duty
    kind = duty_kinds.find(name)
    if name == USAGE_DUTY:
        unsent = next_unsent(
            duty, lambda order: kind.is_current(desk.proxy, order, now_s())
        )
        if unsent is not None:
            return unsent
    if name in desk.pending:
        return None
    order = kind.prepare(desk.proxy, known_reports(duty), now_s())
    if isinstance(order, UsageOrder):
        _store_report(desk, name, order)
        return None
    if name == USAGE_DUTY:
        finish_skipping(duty)
    return order


def _store_report(desk: OrderDesk, name: str, order: UsageOrder) -> None:
    """Have a report written to the duty object before it is sent."""
    duty = desk.proxy.site.duty
    is_skipped = skip_window(duty, order)
    if not is_skipped and add_report(duty, order):
        desk.pending[name] = order
        return
    log.warning(
        'usage window not reported, an earlier holder may have'
        if is_skipped
        else 'usage report out of order',
        extra={'window': order.window},
    )
    duty_kinds.find(name).ended(desk.proxy, order, 'unsent', now_s())


def _end_lost_reports(desk: OrderDesk) -> None:
    """End the reports that the lease's end or their age has dropped."""
    reports = desk.proxy.site.duty.reports
    for name, order in tuple(desk.pending.items()):
        if order not in (reports['unsaved'], *reports['unsent']):
            desk.pending.pop(name)
            duty_kinds.find(name).ended(desk.proxy, order, 'unsent', now_s())


async def _give_order(desk: OrderDesk, name: str, order: Order) -> None:
    """Send an order with the token of the lease."""
    duty = desk.proxy.site.duty
    token = current_token(duty, now_s())
    if token is None:
        duty_kinds.find(name).ended(desk.proxy, order, 'unsent', now_s())
        return
    begin_call(duty, now_s())
    outcome: Outcome = 'unanswered'
    try:
        outcome = await _call(desk, token, order)
    finally:
        record_call(duty, outcome, now_s())
    if outcome == 'refused':
        apply_refused(duty, token, now_s())
    if outcome == 'accepted' and isinstance(order, UsageOrder):
        record_sent(duty, order)
        if desk.pending.get(name) == order:
            desk.pending.pop(name)
    desk.proxy.node.scheduler.counters['duty_calls', outcome] += 1
    log.info(
        'order of a duty given',
        extra={'outcome': outcome, 'token': token, 'order': str(order)},
    )
    duty_kinds.find(name).ended(desk.proxy, order, outcome, now_s())


async def _call(desk: OrderDesk, token: int, order: Order) -> Outcome:
    duty = desk.proxy.site.duty
    caller = Caller(
        duty.vm, token, lambda: current_token(duty, now_s()) == token
    )
    try:
        await order_calls.find(type(order).__name__)(desk.cloud, caller, order)
    except CloudError as error:
        log.debug('call of the cloud API failed: {}', error)
        return OUTCOMES[type(error)]
    return 'accepted'
