"""Which other VMs and failure domains were heard a moment ago."""

from typing import Final

from bluebellhub.site.reports import Peer, RemoteDomain
from bluebellhub.site.state import Site

__all__ = [
    'LIVENESS_TIMEOUT_S',
    'REMOTE_LIVENESS_TIMEOUT_S',
    'first_live_vm',
    'live_domains',
    'live_peers',
    'live_vm_count',
    'live_vm_names',
]

# News older than this count as silence; sums of domains come more slowly.
LIVENESS_TIMEOUT_S: Final = 1.0
REMOTE_LIVENESS_TIMEOUT_S: Final = 1.5


def live_vm_names(site: Site, now_s: float) -> list[str]:
    """Return the names of the VMs that told something a moment ago."""
    return [
        name
        for name, peer in site.peers.items()
        if now_s - peer.received_at_s <= LIVENESS_TIMEOUT_S
    ]


def live_peers(site: Site, now_s: float) -> list[Peer]:
    """Return what the VMs told that were heard a moment ago."""
    return [site.peers[name] for name in live_vm_names(site, now_s)]


def live_domains(site: Site, now_s: float) -> list[RemoteDomain]:
    """Return what other failure domains told a moment ago."""
    return [
        domain
        for domain in site.domains.values()
        if now_s - domain.received_at_s <= REMOTE_LIVENESS_TIMEOUT_S
    ]


def live_vm_count(site: Site, now_s: float) -> int:
    """Count the VMs that are heard singly or in sums, and this one."""
    far = [domain.report.vm_count for domain in live_domains(site, now_s)]
    return 1 + len(live_vm_names(site, now_s)) + sum(far)


def first_live_vm(site: Site, now_s: float) -> str:
    """Return the first by name of the VMs that hear each other."""
    far = [domain.report.first_vm for domain in live_domains(site, now_s)]
    return min([site.vm, *live_vm_names(site, now_s), *far])
