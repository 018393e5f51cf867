"""Starts the tasks of a VM on the users' platform."""

import trio

from bluebellhub.adapters.node import run_ticks
from bluebellhub.adapters.proxy.duties import run_duties
from bluebellhub.adapters.proxy.gossip import receive_gossip, send_gossip
from bluebellhub.adapters.proxy.moves import run_moves
from bluebellhub.adapters.proxy.object_handlers import (
    Watcher,
    object_handlers,
)
from bluebellhub.adapters.proxy.readiness import (
    serve_metrics,
    serve_readiness,
)
from bluebellhub.adapters.proxy.server import serve_callers, serve_peers
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.adapters.proxy.store_relaying import relay_store
from bluebellhub.adapters.proxy.store_watch import (
    expire_objects,
    watch_store,
)
from bluebellhub.adapters.proxy.stored_quarantine import (
    run_stored_quarantine,
)
from bluebellhub.adapters.proxy.upstream_connection import close_expired
from bluebellhub.settings import Settings

__all__ = ['start_tasks']


def start_tasks(
    settings: Settings, nursery: trio.Nursery, watcher: Watcher
) -> None:
    """Start the tasks that serve callers and follow store and other VMs."""
    proxy = watcher.proxy
    nursery.start_soon(run_ticks, proxy.node)
    _start_watches(nursery, watcher)
    nursery.start_soon(close_expired, proxy.idle_connections)
    nursery.start_soon(run_moves, proxy, watcher.store)
    nursery.start_soon(run_stored_quarantine, watcher)
    if settings.site.duty.duties:
        nursery.start_soon(run_duties, watcher, settings)
    _start_gossip(nursery, watcher)
    _start_servers(settings, nursery, proxy)


def _start_gossip(nursery: trio.Nursery, watcher: Watcher) -> None:
    nursery.start_soon(receive_gossip, watcher.proxy, watcher.link)
    nursery.start_soon(send_gossip, watcher.proxy, watcher.link)


def _start_watches(nursery: trio.Nursery, watcher: Watcher) -> None:
    for kind in object_handlers.names():
        nursery.start_soon(watch_store, watcher, kind)
    nursery.start_soon(relay_store, watcher)
    nursery.start_soon(expire_objects, watcher)


def _start_servers(
    settings: Settings, nursery: trio.Nursery, proxy: Proxy
) -> None:
    site = settings.site
    nursery.start_soon(serve_callers, proxy, settings.listen)
    nursery.start_soon(serve_readiness, proxy, site.ready_listen)
    if site.forward_listen:
        nursery.start_soon(serve_peers, proxy, site.forward_listen)
    if site.metrics_listen:
        nursery.start_soon(serve_metrics, proxy, site.metrics_listen)
