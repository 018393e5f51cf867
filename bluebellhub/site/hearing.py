"""Which other VMs were heard a moment ago."""

from typing import Final

from bluebellhub.site.news import Peer
from bluebellhub.site.state import Site

__all__ = ['HEARD_S', 'heard_names', 'heard_peers']

# News older than this count as silence.
HEARD_S: Final = 1.0


def heard_names(site: Site, now_s: float) -> list[str]:
    """Return the names of the VMs that told something a moment ago."""
    return [
        name
        for name, peer in site.peers.items()
        if now_s - peer.heard_at_s <= HEARD_S
    ]


def heard_peers(site: Site, now_s: float) -> list[Peer]:
    """Return what the VMs told that were heard a moment ago."""
    return [site.peers[name] for name in heard_names(site, now_s)]
