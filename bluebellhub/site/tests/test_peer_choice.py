"""Which VM serves for one that is cut off, in small and in large fleets."""

import pytest

from bluebellhub.contract import DEFAULT_TIERS
from bluebellhub.request import make_request
from bluebellhub.request.refusal import CutOffError, NotAllowedError
from bluebellhub.site.helper_pauses import (
    record_helper_failure,
    record_helper_response,
)
from bluebellhub.site.peer_choice import (
    check_member,
    choose_helper,
    may_forward,
    may_offer_again,
)
from bluebellhub.site.reports import (
    DomainReport,
    Peer,
    RemoteDomain,
    VmReport,
)
from bluebellhub.site.state import set_vms
from bluebellhub.site.tests.small_site import make_small_site
from bluebellhub.site.vm_location import VmLocation

NOW_S = 10.0
SEEDS = 20


def _make_site(peers, remote=()):
    """Return a site in domain ``d`` with peers: name, domain, work, cut off.

    Of the VMs ``remote`` in domain ``e`` only a summed report is known.
    """
    site = make_small_site()
    vms = {'hub-1': VmLocation('10.0.0.1:1', 'd', '10.0.0.1:2')}
    for name, domain, work, is_cut_off in peers:
        vms[name] = VmLocation('10.0.0.9:1', domain, '10.0.0.9:2')
        report = VmReport(2, 9.0, 1, {'u1': work}, {}, {})
        report = report._replace(is_cut_off=is_cut_off)
        site.peers[name] = Peer(report, NOW_S)
    for name, is_cut_off in remote:
        vms[name] = VmLocation('10.0.0.9:1', 'e', '10.0.0.9:2')
    if remote:
        cut_off = [name for name, is_cut_off in remote if is_cut_off]
        report = DomainReport(
            'e', 'r1', 3, 9.0, 1, len(remote), 'r1', 9.0, {'u1': 4}, {}, {}
        )
        site.domains['e'] = RemoteDomain(
            report._replace(cut_off=cut_off), NOW_S
        )
    set_vms(site, vms)
    return site


def _chosen(site, tried=()):
    return {choose_helper(site, tried, NOW_S) for _ in range(SEEDS)}


@pytest.mark.parametrize(
    ('peers', 'remote', 'tried', 'chosen'),
    [
        ([], [], (), {None}),
        # The own failure domain goes first, however busy it is.
        ([('a', 'd', 9, False), ('b', 'e', 0, False)], [], (), {'a'}),
        # Of two, the one with less work.
        ([('a', 'd', 9, False), ('b', 'd', 1, False)], [], (), {'b'}),
        ([('a', 'd', 9, False), ('b', 'd', 1, False)], [], ('b',), {'a'}),
        # VMs that are cut off themselves are no help.
        ([('a', 'd', 0, True), ('b', 'e', 5, False)], [], (), {'b'}),
        ([('a', 'd', 0, True)], [], (), {None}),
        # A whole domain is cut off in a large fleet.
        ([('a', 'd', 0, True)], [('r1', False)], (), {'r1'}),
        (
            [('a', 'd', 0, True)],
            [('r1', False), ('r2', True), ('r3', False)],
            (),
            {'r1', 'r3'},
        ),
        ([('a', 'd', 0, True)], [('r1', True)], (), {None}),
        # Three VMs have turned it away.
        ([('a', 'd', 0, False)], [], ('x', 'y', 'z'), {None}),
    ],
)
def test_helper_is_near_idle_and_in_contact(peers, remote, tried, chosen):
    assert _chosen(_make_site(peers, remote), tried) == chosen


def test_helper_that_fails_is_dropped_for_a_while():
    site = _make_site([('a', 'd', 0, False), ('b', 'd', 9, False)])
    record_helper_failure(site.helpers, 'a', NOW_S)
    assert _chosen(site) == {'b'}
    record_helper_response(site.helpers, 'a')
    assert _chosen(site) == {'a'}


def test_pause_of_a_vm_that_is_gone_is_forgotten():
    site = _make_site([('a', 'd', 0, False), ('b', 'd', 9, False)])
    for name in ('a', 'b'):
        record_helper_failure(site.helpers, name, NOW_S)
    set_vms(site, {name: site.vms[name] for name in ('hub-1', 'b')})
    assert set(site.helpers.pauses) == {'b'}


@pytest.mark.parametrize(
    ('ip', 'is_member'),
    [('10.0.0.1', True), ('10.0.0.9', True), ('10.0.0.2', False), ('', False)],
)
def test_only_addresses_of_the_fleet_are_members(ip, is_member):
    site = _make_site([('a', 'd', 0, False)])
    if is_member:
        check_member(site, ip)
        return
    with pytest.raises(NotAllowedError):
        check_member(site, ip)


@pytest.mark.parametrize(
    ('run', 'idempotent', 'attempts_left', 'expected'),
    [
        ('no', False, 1, True),
        ('no', True, 2, True),
        ('no', True, 0, False),
        ('unknown', True, 1, True),
        ('unknown', False, 1, False),
    ],
)
def test_request_that_may_have_run_once_is_not_forwarded(
    run, idempotent, attempts_left, expected
):
    request = make_request('1', DEFAULT_TIERS[0], 's', idempotent=idempotent)
    error = CutOffError('', run=run, attempts_left=attempts_left)
    assert may_forward(request, error) == expected


@pytest.mark.parametrize(
    ('reason', 'expected'),
    [
        ('cut_off', True),
        ('draining', True),
        ('no_upstream', True),
        ('quota', False),
        ('shed', False),
        ('unauthenticated', False),
    ],
)
def test_refusal_that_holds_everywhere_is_passed_on(reason, expected):
    assert may_offer_again(reason) == expected
