"""Runs a VM on the users' platform until it receives SIGTERM."""

import secrets
from functools import partial
from pathlib import Path
from typing import Final

import logbook
import trio

from bluebellhub.adapters.node import make_node, run_ticks
from bluebellhub.adapters.peer_link import close_link, open_peer_link
from bluebellhub.adapters.proxy.bounds import read_bounds
from bluebellhub.adapters.proxy.duties import run_duties
from bluebellhub.adapters.proxy.duty_kinds import (
    make_duty_work,
    observe_demands,
)
from bluebellhub.adapters.proxy.gossip import receive_gossip, send_gossip
from bluebellhub.adapters.proxy.moves import run_moves
from bluebellhub.adapters.proxy.object_handlers import (
    Watcher,
    make_watcher,
    object_handlers,
)
from bluebellhub.adapters.proxy.readiness import (
    serve_metrics,
    serve_readiness,
)
from bluebellhub.adapters.proxy.server import serve_callers
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.adapters.proxy.stopping import finish_requests
from bluebellhub.adapters.proxy.store_relaying import relay_store
from bluebellhub.adapters.proxy.store_watch import (
    expire_objects,
    watch_store,
)
from bluebellhub.adapters.proxy.stored_quarantine import (
    run_stored_quarantine,
)
from bluebellhub.adapters.proxy.upstream_connection import close_expired
from bluebellhub.adapters.proxy.usage_reports import send_usage_reports
from bluebellhub.adapters.proxy.vm_announcement import (
    announce_vm,
    keep_announcing,
)
from bluebellhub.adapters.settings_reload import (
    reload_settings,
    watch_settings,
)
from bluebellhub.adapters.signals import handle_signals
from bluebellhub.clock import now_s
from bluebellhub.faults import isolate_fault
from bluebellhub.platform.store_calls import close_store, make_store
from bluebellhub.settings import Settings
from bluebellhub.site.state import Site, make_site
from bluebellhub.upstream import UpstreamSpec

__all__ = ['run']

POLL_INTERVAL_S: Final = 0.05
SEED_BITS: Final = 32

log = logbook.Logger('bluebellhub.run')


async def run(settings: Settings, path: Path) -> None:
    """Serve until SIGTERM, then finish the requests in progress.

    The settings file at ``path`` is watched for changes.
    """
    site = _make_site(settings)
    reload = partial(reload_settings, path, settings)
    async with handle_signals(reload) as stopping:
        async with trio.open_nursery() as nursery:
            watcher = await _start(settings, nursery, site)
            nursery.start_soon(watch_settings, path, settings)
            log.info('started', extra={'vm': settings.vm})
            await stopping.wait()
            await finish_requests(settings, watcher.proxy)
            nursery.cancel_scope.cancel()
        with trio.move_on_after(POLL_INTERVAL_S, shield=True):
            await close_store(watcher.store)
        close_link(watcher.link)
        log.info('stopped', extra={'vm': settings.vm})


async def _start(
    settings: Settings, nursery: trio.Nursery, site: Site
) -> Watcher:
    """Create the clients of the store and of other VMs; start all tasks.

    The HTTP libraries import modules on first use.  This completes before
    the message library starts its thread, because reading files while a
    thread starts has crashed the process.
    """
    node = make_node(settings, site.scheduler, _never_probe, nursery)
    duty_work = make_duty_work(settings.site.duty, site.start_id)
    proxy = Proxy(node, site, {}, {}, duty_work)
    store = make_store(settings.site.store)
    announced = False
    with isolate_fault('announcement'):
        announced = await announce_vm(store, settings)
    link = await open_peer_link(
        settings.vm, settings.peer_listen or '', site.scheduler.counters
    )
    watcher = make_watcher(proxy, store, link)
    _start_tasks(settings, nursery, watcher)
    if proxy.duty_work is not None:
        nursery.start_soon(send_usage_reports, proxy, link)
        nursery.start_soon(observe_demands, proxy)
    nursery.start_soon(
        partial(keep_announcing, watcher, settings, announced=announced)
    )
    return watcher


def _make_site(settings: Settings) -> Site:
    """Create the site's state on this VM, which has read nothing yet."""
    site = make_site(
        settings.vm,
        settings.failure_domain,
        read_bounds(settings.site),
        now_s(),
        secrets.randbits(SEED_BITS),
    )
    site.flags['unread_kinds'].update(object_handlers.names())
    return site


async def _never_probe(spec: UpstreamSpec) -> None:
    """Log a probe, which the options of a site do not ask for."""
    log.warning('unexpected probe', extra={'upstream': spec.name})


def _start_tasks(
    settings: Settings, nursery: trio.Nursery, watcher: Watcher
) -> None:
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
    if site.metrics_listen:
        nursery.start_soon(serve_metrics, proxy, site.metrics_listen)
