"""What may leave the failure domain, from the reports of the other VMs."""

import pytest

from bluebellhub.latencies import make_latencies
from bluebellhub.metrics import render_metrics
from bluebellhub.request import AttemptFailure
from bluebellhub.routing.links import is_trusted
from bluebellhub.scheduler import attempt_failed, request_sent
from bluebellhub.site.domain_loads import update_domain_shares
from bluebellhub.site.domain_reports import apply_domain_report
from bluebellhub.site.reports import DomainReport, VmReport
from bluebellhub.site.state import set_vms
from bluebellhub.site.tests.small_site import (
    dispatched_upstreams,
    make_registration,
    make_small_site,
    send,
)
from bluebellhub.site.upstreams import set_evacuated
from bluebellhub.site.vm_location import VmLocation
from bluebellhub.site.vm_reports import apply_vm_report, update_other_vms_load

LOCAL = [make_registration('near', slots=2)]
REMOTE = [
    make_registration(f'far-{number}', slots=6, failure_domain='e')
    for number in range(2)
]


def make_report(**fields):
    work = fields.pop('work', {})
    return VmReport(1, 60.0, 1, work, {}, {}, **fields)


def make_domain_report(**fields):
    work = fields.pop('work', {})
    report = DomainReport(
        'e', 'hub-2', 1, 60.0, 1, 30, 'hub-2', 60.0, work, {}, {}
    )
    return report._replace(**fields)


def make_site_of_two(upstreams, report, *, is_grid, reported_s=0.0):
    """Return a VM that knows a report of another failure domain."""
    site = make_small_site(*upstreams)
    set_vms(site, {'hub-1': VmLocation('', 'd'), 'hub-2': VmLocation('', 'e')})
    if is_grid:
        apply_domain_report(site, make_domain_report(**report), reported_s)
    else:
        apply_vm_report(site, 'hub-2', make_report(**report), reported_s)
    return site


def decide(site, now_s):
    update_other_vms_load(site, now_s)
    changes = update_domain_shares(site, now_s)
    shares = site.scheduler.domain_shares
    pair = shares.decisions['s'].pairs['e']
    assert [change.pair for change in changes] in ([], [pair])
    return pair


@pytest.mark.parametrize('is_grid', [False, True])
@pytest.mark.parametrize(
    ('report', 'now_s', 'reason', 'slots'),
    [
        ({}, 0.1, 'spare', 2.55),
        ({'work': {'far-0': 4}}, 0.1, 'spare', 1.55),
        ({'work': {'far-0': 6, 'far-1': 5}}, 0.1, 'full', 0.0),
        ({'work': {'far-0': 6}, 'queued': {'s': 5}}, 0.1, 'full', 0.0),
        ({}, 2.0, 'stale', 0.0),
    ],
)
def test_loads_come_from_the_reports_of_a_mesh_and_of_a_grid(
    report, now_s, reason, slots, is_grid
):
    site = make_site_of_two(LOCAL + REMOTE, report, is_grid=is_grid)
    pair = decide(site, now_s)
    assert (pair.reason, pair.slots) == (reason, pytest.approx(slots))


def test_evacuated_domain_gets_nothing_and_rises_again_after_its_return():
    site = make_site_of_two(LOCAL + REMOTE, {}, is_grid=True)
    set_evacuated(site, ['e'])
    assert decide(site, 0.1).reason == 'out'
    set_evacuated(site, [])
    apply_domain_report(site, make_domain_report(sequence=2), 0.5)
    pair = decide(site, 0.6)
    assert (pair.reason, pair.slots) == ('spare', pytest.approx(2.55))


@pytest.mark.parametrize(
    ('upstreams', 'report', 'price', 'sent'),
    [
        (LOCAL + REMOTE, {}, 0.0, ['near', 'near', 'far', 'far']),
        (LOCAL + REMOTE, {}, 0.001, ['near', 'near']),
        (LOCAL + REMOTE, {'queued': {'s': 12}}, 0.0, ['near', 'near']),
        (REMOTE, {'queued': {'s': 12}}, 0.0, ['far'] * 4),
        (REMOTE, {'queued': {'s': 12}}, 0.001, ['far'] * 4),
    ],
)
def test_requests_leave_only_without_a_place_here(
    upstreams, report, price, sent
):
    """A constant preference sent some away whatever the load."""
    site = make_site_of_two(upstreams, report, is_grid=True)
    site.scheduler.domain_shares.flags['byte_price'] = price
    decide(site, 0.1)
    events = [send(site, str(number), 0.1)[1] for number in range(4)]
    names = [name for found in events for name in dispatched_upstreams(found)]
    assert [name.split('-')[0] for name in names] == sent
    decide(site, 0.2)


def test_requests_that_left_are_counted_and_fail_against_their_link():
    site = make_site_of_two(REMOTE, {}, is_grid=True)
    decide(site, 0.1)
    scheduler = site.scheduler
    for number in range(8):
        admission, _ = send(site, str(number), 0.1, method=b'POST')
        request_id = admission.request.request_id
        request_sent(scheduler, request_id)
        failure = AttemptFailure('cut', 'reset')
        attempt_failed(scheduler, request_id, failure, 0.2)
    assert not is_trusted(scheduler.domain_shares.links['e'], 0.2)
    text = render_metrics(scheduler, make_latencies())[0].decode()
    assert 'bluebellhub_domain_sends_total{to="e/no_local"} 8' in text
    assert 'bluebellhub_domain_bytes_total{to="e"} 12960' in text
    assert 'bluebellhub_domain_share{reason="no_local",' in text
