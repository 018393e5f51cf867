"""What VMs tell whom, and how soon all of them know it."""

import pytest

from bluebellhub.fleet import decode_message, encode_message
from bluebellhub.site.hearing import heard_names
from bluebellhub.site.sharing import take_news
from bluebellhub.site.state import Bounds, make_site, set_vms
from bluebellhub.site.telling import make_letters, make_telling, pause_s
from bluebellhub.site.tests.small_site import (
    make_entry,
    make_version,
    send,
)
from bluebellhub.site.upstreams import put_in_force, take_registration


def _make_sites(count):
    names = [f'hub-{number}' for number in range(count)]
    sites = {}
    for seed, name in enumerate(names):
        site = make_site(name, 'd', Bounds(), -60.0, seed)
        set_vms(site, dict.fromkeys(names, ''))
        put_in_force(site, make_version())
        take_registration(site, make_entry(), 0.0)
        sites[name] = site
    return sites


def _run_rounds(sites, tellings, from_s, rounds):
    """Let all VMs tell and hear; returns the time after the last round."""
    now_s = from_s
    for _ in range(rounds):
        sent = []
        for name, site in sites.items():
            telling, letters = make_letters(site, tellings[name], now_s)
            tellings[name] = telling
            sent.extend(letters)
        for letter in sent:
            batch = decode_message(encode_message(letter.batch))
            for to in letter.to:
                _deliver(sites, to, batch, now_s)
        now_s += pause_s(site.flags['grid'])
    return now_s


def _deliver(sites, to, batch, now_s):
    site = sites.get(to)
    for told in batch.items:
        if site is not None:
            take_news(site, told.vm, told.news, now_s)


@pytest.mark.parametrize(
    ('count', 'rounds'), [(2, 1), (8, 1), (16, 1), (17, 2), (60, 2), (85, 2)]
)
def test_all_vms_know_each_others_work(count, rounds):
    sites = _make_sites(count)
    send(sites['hub-0'])
    tellings = {name: make_telling() for name in sites}
    _run_rounds(sites, tellings, 0.0, rounds)
    for name, site in sites.items():
        assert set(site.peers) == set(sites) - {name}
        if name != 'hub-0':
            assert site.peers['hub-0'].news.work == {'u1': 1}


@pytest.mark.parametrize(('count', 'dead'), [(8, 3), (60, 1), (85, 30)])
def test_dead_vms_keep_nobody_from_hearing_the_others(count, dead):
    sites = _make_sites(count)
    tellings = {name: make_telling() for name in sites}
    now_s = _run_rounds(sites, tellings, 0.0, 3)
    for number in range(dead):
        sites.pop(f'hub-{number}')
    now_s = _run_rounds(sites, tellings, now_s, 14)
    for name, site in sites.items():
        assert set(heard_names(site, now_s)) == set(sites) - {name}


@pytest.mark.parametrize('count', [8, 60])
def test_nobody_counts_as_silent_while_nothing_changes(count):
    sites = _make_sites(count)
    tellings = {name: make_telling() for name in sites}
    now_s = _run_rounds(sites, tellings, 0.0, 3)
    for _ in range(20):
        now_s = _run_rounds(sites, tellings, now_s, 1)
        for name, site in sites.items():
            assert set(heard_names(site, now_s)) == set(sites) - {name}


def test_news_are_passed_on_once():
    sites = _make_sites(60)
    tellings = {name: make_telling() for name in sites}
    now_s = _run_rounds(sites, tellings, 0.0, 3)
    site = sites['hub-0']
    telling, _ = make_letters(site, tellings['hub-0'], now_s)
    _, letters = make_letters(site, telling, now_s)
    assert not letters
