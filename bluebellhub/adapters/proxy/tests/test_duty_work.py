"""Usage and demand that VMs send to the holder of the duties over loopback."""

from collections import Counter
from functools import partial

import pytest
import trio
import zmq

from bluebellhub.adapters.peer_link import (
    close_link,
    make_peer_link,
    set_peer_address,
)
from bluebellhub.adapters.proxy.duty_kinds import make_duty_work, observe_all
from bluebellhub.adapters.proxy.gossip import gossip_handlers, receive_gossip
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.adapters.proxy.usage_reports import send_usage_reports
from bluebellhub.clock import now_epoch_s, now_s
from bluebellhub.duty import ScaleOrder, UsageOrder, duty_kinds
from bluebellhub.route import Service
from bluebellhub.scaling import ScalingBounds
from bluebellhub.settings import DutySettings
from bluebellhub.site.tests.small_site import (
    make_registration,
    make_small_site,
)
from bluebellhub.usage import UsageReport, count_start, is_holding

VMS = ('hub-1', 'hub-2', 'hub-3')
DUTIES = DutySettings(duties='usage_report, autoscale', usage_window_s=1.0)
LIMIT_S = 10.0
REPORT = UsageReport(5, 1, 1e9, 1e9, 3, [], {'s': 4}, True, True)
USAGE = duty_kinds.find('usage_report')
SCALING = duty_kinds.find('autoscale')


def make_proxy(name='hub-1', settings=DUTIES):
    """Return a VM's state for its duties, without a runtime."""
    services = [Service('s', scaling=ScalingBounds(3, 6, 8.0))]
    site = make_small_site(make_registration(), vms=VMS, services=services)
    work = make_duty_work(settings, VMS.index(name))
    return Proxy(None, site._replace(vm=name), {}, {}, {}, work)


def link_all(names):
    links = {
        name: make_peer_link(name, '127.0.0.1:*', Counter()) for name in names
    }
    for link in links.values():
        for name, other in links.items():
            endpoint = other.inbox.getsockopt(zmq.LAST_ENDPOINT).decode()
            address = endpoint.removeprefix('tcp://').rstrip('\0')
            set_peer_address(link, name, address)
    return links


async def wait_for(find):
    """Call a function until it returns something."""
    while (found := find()) is None:
        await trio.sleep(0.02)
    return found


async def test_holder_reports_what_all_vms_counted():
    """The others learn of the holder, and the next one does at once."""
    proxies = {name: make_proxy(name) for name in VMS}
    links = link_all(VMS)
    window = int(now_epoch_s()) + 1
    for proxy in proxies.values():
        for account in ('yard', 'hire', 'yard'):
            count_start(proxy.duty_work.usage, account, window + 0.5)
    first, second = proxies['hub-1'], proxies['hub-2']
    before = [UsageOrder(window - 1, {})]
    with trio.fail_after(LIMIT_S):
        async with trio.open_nursery() as nursery:
            for name, proxy in proxies.items():
                nursery.start_soon(receive_gossip, proxy, links[name])
                nursery.start_soon(send_usage_reports, proxy, links[name])
            ask = partial(USAGE.prepare, first, before)
            order = await wait_for(lambda: ask(now_s()))
            assert order == UsageOrder(window, {'yard': 6, 'hire': 3})
            USAGE.ended(first, order, 'accepted', now_s())
            following = USAGE.prepare(first, [*before, order], now_s())
            assert following is None or following.window > window
            ask = partial(USAGE.prepare, second, before)
            assert await wait_for(lambda: ask(now_s())) == order
            nursery.cancel_scope.cancel()
    for link in links.values():
        close_link(link)
    counters = first.site.scheduler.counters
    assert counters['usage_windows', 'accepted'] == 1
    assert counters['usage_reports', 'applied'] >= 2


@pytest.mark.parametrize(
    ('age_s', 'is_current'), [(0.0, True), (30.0, True), (33.0, False)]
)
def test_report_of_a_former_holder_is_sent_while_it_is_of_use(
    age_s, is_current
):
    order = UsageOrder(int(now_epoch_s() - age_s), {'yard': 1})
    assert USAGE.is_current(make_proxy(), order, now_s()) is is_current


@pytest.mark.parametrize(
    ('sender', 'report', 'change'),
    [
        ('hub-2', REPORT, 'applied'),
        ('hub-2', REPORT._replace(wall_s=float('nan')), 'malformed'),
        ('hub-2', REPORT._replace(true_s=float('inf')), 'malformed'),
        ('hub-9', REPORT, 'unknown_sender'),
        ('hub-1', REPORT, 'unknown_sender'),
    ],
)
def test_reports_that_are_dropped_are_counted(sender, report, change):
    proxy = make_proxy()
    handle = gossip_handlers.find('UsageReport')
    handle(proxy, sender, report)
    counters = proxy.site.scheduler.counters
    assert counters['usage_reports', change] == 1
    handle(proxy, sender, report)
    again = 'stale' if change == 'applied' else change
    assert counters['usage_reports', again] == 1 + (again == change)
    idle = make_proxy(settings=DutySettings())
    handle(idle, sender, report)
    assert not idle.site.scheduler.counters


def test_replicas_are_ordered_by_the_demand_of_all_vms():
    """Its own queue is empty, and the other VMs' are not."""
    proxy = make_proxy()
    work = proxy.duty_work
    gossip_handlers.find('UsageReport')(proxy, 'hub-2', REPORT)
    start_s = now_s()
    assert SCALING.prepare(proxy, [], start_s) is None
    for step in range(12):
        observe_all(proxy, work, start_s + step / 4)
    ordered_s = start_s + 3.0
    order = SCALING.prepare(proxy, [], ordered_s)
    assert order[:2] == ('s', 'd') and order.desired_count == 3
    assert SCALING.is_current(proxy, order, ordered_s)
    SCALING.ended(proxy, order, 'accepted', ordered_s)
    assert SCALING.prepare(proxy, [], ordered_s + 1.0) is None
    assert not SCALING.is_current(proxy, order, ordered_s + 1.0)


@pytest.mark.parametrize(
    ('outcome', 'later_s', 'is_new'),
    [
        ('accepted', 1.0, False),
        ('unanswered', 1.0, False),
        ('accepted', 20.0, True),
        ('refused', 1.0, True),
        ('unsent', 1.0, False),
        ('unsent', 20.0, True),
    ],
)
def test_holder_that_lost_the_duties_begins_anew(outcome, later_s, is_new):
    """Another VM may have ordered replicas meanwhile."""
    proxy = make_proxy()
    work = proxy.duty_work
    SCALING.prepare(proxy, [], 50.0)
    observe_all(proxy, work, 50.0)
    SCALING.ended(proxy, ScaleOrder('s', 'd', 3), outcome, 50.0)
    assert is_holding(work.usage, 50.0 + later_s) is not is_new
    SCALING.prepare(proxy, [], 50.0 + later_s)
    assert bool(work.scaling.domains) is not is_new
