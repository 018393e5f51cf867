"""Tests of gossip: which reports are sent, and when they reach all VMs."""

import pytest

from bluebellhub.request.heads import TokenCounts
from bluebellhub.site.gossip import (
    make_gossip_state,
    make_multicasts,
)
from bluebellhub.site.grid import gossip_interval_s
from bluebellhub.site.liveness import (
    first_live_vm,
    first_live_vms,
    live_vm_count,
)
from bluebellhub.site.reports import GossipItem, VmReport
from bluebellhub.site.state import Bounds, make_site, set_vms
from bluebellhub.site.tests.simulated_fleet import deliver
from bluebellhub.site.tests.small_site import (
    make_registration,
    make_routing_table,
    send,
)
from bluebellhub.site.upstreams import apply_registration, apply_routing_table
from bluebellhub.site.vm_location import VmLocation
from bluebellhub.site.vm_reports import apply_gossip, update_other_vms_load


def _make_sites(count, domains=3, start_s=-60.0, first_seed=0):
    locations = {
        f'hub-{number:03}': VmLocation('', f'd{number % domains}')
        for number in range(count)
    }
    sites = {}
    for seed, name in enumerate(locations, first_seed):
        site = make_site(name, 'd', Bounds(), start_s, seed)
        set_vms(site, locations)
        apply_routing_table(site, make_routing_table())
        apply_registration(site, make_registration(slots=50), 0.0)
        sites[name] = site
    return sites, {name: make_gossip_state() for name in sites}


def _run_rounds(sites, gossip_states, from_s, rounds):
    """Let all VMs exchange gossip; returns the time after the last round."""
    now_s = from_s
    for _ in range(rounds):
        sent = []
        for name, site in sites.items():
            gossip_state, multicasts = make_multicasts(
                site, gossip_states[name], now_s
            )
            gossip_states[name] = gossip_state
            sent.extend(multicasts)
        for multicast in sent:
            for to in multicast.to:
                site = sites.get(to)
                if site is not None:
                    deliver(site, multicast.message, now_s)
        now_s += gossip_interval_s(next(iter(sites.values())).flags['grid'])
    return now_s


@pytest.mark.parametrize(
    ('count', 'domains', 'rounds'),
    [(2, 1, 1), (8, 3, 1), (16, 3, 1), (17, 3, 4), (60, 4, 5), (85, 3, 5)],
)
def test_all_vms_learn_each_others_work(count, domains, rounds):
    sites, gossip_states = _make_sites(count, domains)
    send(sites['hub-000'])
    send(sites['hub-001'], '2')
    now_s = _run_rounds(sites, gossip_states, 0.0, rounds)
    for name, site in sites.items():
        update_other_vms_load(site, now_s)
        has_request = name in {'hub-000', 'hub-001'}
        assert site.scheduler.upstreams['u1'].other_vms_work == 2 - has_request
        assert live_vm_count(site, now_s) == count
        assert first_live_vm(site, now_s) == 'hub-000'


@pytest.mark.parametrize(
    ('count', 'dead'), [(8, 3), (60, 1), (60, 20), (85, 30)]
)
def test_reports_spread_despite_dead_vms(count, dead):
    sites, gossip_states = _make_sites(count)
    now_s = _run_rounds(sites, gossip_states, 0.0, 5)
    for number in range(dead):
        sites.pop(f'hub-{number:03}')
    now_s = _run_rounds(sites, gossip_states, now_s, 22)
    for site in sites.values():
        assert live_vm_count(site, now_s) == count - dead
        assert first_live_vm(site, now_s) == f'hub-{dead:03}'


@pytest.mark.parametrize('count', [8, 60])
def test_idle_vms_stay_live(count):
    sites, gossip_states = _make_sites(count)
    now_s = _run_rounds(sites, gossip_states, 0.0, 6)
    for _ in range(20):
        now_s = _run_rounds(sites, gossip_states, now_s, 1)
        for site in sites.values():
            assert live_vm_count(site, now_s) == count


@pytest.mark.parametrize('count', [8, 60])
def test_usage_is_charged_once_at_every_vm(count):
    sites, gossip_states = _make_sites(count)
    now_s = _run_rounds(sites, gossip_states, 0.0, 6)
    for number in range(6):
        name = f'hub-{number:03}'
        send(sites[name], '1', now_s, tokens=TokenCounts(1, 1))
    now_s = _run_rounds(sites, gossip_states, now_s, 8)
    for name, site in sites.items():
        local = site.quotas.admitted.get('yard', 0.0)
        remote = [domain.report.admitted for domain in site.domains.values()]
        reported = site.admitted_by_peers['yard'] + sum(
            usage.get('yard', 0.0) for usage in remote
        )
        assert local + reported == 12.0, name


def test_restarted_domain_adopts_levels_of_others():
    sites, gossip_states = _make_sites(60)
    for site in sites.values():
        send(site, '1', 0.0, tokens=TokenCounts(1, 1))
    now_s = _run_rounds(sites, gossip_states, 0.0, 6)
    fresh, _ = _make_sites(60, start_s=now_s, first_seed=100)
    for number, name in enumerate(fresh):
        if number % 3 == 0:
            sites[name] = fresh[name]
            gossip_states[name] = make_gossip_state()
    _run_rounds(sites, gossip_states, now_s, 6)
    for number, site in enumerate(sites.values()):
        if number % 3 == 0:
            assert site.flags['adopted_age_s'] > 60.0


def test_reports_are_relayed_once():
    sites, gossip_states = _make_sites(60, 1)
    now_s = _run_rounds(sites, gossip_states, 0.0, 3)
    site = sites['hub-000']
    gossip_state, _ = make_multicasts(site, gossip_states['hub-000'], now_s)
    _, multicasts = make_multicasts(site, gossip_state, now_s)
    assert not multicasts


@pytest.mark.parametrize(
    ('peers', 'expected'),
    [
        ([], ['hub-4']),
        (['hub-2'], ['hub-2']),
        (['hub-3'], ['hub-3', 'hub-4']),
        (['hub-3', 'hub-5', 'hub-2'], ['hub-2', 'hub-3']),
    ],
)
def test_first_live_vm_of_each_domain_may_hold_duties(peers, expected):
    """VMs that disagree on the candidates would leave a duty to nobody."""
    site = make_site('hub-4', 'd0', Bounds(), 0.0)
    names = [f'hub-{number}' for number in range(1, 6)]
    set_vms(
        site,
        {name: VmLocation('', f'd{int(name[-1]) % 2}') for name in names},
    )
    for name in peers:
        report = VmReport(1, 9.0, 1, {}, {}, {})
        apply_gossip(site, [GossipItem(name, report)], 5.0)
    assert first_live_vms(site, 5.5) == expected
    assert first_live_vms(site, 9.0) == ['hub-4']
