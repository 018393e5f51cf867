"""When the VMs last got something from an upstream, by their reports.

A VM whose attempts all fail compares itself with the others: if they are in
contact with upstreams, its own links are cut.
"""

from math import isfinite

from bluebellhub.reachability import is_cut_off, record_peers_contact
from bluebellhub.site.liveness import live_domains, live_vm_names
from bluebellhub.site.reports import Peer
from bluebellhub.site.state import Site

__all__ = [
    'contact_age_s',
    'cut_off_vms',
    'older_contact_s',
    'set_peers_contact',
    'shortest_contact_age_s',
]


def contact_age_s(site: Site, now_s: float) -> float | None:
    """Return how long ago this VM got something from an upstream.

    This is ``None`` if it never did, or if it is cut off.
    """
    links = site.scheduler.links
    age_s = now_s - links.status['contact_at_s']
    return None if is_cut_off(links) or not isfinite(age_s) else age_s


def older_contact_s(peer: Peer, now_s: float) -> float | None:
    """Return how long ago another VM got something, for a relayed report."""
    age_s = peer.report.contact_age_s
    return None if age_s is None else age_s + now_s - peer.received_at_s


def cut_off_vms(site: Site, now_s: float) -> list[str]:
    """Return the VMs of this failure domain that are cut off, by name."""
    names = [
        name
        for name in live_vm_names(site, now_s)
        if site.peers[name].report.is_cut_off
    ]
    if is_cut_off(site.scheduler.links):
        names.append(site.vm)
    return sorted(names)


def shortest_contact_age_s(site: Site, now_s: float) -> float | None:
    """Return how long ago a VM of this failure domain got something."""
    ages_s = [
        contact_age_s(site, now_s),
        *(
            older_contact_s(site.peers[name], now_s)
            for name in live_vm_names(site, now_s)
        ),
    ]
    return min((age_s for age_s in ages_s if age_s is not None), default=None)


def set_peers_contact(site: Site, now_s: float) -> None:
    """Set when another VM last got something, by the newest reports."""
    received = [
        (site.peers[name].report.contact_age_s, site.peers[name].received_at_s)
        for name in live_vm_names(site, now_s)
    ]
    received.extend(
        (domain.report.contact_age_s, domain.received_at_s)
        for domain in live_domains(site, now_s)
    )
    for age_s, received_at_s in received:
        if age_s is not None:
            record_peers_contact(site.scheduler.links, received_at_s - age_s)
