"""Runs a VM on the users' platform until it receives SIGTERM."""

import secrets
from functools import partial
from pathlib import Path
from typing import Final

import logbook
import trio

from bluebellhub.adapters.node import make_node
from bluebellhub.adapters.peer_link import close_link, open_peer_link
from bluebellhub.adapters.proxy.bounds import read_bounds
from bluebellhub.adapters.proxy.duty_kinds import (
    make_duty_work,
    observe_demands,
)
from bluebellhub.adapters.proxy.object_handlers import (
    Watcher,
    make_watcher,
    object_handlers,
)
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.adapters.proxy.stopping import finish_requests
from bluebellhub.adapters.proxy.tasks import start_tasks
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
    proxy = Proxy(node, site, {}, {}, {}, duty_work)
    store = make_store(settings.site.store)
    announced = False
    with isolate_fault('announcement'):
        announced = await announce_vm(store, settings)
    link = await open_peer_link(
        settings.vm, settings.peer_listen or '', site.scheduler.counters
    )
    watcher = make_watcher(proxy, store, link)
    start_tasks(settings, nursery, watcher)
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
    has_helpers = bool(settings.site.forward_listen)
    site.scheduler.flags['checks_links'] = has_helpers
    shares = site.scheduler.domain_shares
    shares.flags['byte_price'] = settings.site.domain_byte_price
    return site


async def _never_probe(spec: UpstreamSpec) -> None:
    """Log a probe, which the options of a site do not ask for."""
    log.warning('unexpected probe', extra={'upstream': spec.name})
