"""Simulates VMs of one site that exchange gossip, for tests."""

from random import Random
from typing import NamedTuple

from bluebellhub.peer_messages import decode_message, encode_message
from bluebellhub.request.heads import TokenCounts
from bluebellhub.request.refusal import QuotaError
from bluebellhub.scheduler import caller_disconnected
from bluebellhub.site.crash_evidence import apply_crash_evidence
from bluebellhub.site.domain_reports import apply_domain_report
from bluebellhub.site.gossip import (
    make_gossip_state,
    make_multicasts,
)
from bluebellhub.site.grid import gossip_interval_s
from bluebellhub.site.rejection_limits import apply_rejection_report
from bluebellhub.site.reports import (
    CrashEvidence,
    DomainReport,
    LimitReport,
    RejectionLimitReport,
)
from bluebellhub.site.state import Bounds, make_site, set_vms
from bluebellhub.site.stated_limits import apply_limit_report
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
# A restarted VM serves no sooner after the end of its predecessor.
RESTART_DOWNTIME_S = 0.5


class Fleet(NamedTuple):
    """The VMs, their gossip, and the usage that they admitted.

    ``uses`` holds the time and the tokens of each admitted request. ``frozen``
    names the VMs that do not run, ``partitioned`` the failure domain without a
    connection to the others, and ``loss`` the ratio of messages that are lost.
    """

    sites: dict
    gossip_states: dict
    gossip_due_s: dict
    random: Random
    bounds: Bounds
    uses: list
    frozen: set
    partitioned: set
    loss: dict


def make_fleet(count, domains, bounds, seed):
    """Return VMs that started a minute ago, in turn over the domains."""
    fleet = Fleet(
        {}, {}, {}, Random(seed), bounds, [], set(), set(), {'ratio': 0.0}
    )
    names = [f'hub-{number:03}' for number in range(count)]
    locations = {
        name: VmLocation('', f'd{number % domains}')
        for number, name in enumerate(names)
    }
    for name in names:
        _add(fleet, name, locations, -60.0)
    return fleet


def _add(fleet, name, locations, start_s):
    """Start a VM that knows only the locations of all VMs."""
    seed = fleet.random.getrandbits(32)
    site = make_site(name, locations[name].domain, fleet.bounds, start_s, seed)
    set_vms(site, locations)
    apply_routing_table(site, make_routing_table())
    apply_registration(site, make_registration(slots=10_000), max(start_s, 0.0))
    fleet.sites[name] = site
    fleet.gossip_states[name] = make_gossip_state()
    fleet.gossip_due_s[name] = (
        max(start_s, 0.0) + fleet.random.random() * STEP_S
    )


def restart(fleet, names, now_s):
    """Kill VMs and restart them; they know only the list of all VMs then."""
    for name in names:
        _add(
            fleet, name, dict(fleet.sites[name].vms), now_s + RESTART_DOWNTIME_S
        )


def run_fleet(fleet, from_s, to_s, demand_per_s):
    """Let all VMs admit requests of random size and exchange gossip.

    Returns the time of the end.
    """
    now_s = from_s
    mean_tokens = 150
    chance = demand_per_s * STEP_S / mean_tokens / len(fleet.sites)
    while now_s < to_s:
        for name in fleet.sites:
            if _is_running(fleet, name, now_s):
                _step(fleet, name, chance, mean_tokens, now_s)
        now_s += STEP_S
    return now_s


def _is_running(fleet, name, now_s):
    """Return whether a VM has started and is not frozen."""
    has_started = now_s >= fleet.sites[name].started_at_s
    return has_started and name not in fleet.frozen


def _step(fleet, name, chance, mean_tokens, now_s):
    """Let a VM admit requests at random, and gossip when it is due."""
    while fleet.random.random() < chance:
        _admit(fleet, name, fleet.random.randrange(1, 2 * mean_tokens), now_s)
        if fleet.random.random() > chance:
            break
    if now_s < fleet.gossip_due_s[name]:
        return
    site = fleet.sites[name]
    fleet.gossip_due_s[name] = now_s + gossip_interval_s(site.flags['grid'])
    gossip_state, multicasts = make_multicasts(
        site, fleet.gossip_states[name], now_s
    )
    fleet.gossip_states[name] = gossip_state
    for multicast in multicasts:
        for to in multicast.to:
            if not _is_lost(fleet, name, to, now_s):
                deliver(fleet.sites[to], multicast.message, now_s)


def _admit(fleet, name, tokens, now_s):
    """Admit one request if the quota allows it, and end it at once."""
    site = fleet.sites[name]
    try:
        admission, _ = send(site, 'r', now_s, tokens=TokenCounts(tokens, 0))
    except QuotaError:
        return
    fleet.uses.append((now_s, admission.cost))
    caller_disconnected(site.scheduler, admission.request.request_id, now_s)


def _is_lost(fleet, sender, to, now_s):
    """Return whether a message between two VMs gets lost."""
    if not _is_running(fleet, to, now_s):
        return True
    domains = {
        fleet.sites[name].scheduler.flags['failure_domain']
        for name in (sender, to)
    }
    if len(domains) > 1 and domains & fleet.partitioned:
        return True
    return fleet.random.random() < fleet.loss['ratio']


def deliver(site, message, now_s):
    """Apply a message at a VM, after encoding and decoding as on the wire."""
    message = decode_message(encode_message(message))
    if isinstance(message, DomainReport):
        apply_domain_report(site, message, now_s)
    elif isinstance(message, CrashEvidence):
        apply_crash_evidence(site, message, now_s)
    elif isinstance(message, LimitReport):
        apply_limit_report(site, message, now_s)
    elif isinstance(message, RejectionLimitReport):
        apply_rejection_report(site, message, now_s)
    else:
        apply_gossip(site, message.items, now_s)
