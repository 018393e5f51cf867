"""Tests of reports between VMs and of their effects."""

import pytest

from bluebellhub.request.heads import TokenCounts
from bluebellhub.site.reports import VmReport
from bluebellhub.site.state import Bounds, make_site, set_vms
from bluebellhub.site.tests.small_site import (
    dispatched_upstreams,
    make_registration,
    make_routing_table,
    make_small_site,
    send,
)
from bluebellhub.site.upstreams import apply_registration, apply_routing_table
from bluebellhub.site.vm_location import VmLocation
from bluebellhub.site.vm_reports import (
    apply_vm_report,
    longest_delay_s,
    make_vm_report,
    update_other_vms_load,
)


@pytest.mark.parametrize(
    ('others', 'own', 'placed'),
    [(0, 0, True), (0, 1, True), (1, 1, False), (2, 0, False), (5, 0, False)],
)
def test_slots_used_by_other_vms_are_not_available(others, own, placed):
    site = make_small_site(make_registration())
    apply_vm_report(
        site, 'hub-2', VmReport(1, 9.0, 1, {'u1': others}, {}, {}), 0.0
    )
    update_other_vms_load(site, 0.1)
    for number in range(own):
        send(site, f'own-{number}')
    _, events = send(site)
    assert bool(dispatched_upstreams(events)) is placed


@pytest.mark.parametrize(('at_s', 'placed'), [(0.5, False), (1.5, True)])
def test_outdated_report_is_ignored(at_s, placed):
    site = make_small_site(make_registration())
    apply_vm_report(site, 'hub-2', VmReport(1, 9.0, 1, {'u1': 2}, {}, {}), 0.0)
    update_other_vms_load(site, 0.0)
    update_other_vms_load(site, at_s)
    _, events = send(site, now_s=at_s)
    assert bool(dispatched_upstreams(events)) is placed


@pytest.mark.parametrize(
    ('arrivals_s', 'starts', 'delay_s'),
    [
        ([10.0], [1], 0.0),
        ([10.0, 11.0], [1, 1], 0.0),
        ([10.0, 11.3], [1, 1], 0.3),
        ([10.4, 11.0, 12.1], [1, 1, 1], 0.1),
        ([10.0, 11.3, 12.3], [1, 1, 1], 0.3),
        ([10.0, 11.3, 12.6], [1, 1, 2], 0.0),
    ],
)
def test_delay_is_counted_from_the_fastest_report(arrivals_s, starts, delay_s):
    site = make_small_site(make_registration())
    for sent_s, (at_s, start_id) in enumerate(
        zip(arrivals_s, starts, strict=True), start=1
    ):
        report = VmReport(start_id, float(sent_s), sent_s, {}, {}, {})
        apply_vm_report(site, 'hub-2', report, at_s)
    found_s = longest_delay_s(site, arrivals_s[-1])
    assert found_s == pytest.approx(delay_s)


def test_report_contains_work_and_usage():
    site = make_small_site(make_registration())
    send(site, tokens=TokenCounts(10, 2))
    report = make_vm_report(site, 0.0)
    assert (report.uptime_s, report.sequence) == (60.0, 1)
    assert (report.work, report.prefill_tokens) == ({'u1': 1}, {'u1': 10})
    assert report.admitted == {'yard': 12.0}


# Capacity for `ACCOUNT`: its burst and 0.35 of the overage of a window.
FULL_LEVEL = 1315.0


# Level at a start: 0.5 s of the rate and 0.25 of the overage.
START_LEVEL = 725.0
# Its part that each VM uses alone, since all would use the others' at once.
START_SLACK = 225.0


def _report(sequence, admitted, start_id=1, uptime_s=60.0):
    return VmReport(start_id, uptime_s, sequence, {}, {}, {'yard': admitted})


@pytest.mark.parametrize(
    ('received', 'charged'),
    [
        ([(0.1, _report(1, 500.0))], 0.0),
        ([(0.1, _report(1, 500.0)), (0.2, _report(2, 560.0))], 60.0),
        ([(0.1, _report(2, 500.0)), (0.2, _report(1, 460.0))], 0.0),
        ([(0.1, _report(2, 500.0)), (0.2, _report(2, 500.0))], 0.0),
        ([(0.1, _report(9, 500.0)), (0.2, _report(1, 30.0, 7))], 30.0),
        ([(0.1, _report(1, 500.0)), (2.2, _report(2, 560.0))], 0.0),
        (
            [
                (0.1, _report(9, 500.0)),
                (0.2, _report(1, 30.0, 7)),
                (0.2, _report(10, 520.0)),
            ],
            30.0,
        ),
    ],
)
def test_peer_usage_is_charged_once(received, charged):
    site = make_small_site(make_registration(), vms=('hub-1', 'hub-2'))
    for at_s, item in received:
        apply_vm_report(site, 'hub-2', item, at_s)
    send(site, now_s=received[-1][0], tokens=TokenCounts(0, 1))
    assert site.quotas.buckets['yard'].level == FULL_LEVEL - charged - 1.0


@pytest.mark.parametrize(
    ('told', 'level'),
    [
        ([], START_LEVEL / 2),
        ([_report(1, 0.0, 1, 50.0)._replace(levels={'yard': 700.0})], 700.0),
        (
            [_report(1, 0.0, 1, 0.0)._replace(levels={'yard': 900.0})],
            START_LEVEL - START_SLACK / 2,
        ),
        (
            [_report(1, 50.0, 1, 0.0)],
            START_LEVEL - START_SLACK / 2 - 50.0,
        ),
        (
            [
                _report(1, 0.0, 1, 50.0)._replace(levels={'yard': 700.0}),
                _report(2, 40.0, 1, 50.1)._replace(levels={'yard': 900.0}),
            ],
            660.0,
        ),
    ],
)
def test_starting_vm_adopts_levels_of_older_vm(told, level):
    site = make_site('hub-1', 'd', Bounds(), 0.0)
    set_vms(site, dict.fromkeys(('hub-1', 'hub-2'), VmLocation()))
    apply_routing_table(site, make_routing_table())
    for report in told:
        apply_vm_report(site, 'hub-2', report, 0.0)
    apply_registration(site, make_registration(), 0.0)
    send(site, tokens=TokenCounts(0, 1))
    assert site.quotas.buckets['yard'].level == level - 1.0


@pytest.mark.parametrize(
    ('age_s', 'is_told'), [(61.0, False), (3.0, False), (0.5, True)]
)
def test_levels_are_sent_to_starting_vm(age_s, is_told):
    site = make_small_site(make_registration(), vms=('hub-1', 'hub-2'))
    send(site, tokens=TokenCounts(0, 1))
    apply_vm_report(site, 'hub-2', _report(1, 0.0, 1, age_s), 0.0)
    assert bool(make_vm_report(site, 0.1).levels) is is_told
