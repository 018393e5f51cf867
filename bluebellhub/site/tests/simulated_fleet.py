"""Many VMs of one site that tell each other their news, for tests."""

from random import Random
from typing import NamedTuple

from bluebellhub.fleet import decode_message, encode_message
from bluebellhub.request.heads import TokenCounts
from bluebellhub.request.refusal import QuotaError
from bluebellhub.scheduler import caller_disconnected
from bluebellhub.site.domain_reports import apply_domain_report
from bluebellhub.site.gossip import (
    gossip_interval_s,
    make_gossip_state,
    make_multicasts,
)
from bluebellhub.site.reports import DomainReport
from bluebellhub.site.state import Bounds, make_site, set_vms
from bluebellhub.site.tests.small_site import (
    make_registration,
    make_routing_table,
    send,
)
from bluebellhub.site.upstreams import apply_registration, apply_routing_table
from bluebellhub.site.vm_location import VmLocation
from bluebellhub.site.vm_reports import apply_gossip

__all__ = ['Fleet', 'deliver', 'make_fleet', 'restart', 'run_fleet']

STEP_S = 0.05
# No VM serves sooner after its predecessor's end.
DOWN_S = 0.5


class Fleet(NamedTuple):
    """The VMs and what they have told, the random generator and the uses.

    ``uses`` holds the time and the tokens of each admitted request;
    ``frozen`` the VMs that stand still, ``cut`` the failure domain without a
    way to the others, and ``loss`` the ratio of messages that are lost.
    """

    sites: dict
    tellings: dict
    due_s: dict
    random: Random
    bounds: Bounds
    uses: list
    frozen: set
    cut: set
    loss: dict


def make_fleet(count, domains, bounds, seed):
    """Return VMs that started a minute ago, in turn over the domains."""
    fleet = Fleet(
        {}, {}, {}, Random(seed), bounds, [], set(), set(), {'ratio': 0.0}
    )
    names = [f'hub-{number:03}' for number in range(count)]
    places = {
        name: VmLocation('', f'd{number % domains}')
        for number, name in enumerate(names)
    }
    for name in names:
        _add(fleet, name, places, -60.0)
    return fleet


def _add(fleet, name, places, start_s):
    seed = fleet.random.getrandbits(32)
    site = make_site(name, places[name].domain, fleet.bounds, start_s, seed)
    set_vms(site, places)
    apply_routing_table(site, make_routing_table())
    apply_registration(site, make_registration(slots=10_000), max(start_s, 0.0))
    fleet.sites[name] = site
    fleet.tellings[name] = make_gossip_state()
    fleet.due_s[name] = max(start_s, 0.0) + fleet.random.random() * STEP_S


def restart(fleet, names, now_s):
    """Kill VMs and let them start: they know the list of all VMs only."""
    for name in names:
        _add(fleet, name, dict(fleet.sites[name].vms), now_s + DOWN_S)


def run_fleet(fleet, from_s, to_s, demand_per_s):
    """Let all VMs take requests of random size and tell their news."""
    now_s = from_s
    mean = 150
    chance = demand_per_s * STEP_S / mean / len(fleet.sites)
    while now_s < to_s:
        for name in fleet.sites:
            if _runs(fleet, name, now_s):
                _step(fleet, name, chance, mean, now_s)
        now_s += STEP_S
    return now_s


def _runs(fleet, name, now_s):
    has_started = now_s >= fleet.sites[name].started_at_s
    return has_started and name not in fleet.frozen


def _step(fleet, name, chance, mean, now_s):
    while fleet.random.random() < chance:
        _take(fleet, name, fleet.random.randrange(1, 2 * mean), now_s)
        if fleet.random.random() > chance:
            break
    if now_s < fleet.due_s[name]:
        return
    site = fleet.sites[name]
    fleet.due_s[name] = now_s + gossip_interval_s(site.flags['grid'])
    telling, multicasts = make_multicasts(site, fleet.tellings[name], now_s)
    fleet.tellings[name] = telling
    for multicast in multicasts:
        for to in multicast.to:
            if not _is_lost(fleet, name, to, now_s):
                deliver(fleet.sites[to], multicast.message, now_s)


def _take(fleet, name, tokens, now_s):
    site = fleet.sites[name]
    try:
        admission, _ = send(site, 'r', now_s, tokens=TokenCounts(tokens, 0))
    except QuotaError:
        return
    fleet.uses.append((now_s, admission.cost))
    caller_disconnected(site.scheduler, admission.request.request_id, now_s)


def _is_lost(fleet, sender, to, now_s):
    if not _runs(fleet, to, now_s):
        return True
    domains = {
        fleet.sites[name].scheduler.flags['failure_domain']
        for name in (sender, to)
    }
    if len(domains) > 1 and domains & fleet.cut:
        return True
    return fleet.random.random() < fleet.loss['ratio']


def deliver(site, message, now_s):
    """Hand a message over, encoded and decoded as on the wire."""
    message = decode_message(encode_message(message))
    if isinstance(message, DomainReport):
        apply_domain_report(site, message, now_s)
    else:
        apply_gossip(site, message.items, now_s)
