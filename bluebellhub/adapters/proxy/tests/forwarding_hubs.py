"""Two VMs on the loopback interface, one of them without links to upstreams."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from typing import NamedTuple

import trio

from bluebellhub.adapters.proxy.server import serve_peer_connection
from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    RunningHub,
    listen,
    running_hub,
)
from bluebellhub.clock import now_s
from bluebellhub.reachability import (
    apply_check,
    begin_check,
    record_peers_contact,
    update_phase,
)
from bluebellhub.site.contact import set_peers_contact
from bluebellhub.site.reports import Peer, VmReport
from bluebellhub.site.state import set_vms
from bluebellhub.site.vm_location import VmLocation

__all__ = [
    'HELPER',
    'ForwardingHubs',
    'announce_helper',
    'cut_off',
    'forwarding_hubs',
]

HELPER = 'hub-2'
# Nothing listens there.
DEAD_ADDRESS = '127.0.0.1:1'
REPORT_INTERVAL_S = 0.1


class ForwardingHubs(NamedTuple):
    """The VM without links, and the one that has some and its peer port."""

    cut: RunningHub
    helper: RunningHub
    peer_port: int


def cut_off(hub):
    """Let a VM find out that it reaches no upstream while another VM does."""
    links = hub.proxy.site.scheduler.links
    begin_check(links, now_s())
    apply_check(links, is_reached=False, now_s=now_s())
    record_peers_contact(links, now_s())
    update_phase(links, now_s())


def announce_helper(hub, port, name=HELPER, **fields):
    """Let a VM know another one, and its report."""
    site = hub.proxy.site
    location = VmLocation('127.0.0.1:1', 'd', f'127.0.0.1:{port}')
    set_vms(site, {**site.vms, 'hub-1': location, name: location})
    report = VmReport(2, 9.0, 1, {}, {}, {}, **{'contact_age_s': 0.0, **fields})
    site.peers[name] = Peer(report, now_s())


async def _keep_reporting(hub, port):
    while True:
        announce_helper(hub, port)
        set_peers_contact(hub.proxy.site, now_s())
        await trio.sleep(REPORT_INTERVAL_S)


@asynccontextmanager
async def forwarding_hubs(
    *scripts, addresses=(DEAD_ADDRESS,), **fields
) -> AsyncIterator[ForwardingHubs]:
    """Run a VM whose upstreams are at ``addresses``, and a helper.

    The upstreams of the helper follow the scripts.
    """
    async with running_hub(*scripts, **fields) as helper:
        async with running_hub(addresses=addresses, **fields) as hub:
            async with trio.open_nursery() as nursery:
                handler = partial(serve_peer_connection, helper.proxy)
                port = await listen(nursery, handler)
                announce_helper(helper, port)
                nursery.start_soon(_keep_reporting, hub, port)
                yield ForwardingHubs(hub, helper, port)
                nursery.cancel_scope.cancel()
