"""News between the VMs of a site."""

import trio

from bluebellhub.adapters.peer_link import (
    PeerLink,
    receive_all,
    reconnect_silent_peers,
    send_all,
)
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.clock import now_s
from bluebellhub.site.domain_reports import apply_domain_report
from bluebellhub.site.gossip import (
    gossip_interval_s,
    make_gossip_state,
    make_multicasts,
)
from bluebellhub.site.grid import local_vm_names
from bluebellhub.site.reports import DomainReport, GossipBatch
from bluebellhub.site.vm_reports import apply_gossip, update_other_vms_load

__all__ = ['hear_news', 'tell_news']


async def tell_news(passing: Proxy, link: PeerLink) -> None:
    """Tell other VMs what has changed here, until cancelled."""
    site = passing.site
    telling = make_gossip_state()
    replaced: dict[str, float] = {}
    while True:
        moment_s = now_s()
        update_other_vms_load(site, moment_s)
        telling, multicasts = make_multicasts(site, telling, moment_s)
        for multicast in multicasts:
            send_all(link, multicast.to, multicast.message)
        heard = {name: peer.received_at_s for name, peer in site.peers.items()}
        near = local_vm_names(site.flags['grid'])
        reconnect_silent_peers(link, near, heard, replaced, moment_s)
        await trio.sleep(gossip_interval_s(site.flags['grid']))


async def hear_news(passing: Proxy, link: PeerLink) -> None:
    """Take the other VMs' news, until cancelled."""

    def receive(_sender: str, message: object) -> None:
        if isinstance(message, GossipBatch):
            apply_gossip(passing.site, message.items, now_s())
        if isinstance(message, DomainReport):
            apply_domain_report(passing.site, message, now_s())

    await receive_all(link, receive)
