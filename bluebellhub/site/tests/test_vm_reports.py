"""What VMs tell each other, and what follows from it."""

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
    make_vm_report,
    update_other_vms_load,
)


@pytest.mark.parametrize(
    ('others', 'own', 'placed'),
    [(0, 0, True), (0, 1, True), (1, 1, False), (2, 0, False), (5, 0, False)],
)
def test_slots_that_other_vms_use_are_left_alone(others, own, placed):
    site = make_small_site(make_registration())
    apply_vm_report(
        site, 'hub-2', VmReport(1, 9.0, 1, {'u1': others}, {}, {}), 0.0
    )
    update_other_vms_load(site, 0.1)
    for sequence in range(own):
        send(site, f'own-{sequence}')
    _, events = send(site)
    assert bool(dispatched_upstreams(events)) is placed


@pytest.mark.parametrize(('at_s', 'placed'), [(0.5, False), (1.5, True)])
def test_old_news_count_as_silence(at_s, placed):
    site = make_small_site(make_registration())
    apply_vm_report(site, 'hub-2', VmReport(1, 9.0, 1, {'u1': 2}, {}, {}), 0.0)
    update_other_vms_load(site, 0.0)
    update_other_vms_load(site, at_s)
    _, events = send(site, now_s=at_s)
    assert bool(dispatched_upstreams(events)) is placed


def test_news_tell_work_and_use():
    site = make_small_site(make_registration())
    send(site, tokens=TokenCounts(10, 2))
    news = make_vm_report(site, 0.0)
    assert (news.age_s, news.sequence) == (60.0, 1)
    assert (news.work, news.prefill) == ({'u1': 1}, {'u1': 10})
    assert news.admitted == {'yard': 12.0}


# The bucket of `YARD`: its burst and 0.35 of the overage of a window.
FULL = 1315.0


# At a start: 0.5 s of the rate and 0.25 of the overage.
START = 725.0


def _news(sequence, admitted, start_id=1, age_s=60.0):
    return VmReport(start_id, age_s, sequence, {}, {}, {'yard': admitted})


@pytest.mark.parametrize(
    ('news', 'charged'),
    [
        ([(0.1, _news(1, 500.0))], 0.0),
        ([(0.1, _news(1, 500.0)), (0.2, _news(2, 560.0))], 60.0),
        ([(0.1, _news(2, 500.0)), (0.2, _news(1, 460.0))], 0.0),
        ([(0.1, _news(2, 500.0)), (0.2, _news(2, 500.0))], 0.0),
        ([(0.1, _news(9, 500.0)), (0.2, _news(1, 30.0, 7))], 30.0),
        ([(0.1, _news(1, 500.0)), (2.2, _news(2, 560.0))], 0.0),
        (
            [
                (0.1, _news(9, 500.0)),
                (0.2, _news(1, 30.0, 7)),
                (0.2, _news(10, 520.0)),
            ],
            30.0,
        ),
    ],
)
def test_use_of_others_is_charged_once(news, charged):
    site = make_small_site(make_registration(), vms=('hub-1', 'hub-2'))
    for at_s, item in news:
        apply_vm_report(site, 'hub-2', item, at_s)
    send(site, now_s=news[-1][0], tokens=TokenCounts(0, 1))
    assert site.quotas.buckets['yard'].level == FULL - charged - 1.0


@pytest.mark.parametrize(
    ('told', 'level'),
    [
        ([], START / 2),
        ([_news(1, 0.0, 1, 50.0)._replace(levels={'yard': 700.0})], 700.0),
        ([_news(1, 0.0, 1, 0.0)._replace(levels={'yard': 900.0})], START),
        (
            [
                _news(1, 0.0, 1, 50.0)._replace(levels={'yard': 700.0}),
                _news(2, 40.0, 1, 50.1)._replace(levels={'yard': 900.0}),
            ],
            660.0,
        ),
    ],
)
def test_a_vm_that_starts_takes_the_level_of_one_that_runs(told, level):
    site = make_site('hub-1', 'd', Bounds(), 0.0)
    set_vms(site, dict.fromkeys(('hub-1', 'hub-2'), VmLocation()))
    apply_routing_table(site, make_routing_table())
    for news in told:
        apply_vm_report(site, 'hub-2', news, 0.0)
    apply_registration(site, make_registration(), 0.0)
    send(site, tokens=TokenCounts(0, 1))
    assert site.quotas.buckets['yard'].level == level - 1.0


@pytest.mark.parametrize(
    ('age_s', 'is_told'), [(61.0, False), (3.0, False), (0.5, True)]
)
def test_levels_are_told_to_a_vm_that_starts(age_s, is_told):
    site = make_small_site(make_registration(), vms=('hub-1', 'hub-2'))
    send(site, tokens=TokenCounts(0, 1))
    apply_vm_report(site, 'hub-2', _news(1, 0.0, 1, age_s), 0.0)
    assert bool(make_vm_report(site, 0.1).levels) is is_told
