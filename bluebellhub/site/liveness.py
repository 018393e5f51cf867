"""Failure detection: which VMs and failure domains sent a report lately."""

from typing import Final

from bluebellhub.site.reports import Peer, RemoteDomain
from bluebellhub.site.state import Site

__all__ = [
    'LIVENESS_TIMEOUT_S',
    'REMOTE_LIVENESS_TIMEOUT_S',
    'first_live_vm',
    'first_live_vms',
    'live_domains',
    'live_peers',
    'live_share',
    'live_vm_count',
    'live_vm_names',
]

# A VM or a domain is live if its last report arrived within this time. Domains
# report less often.
LIVENESS_TIMEOUT_S: Final = 1.0
REMOTE_LIVENESS_TIMEOUT_S: Final = 1.5


def live_vm_names(site: Site, now_s: float) -> list[str]:
    """Return the names of the other VMs with a recent report."""
    return [
        name
        for name, peer in site.peers.items()
        if now_s - peer.received_at_s <= LIVENESS_TIMEOUT_S
    ]


def live_peers(site: Site, now_s: float) -> list[Peer]:
    """Return the other VMs with a recent report."""
    return [site.peers[name] for name in live_vm_names(site, now_s)]


def live_domains(site: Site, now_s: float) -> list[RemoteDomain]:
    """Return the other failure domains with a recent report."""
    return [
        domain
        for domain in site.domains.values()
        if now_s - domain.received_at_s <= REMOTE_LIVENESS_TIMEOUT_S
    ]


def live_vm_count(site: Site, now_s: float) -> int:
    """Count the live VMs: this one, its peers and those of remote domains."""
    remote = [domain.report.vm_count for domain in live_domains(site, now_s)]
    return 1 + len(live_vm_names(site, now_s)) + sum(remote)


def first_live_vm(site: Site, now_s: float) -> str:
    """Return the first by name of the live VMs, this one included."""
    remote = [domain.report.first_vm for domain in live_domains(site, now_s)]
    return min([site.vm, *live_vm_names(site, now_s), *remote])


def first_live_vms(site: Site, now_s: float) -> list[str]:
    """Return the first live VM by name of each failure domain.

    Of remote domains a VM of a large site knows no other. All VMs get the same
    list as far as they agree on which VMs are live.
    """
    first_by_domain = {site.scheduler.flags['failure_domain']: site.vm}
    for name in live_vm_names(site, now_s):
        location = site.vms.get(name)
        if location is not None:
            first = first_by_domain.get(location.domain, name)
            first_by_domain[location.domain] = min(first, name)
    for remote in live_domains(site, now_s):
        domain, name = remote.report.domain, remote.report.first_vm
        first_by_domain[domain] = min(first_by_domain.get(domain, name), name)
    return sorted(set(first_by_domain.values()))


def live_share(site: Site, now_s: float) -> float:
    """Return the ratio of the VMs that are live, this one included."""
    live_count = live_vm_count(site, now_s)
    return live_count / max(live_count, len(site.vms))
