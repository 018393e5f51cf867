"""Tests of slowdowns that upstreams state: predictions, gossip, requests."""

from collections import Counter

import pytest

from bluebellhub.request.heads import TokenCounts, UpstreamLoad
from bluebellhub.scheduler import caller_disconnected
from bluebellhub.site.admission import refund
from bluebellhub.site.domain_reports import (
    apply_domain_report,
    make_domain_report,
)
from bluebellhub.site.reports import ReportedSlowdown, VmReport
from bluebellhub.site.slowdowns import REPORTED_MAX
from bluebellhub.site.tests.small_site import (
    dispatched_upstreams,
    make_registration,
    make_small_site,
    send,
)
from bluebellhub.site.upstreams import apply_response_load
from bluebellhub.site.vm_reports import apply_vm_report, make_vm_report
from bluebellhub.upstream import predict_first_token_s
from bluebellhub.upstream.slowdown import ratio_at

NAMES = [f'u{number}' for number in range(6)]


def make_site_of(names=NAMES):
    return make_small_site(*(make_registration(name) for name in names))


def state_slowdown(site, slowdown, now_s=100.0, name='u0'):
    apply_response_load(site, name, UpstreamLoad(0, 0, 2, slowdown), now_s)


def count_choices(site, now_s, requests=600):
    """Return how often each upstream is chosen while capacity is ample."""
    chosen = Counter()
    for number in range(requests):
        site.scheduler.shares.clear()
        admission, events = send(
            site, f'{now_s}-{number}', now_s, tokens=TokenCounts(900, 0)
        )
        chosen.update(dispatched_upstreams(events))
        refund(site, admission)
        caller_disconnected(site.scheduler, admission.request.request_id, now_s)
    return chosen


@pytest.mark.parametrize(
    ('stated', 'age_s', 'least', 'most'),
    [
        (4.0, 0.0, 0.0, 0.08),
        (4.0, 0.5, 0.05, 0.14),
        (4.0, 5.0, 0.12, 0.22),
        (1.0, 0.0, 0.12, 0.22),
        (0.25, 0.0, 0.3, 0.7),
        (0.0, 0.0, 0.12, 0.22),
        (-5.0, 0.0, 0.12, 0.22),
        (1e9, 0.0, 0.0, 0.05),
    ],
)
def test_requests_follow_the_stated_slowdown(stated, age_s, least, most):
    """A throttled upstream stays attractive by its learned speed alone."""
    site = make_site_of()
    state_slowdown(site, stated)
    chosen = count_choices(site, 100.0 + age_s)
    assert least <= chosen['u0'] / 600 <= most
    others = [chosen[name] for name in NAMES[1:]]
    assert max(others) < 2 * min(others)


def test_slowdown_prolongs_predictions():
    site = make_site_of()
    usual_s = predict_first_token_s(site.scheduler.upstreams['u0'], 6600, 100.0)
    state_slowdown(site, 3.0)
    upstream = site.scheduler.upstreams['u0']
    slow_s = predict_first_token_s(upstream, 6600, 100.0)
    assert slow_s == pytest.approx(3 * usual_s)


def receive_vm_report(site, sender, now_s):
    apply_vm_report(site, 'hub-2', make_vm_report(sender, now_s), now_s)


def receive_domain_report(site, sender, now_s):
    report = make_vm_report(sender, now_s)
    domain = make_domain_report(sender, report, now_s)
    apply_domain_report(site, domain._replace(vm='hub-2'), now_s)


@pytest.mark.parametrize('receive', [receive_vm_report, receive_domain_report])
@pytest.mark.parametrize(
    ('known', 'sent_after_s', 'expected'),
    [
        (None, 0.1, 4.0),
        (None, 1.5, 1.0),
        ((2.0, 99.9), 0.1, 4.0),
        ((2.0, 100.05), 0.1, 2.0),
    ],
)
def test_slowdown_reaches_other_vms(receive, known, sent_after_s, expected):
    site, sender = make_site_of(), make_site_of()
    state_slowdown(sender, 4.0)
    if known:
        state_slowdown(site, *known)
    receive(site, sender, 100.0 + sent_after_s)
    slowdown = site.scheduler.upstreams['u0'].slowdown
    assert ratio_at(slowdown, slowdown.at_s) == expected


def test_reported_slowdown_is_not_reported_on_by_a_vm():
    site = make_site_of()
    report = VmReport(
        1, 9.0, 1, {}, {}, {}, slowdowns={'u0': ReportedSlowdown(4.0, 0.1)}
    )
    apply_vm_report(site, 'hub-2', report, 100.0)
    assert make_vm_report(site, 100.0).slowdowns == {}


@pytest.mark.parametrize(
    'stated',
    [
        ReportedSlowdown(float('nan'), 0.1),
        ReportedSlowdown(-1.0, 0.1),
        ReportedSlowdown(4.0, -7.0),
        ReportedSlowdown(4.0, float('nan')),
        ReportedSlowdown(4.0, 1e9),
    ],
)
def test_absurd_report_changes_nothing(stated):
    site = make_site_of()
    report = VmReport(1, 9.0, 1, {}, {}, {}, slowdowns={'u0': stated})
    apply_vm_report(site, 'hub-2', report, 100.0)
    assert ratio_at(site.scheduler.upstreams['u0'].slowdown, 100.0) == 1.0


def test_reports_are_bounded():
    names = [f'u{number}' for number in range(70)]
    site = make_site_of(names)
    for position, name in enumerate(names):
        state_slowdown(site, 2.0, 100.0 + position / 100, name)
    reported = make_vm_report(site, 100.7).slowdowns
    assert set(reported) == set(names[-REPORTED_MAX:])
