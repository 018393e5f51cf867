"""Runs a VM on the users' platform until it receives SIGTERM."""

import secrets
from functools import partial
from pathlib import Path
from typing import Final

import logbook
import trio

from bluebellhub.adapters.node import make_node, run_ticks
from bluebellhub.adapters.peer_link import close_link, open_peer_link
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
from bluebellhub.adapters.proxy.server import (
    close_idle_connections,
    has_active_requests,
    serve_callers,
)
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.adapters.proxy.store_watch import (
    expire_objects,
    watch_store,
)
from bluebellhub.adapters.proxy.stored_quarantine import (
    run_stored_quarantine,
)
from bluebellhub.adapters.proxy.upstream_connection import close_expired
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
from bluebellhub.rates import ColdBounds, QuotaBounds, RetryBounds
from bluebellhub.settings import Settings, SiteSettings
from bluebellhub.site.state import Bounds, Site, make_site
from bluebellhub.upstream import UpstreamSpec

__all__ = ['run']

# Callers are routed elsewhere after two failed readiness checks, which are
# one second apart.
READINESS_LAG_S: Final = 2.3
# Requests that arrive later than this after SIGTERM are accepted only if
# their time limit ends before the VM stops.
ACCEPT_ALL_S: Final = 2.8
EXIT_MARGIN_S: Final = 0.8
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
            await _stop(settings, watcher.proxy)
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
    proxy = Proxy(node, site, {}, {}, {})
    store = make_store(settings.site.store)
    announced = False
    with isolate_fault('announcement'):
        announced = await announce_vm(store, settings)
    link = await open_peer_link(
        settings.vm, settings.peer_listen or '', site.scheduler.counters
    )
    watcher = make_watcher(proxy, store, link)
    _start_tasks(settings, nursery, watcher)
    nursery.start_soon(
        partial(keep_announcing, watcher, settings, announced=announced)
    )
    return watcher


def _make_site(settings: Settings) -> Site:
    """Create the site's state on this VM, which has read nothing yet."""
    site = make_site(
        settings.vm,
        settings.failure_domain,
        _read_bounds(settings.site),
        now_s(),
        secrets.randbits(SEED_BITS),
    )
    site.flags['unread_kinds'].update(object_handlers.names())
    return site


async def _never_probe(spec: UpstreamSpec) -> None:
    """Log a probe, which the options of a site do not ask for."""
    log.warning('unexpected probe', extra={'upstream': spec.name})


def _read_bounds(site: SiteSettings) -> Bounds:
    """Return the limits that all VMs share, from the settings."""
    return Bounds(
        QuotaBounds(site.quota_window_s, site.quota_overage, site.quota_slack),
        RetryBounds(site.retry_window_s, site.retry_ratio, site.retry_slack),
        ColdBounds(site.cold_overage, site.cold_slack),
    )


def _start_tasks(
    settings: Settings, nursery: trio.Nursery, watcher: Watcher
) -> None:
    proxy = watcher.proxy
    nursery.start_soon(run_ticks, proxy.node)
    for kind in object_handlers.names():
        nursery.start_soon(watch_store, watcher, kind)
    nursery.start_soon(expire_objects, watcher)
    nursery.start_soon(close_expired, proxy.idle_connections)
    nursery.start_soon(run_moves, proxy, watcher.store)
    nursery.start_soon(run_stored_quarantine, watcher)
    nursery.start_soon(receive_gossip, proxy, watcher.link)
    nursery.start_soon(send_gossip, proxy, watcher.link)
    _start_servers(settings, nursery, proxy)


def _start_servers(
    settings: Settings, nursery: trio.Nursery, proxy: Proxy
) -> None:
    site = settings.site
    nursery.start_soon(serve_callers, proxy, settings.listen)
    nursery.start_soon(serve_readiness, proxy, site.ready_listen)
    if site.metrics_listen:
        nursery.start_soon(serve_metrics, proxy, site.metrics_listen)


async def _stop(settings: Settings, proxy: Proxy) -> None:
    """Shut down within the grace period.

    The VM first reports that it is not ready, then closes idle connections,
    then accepts only requests that end in time, and waits for the rest.
    """
    scheduler = proxy.node.scheduler
    log.info('stopping', extra={'running': len(scheduler.requests)})
    started_s = trio.current_time()
    grace_s = settings.site.grace_s
    proxy.site.flags['leaving'] = True
    await trio.sleep(min(READINESS_LAG_S, grace_s * 0.3))
    close_idle_connections(proxy)
    await trio.sleep(min(ACCEPT_ALL_S - READINESS_LAG_S, grace_s * 0.1))
    remaining_s = grace_s - EXIT_MARGIN_S - (trio.current_time() - started_s)
    proxy.site.flags['stops_at_s'] = now_s() + remaining_s
    with trio.move_on_after(max(0.0, remaining_s)):
        while scheduler.requests or has_active_requests(proxy):
            close_idle_connections(proxy)
            await trio.sleep(POLL_INTERVAL_S)
