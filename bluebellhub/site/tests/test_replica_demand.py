"""Demand for replicas and expected reports, from what a VM knows."""

import pytest

from bluebellhub.registration import record_outage
from bluebellhub.request.heads import UpstreamLoad
from bluebellhub.route import Service
from bluebellhub.scaling import ScalingBounds
from bluebellhub.site.replica_demand import domain_demands, scaling_bounds
from bluebellhub.site.reports import DomainReport, Peer, RemoteDomain, VmReport
from bluebellhub.site.state import set_vms
from bluebellhub.site.tests.small_site import (
    make_registration,
    make_small_site,
)
from bluebellhub.site.upstreams import apply_response_load, set_evacuated
from bluebellhub.site.usage_sources import expected_vms
from bluebellhub.site.version_moves import apply_move_commands
from bluebellhub.site.vm_location import VmLocation
from bluebellhub.version_move import MoveCommand

NOW_S = 10.0
BOUNDS = ScalingBounds(1, 4, 8.0)


def make_site_of(*names_and_domains):
    entries = [
        make_registration(name, failure_domain=domain, slots=4)
        for name, domain in names_and_domains
    ]
    services = [Service('s', scaling=BOUNDS), Service('t')]
    site = make_small_site(*entries, services=services)
    for name, _ in names_and_domains:
        apply_response_load(site, name, UpstreamLoad(3, 2, 4), NOW_S)
    return site


def read(site, queued=0, known=()):
    demands = domain_demands(site, {'s': queued, 't': 9}, {'s': known})
    return {demand.domain: demand for demand in demands}


def test_demand_is_work_at_the_upstreams_and_a_part_of_the_queues():
    site = make_site_of(('u1', 'd'), ('u2', 'd'), ('u3', 'd'), ('u4', 'e'))
    found = read(site, queued=8)
    assert scaling_bounds(site) == {'s': BOUNDS}
    assert found['d'][2:6] == (15, 6.0, 3, 4.0)
    assert found['e'][2:6] == (5, 2.0, 1, 4.0)


@pytest.mark.parametrize(
    ('change', 'marked'),
    [
        (lambda site: set_evacuated(site, ['e']), (True, False, False)),
        (
            lambda site: apply_move_commands(
                site, [MoveCommand('s', 'v2', 60.0, None, 1)], 0.0
            ),
            (False, True, False),
        ),
        (
            lambda site: apply_move_commands(
                site, [MoveCommand('s', 'v2', 60.0, 'done', 1)], 0.0
            ),
            (False, False, False),
        ),
        (
            lambda site: record_outage(site.registrations, 1.0, is_on=True),
            (False, False, True),
        ),
    ],
)
def test_reasons_not_to_lower_a_count_are_marked(change, marked):
    site = make_site_of(('u1', 'd'), ('u2', 'e'))
    change(site)
    found = read(site, queued=8)
    assert found['e'][6:] == marked
    # Queued requests are not sent to a domain that is evacuated.
    assert found['e'].queued == 4.0 * (not marked[0])


@pytest.mark.parametrize(
    ('upstreams', 'known', 'replicas'),
    [
        ([('u1', 'd')], (), {'d': 1}),
        ([('u1', 'd')], ('d', 'e'), {'d': 1, 'e': 0}),
        ([], (), {'d': 0}),
    ],
)
def test_domains_without_replicas_are_those_known(upstreams, known, replicas):
    """A lost domain has no upstream any more, and still has to be known."""
    found = read(make_site_of(*upstreams), known=known)
    assert {name: demand.replicas for name, demand in found.items()} == replicas


@pytest.mark.parametrize(
    ('live_remote', 'expected'),
    [(2, ['hub-2', 'hub-4', 'hub-5']), (1, ['hub-2']), (None, ['hub-2'])],
)
def test_reports_are_expected_of_vms_that_are_known_to_be_live(
    live_remote, expected
):
    site = make_site_of()
    domains = {1: 'd', 2: 'd', 3: 'd', 4: 'e', 5: 'e'}
    vms = {
        f'hub-{number}': VmLocation('', domain)
        for number, domain in domains.items()
    }
    set_vms(site, vms)
    report = VmReport(1, 1.0, 1, {}, {}, {})
    site.peers.update({'hub-2': Peer(report, 9.5), 'hub-3': Peer(report, 5.0)})
    if live_remote is not None:
        remote = DomainReport(
            'e', 'hub-4', 1, 1.0, 1, live_remote, 'hub-4', 1.0, {}, {}, {}
        )
        site.domains['e'] = RemoteDomain(remote, 9.5)
    assert sorted(expected_vms(site, 10.0)) == expected
