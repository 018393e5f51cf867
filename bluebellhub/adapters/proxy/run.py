"""Runs a VM on the users' platform until it is told to stop."""

import secrets
import signal
from pathlib import Path
from typing import Final

import logbook
import trio

from bluebellhub.adapters.connections import make_connections
from bluebellhub.adapters.http_server import HttpApp, serve_app
from bluebellhub.adapters.node import make_node, run_ticks
from bluebellhub.adapters.peer_link import close_link, make_peer_link
from bluebellhub.adapters.proxy.gossip import hear_news, tell_news
from bluebellhub.adapters.proxy.moves import run_moves
from bluebellhub.adapters.proxy.readiness import (
    make_ready_app,
    serve_metrics,
)
from bluebellhub.adapters.proxy.server import (
    close_idle,
    is_answering,
    serve_callers,
)
from bluebellhub.adapters.proxy.settings_reload import (
    follow_settings,
    read_again,
)
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.adapters.proxy.store_watch import (
    Watcher,
    drop_overdue_upstreams,
    takers,
    watch_store,
)
from bluebellhub.adapters.proxy.upstream_connection import close_expired
from bluebellhub.adapters.proxy.vm_announcement import (
    announce_vm,
    keep_announcing,
)
from bluebellhub.clock import now_s
from bluebellhub.platform.store import close_store, make_store
from bluebellhub.rates import ColdBounds, QuotaBounds, RetryBounds
from bluebellhub.settings import Settings, SiteSettings
from bluebellhub.site.state import Bounds, make_site

__all__ = ['run_site']

# Callers are sent elsewhere after two failed questions, a second apart.
UNNOTICED_S: Final = 2.3
# Later ones are taken only if their time limit ends before the VM does.
ACCEPT_S: Final = 2.8
EXIT_MARGIN_S: Final = 0.8
STEP_S: Final = 0.05
SEED_BITS: Final = 32

log = logbook.Logger('bluebellhub.run')


async def run_site(settings: Settings, path: Path) -> None:
    """Serve until SIGTERM, then finish what runs; ``path`` is looked at."""
    async with trio.open_nursery() as nursery:
        passing = _make_passing(settings, nursery)
        watcher = await _start(settings, nursery, passing)
        nursery.start_soon(follow_settings, path, settings)
        log.info('started', extra={'vm': settings.vm})
        await _await_stop(path, settings)
        await _stop(settings, passing)
        nursery.cancel_scope.cancel()
    with trio.move_on_after(STEP_S, shield=True):
        await close_store(watcher.store)
    close_link(watcher.link)
    log.info('stopped', extra={'vm': settings.vm})


async def _start(
    settings: Settings, nursery: trio.Nursery, passing: Proxy
) -> Watcher:
    """Open the ways out and start all tasks.

    HTTP libraries import modules at their first use.  That is over before
    the message library starts its thread: files read beside the start of a
    thread have crashed the process.
    """
    store = make_store(settings.site.store)
    app = make_ready_app(passing)
    announced = await announce_vm(store, settings)
    counters = passing.node.scheduler.counters
    link = make_peer_link(settings.vm, settings.peer_listen or '', counters)
    watcher = Watcher(passing, store, link, {}, {})
    _start_tasks(settings, nursery, watcher, app)
    if not announced:
        nursery.start_soon(keep_announcing, store, settings)
    return watcher


def _make_passing(settings: Settings, nursery: trio.Nursery) -> Proxy:
    site = make_site(
        settings.vm,
        settings.failure_domain,
        _read_bounds(settings.site),
        now_s(),
        secrets.randbits(SEED_BITS),
    )
    connections = make_connections(settings.limits.connect_timeout_s)
    node = make_node(settings, site.scheduler, connections, nursery)
    return Proxy(node, site, {}, {})


def _read_bounds(site: SiteSettings) -> Bounds:
    return Bounds(
        QuotaBounds(site.quota_window_s, site.quota_overage, site.quota_slack),
        RetryBounds(site.retry_window_s, site.retry_ratio, site.retry_slack),
        ColdBounds(site.cold_overage, site.cold_slack),
    )


def _start_tasks(
    settings: Settings, nursery: trio.Nursery, watcher: Watcher, app: HttpApp
) -> None:
    passing = watcher.passing
    nursery.start_soon(run_ticks, passing.node)
    for kind in takers.names():
        nursery.start_soon(watch_store, watcher, kind)
    nursery.start_soon(drop_overdue_upstreams, watcher)
    nursery.start_soon(close_expired, passing.kept)
    nursery.start_soon(run_moves, passing, watcher.store)
    nursery.start_soon(hear_news, passing, watcher.link)
    nursery.start_soon(tell_news, passing, watcher.link)
    _start_servers(settings, nursery, passing, app)


def _start_servers(
    settings: Settings, nursery: trio.Nursery, passing: Proxy, app: HttpApp
) -> None:
    site = settings.site
    nursery.start_soon(serve_callers, passing, settings.listen)
    nursery.start_soon(serve_app, app, site.ready_listen)
    if site.metrics_listen:
        nursery.start_soon(serve_metrics, passing, site.metrics_listen)


async def _await_stop(path: Path, settings: Settings) -> None:
    """Wait for SIGTERM; at SIGHUP read the settings file again."""
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*signals) as received:
        async for number in received:
            if number != signal.SIGHUP:
                return
            read_again(path, settings)


async def _stop(settings: Settings, passing: Proxy) -> None:
    """Leave in order: unready, no idle callers, no new work, end."""
    scheduler = passing.node.scheduler
    log.info('stopping', extra={'running': len(scheduler.requests)})
    started_s = trio.current_time()
    grace_s = settings.site.grace_s
    passing.site.flags['leaving'] = True
    await trio.sleep(min(UNNOTICED_S, grace_s * 0.3))
    close_idle(passing)
    await trio.sleep(min(ACCEPT_S - UNNOTICED_S, grace_s * 0.1))
    left_s = grace_s - EXIT_MARGIN_S - (trio.current_time() - started_s)
    passing.site.flags['stops_at_s'] = now_s() + left_s
    with trio.move_on_after(max(0.0, left_s)):
        while scheduler.requests or is_answering(passing):
            close_idle(passing)
            await trio.sleep(STEP_S)
