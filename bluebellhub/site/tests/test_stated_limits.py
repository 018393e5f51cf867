"""Tests of the rate limits of upstreams that the VMs of a site share."""

import pytest

from bluebellhub.scheduler import caller_disconnected
from bluebellhub.site.state import Bounds
from bluebellhub.site.stated_limits import (
    apply_stated_limit,
    make_limit_report,
    make_limits_sent,
)
from bluebellhub.site.tests.simulated_fleet import (
    make_fleet,
    restart,
    run_fleet,
)
from bluebellhub.site.tests.small_site import dispatched_upstreams, send
from bluebellhub.site.upstreams import apply_removal

UPSTREAM = 'u1'
LIMIT_PER_S = 2.0
WINDOW_S = 4.0
MOST_ARRIVALS = 1.5 * WINDOW_S * LIMIT_PER_S + 5
# When the limit binds all VMs: this long after one of them was told.
SPREAD_S = 3.0
STEP_S = 0.1


def _send_everywhere(fleet, now_s):
    """Let all VMs send as many requests as they may; return their number."""
    count = 0
    for name, site in fleet.sites.items():
        if now_s < site.started_at_s:
            continue
        for number in range(3):
            admission, events = send(site, f'{name}-{number}', now_s)
            count += len(dispatched_upstreams(events))
            request_id = admission.request.request_id
            caller_disconnected(site.scheduler, request_id, now_s)
    return count


def _arrivals(fleet, from_s, to_s):
    """Return the most requests that were sent in any window."""
    sent = []
    now_s = from_s
    while now_s < to_s:
        sent.append((now_s, _send_everywhere(fleet, now_s)))
        now_s = run_fleet(fleet, now_s, now_s + STEP_S, 0.0)
    return max(
        sum(
            count
            for at_s, count in sent
            if start_s <= at_s < start_s + WINDOW_S
        )
        for start_s, _ in sent
    )


@pytest.mark.parametrize(
    ('count', 'domains'), [(1, 1), (8, 3), (17, 3), (60, 4)]
)
def test_vms_that_got_no_response_keep_the_limit(count, domains):
    fleet = make_fleet(count, domains, Bounds(), seed=1)
    now_s = run_fleet(fleet, 0.0, 1.5, 0.0)
    told = next(iter(fleet.sites.values()))
    assert apply_stated_limit(told, UPSTREAM, LIMIT_PER_S, now_s)
    now_s = run_fleet(fleet, now_s, now_s + SPREAD_S, 0.0)
    assert 0 < _arrivals(fleet, now_s, now_s + 6.0) <= MOST_ARRIVALS


@pytest.mark.parametrize('count', [8, 24])
def test_restarted_vm_learns_the_limit(count):
    fleet = make_fleet(count, 3, Bounds(), seed=2)
    now_s = run_fleet(fleet, 0.0, 1.5, 0.0)
    apply_stated_limit(
        next(iter(fleet.sites.values())), UPSTREAM, LIMIT_PER_S, now_s
    )
    now_s = run_fleet(fleet, now_s, now_s + SPREAD_S, 0.0)
    restart(fleet, list(fleet.sites)[1::2], now_s)
    now_s = run_fleet(fleet, now_s, now_s + 2 * SPREAD_S, 0.0)
    assert 0 < _arrivals(fleet, now_s, now_s + 6.0) <= MOST_ARRIVALS


@pytest.mark.parametrize('count', [8, 24])
def test_all_vms_learn_that_the_limit_is_over(count):
    fleet = make_fleet(count, 3, Bounds(), seed=3)
    now_s = run_fleet(fleet, 0.0, 1.5, 0.0)
    told = next(iter(fleet.sites.values()))
    apply_stated_limit(told, UPSTREAM, LIMIT_PER_S, now_s)
    now_s = run_fleet(fleet, now_s, now_s + SPREAD_S, 0.0)
    assert apply_stated_limit(told, UPSTREAM, None, now_s)
    now_s = run_fleet(fleet, now_s, now_s + SPREAD_S, 0.0)
    assert _send_everywhere(fleet, now_s) == 3 * count


def test_limit_of_an_upstream_that_is_gone_is_not_reported():
    fleet = make_fleet(2, 1, Bounds(), seed=4)
    site = fleet.sites['hub-000']
    sent = make_limits_sent()
    apply_stated_limit(site, UPSTREAM, LIMIT_PER_S, 0.0)
    assert make_limit_report(site, sent, 0.0) is not None
    assert apply_removal(site, UPSTREAM, 10.0)
    assert make_limit_report(site, sent, 10.0) is None
    assert not sent.limits


@pytest.mark.parametrize(
    ('now_s', 'is_due'), [(0.1, False), (2.9, False), (3.1, True)]
)
def test_limits_are_repeated_for_vms_that_missed_them(now_s, is_due):
    site = make_fleet(2, 1, Bounds(), seed=5).sites['hub-000']
    sent = make_limits_sent()
    apply_stated_limit(site, UPSTREAM, LIMIT_PER_S, 0.0)
    assert make_limit_report(site, sent, 0.0) is not None
    report = make_limit_report(site, sent, now_s)
    assert (report is not None) is is_due
