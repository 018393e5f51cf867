"""HTTP endpoints for the readiness and the metrics of this VM."""

from functools import partial
from typing import Final

import logbook

from bluebellhub.adapters.http_endpoint import Page, serve_pages
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.metrics import render_metrics
from bluebellhub.platform.responses import READY_PATH

__all__ = ['is_ready', 'serve_metrics', 'serve_readiness']

METRICS_PATH: Final = '/metrics'
UNAVAILABLE: Final = 503

log = logbook.Logger('bluebellhub.metrics')


def is_ready(proxy: Proxy) -> bool:
    """Return whether this VM can answer requests."""
    site = proxy.site
    if site.flags['leaving'] or site.flags['unread_kinds']:
        return False
    if site.active_config['table'] is None or not site.vms:
        return False
    return bool(site.registrations.entries)


async def serve_readiness(proxy: Proxy, listen: str) -> None:
    """Serve readiness and metrics until cancelled."""
    pages = {
        READY_PATH: partial(_ready_page, proxy),
        METRICS_PATH: partial(_metrics_page, proxy),
    }
    await serve_pages(pages, listen)


def _ready_page(proxy: Proxy) -> Page:
    if is_ready(proxy):
        return Page(b'ready\n')
    return Page(b'not ready\n', UNAVAILABLE)


def _metrics_page(proxy: Proxy) -> Page:
    node = proxy.node
    body, content_type = render_metrics(node.scheduler, node.latencies)
    return Page(body, content_type=content_type)


async def serve_metrics(proxy: Proxy, listen: str) -> None:
    """Serve the metrics at a separate address until cancelled.

    If the address is not available, the VM runs without this endpoint.
    """
    pages = {METRICS_PATH: partial(_metrics_page, proxy)}
    try:
        await serve_pages(pages, listen)
    except OSError as error:
        log.error('metrics address not available', extra={'cause': str(error)})
