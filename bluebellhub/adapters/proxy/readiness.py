"""HTTP endpoints for the readiness and the metrics of this VM."""

import logbook
from quart import Response

from bluebellhub.adapters.http_server import (
    HttpApp,
    make_http_app,
    serve_app,
)
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.metrics import render_metrics
from bluebellhub.platform.responses import READY_PATH

__all__ = ['is_ready', 'make_ready_app', 'serve_metrics']

log = logbook.Logger('bluebellhub.metrics')


def is_ready(proxy: Proxy) -> bool:
    """Return whether this VM can answer requests."""
    site = proxy.site
    if site.flags['leaving']:
        return False
    if site.active_config['table'] is None or not site.vms:
        return False
    return bool(site.registrations.entries)


def make_ready_app(proxy: Proxy) -> HttpApp:
    """Create the application that serves readiness and metrics."""
    app = make_http_app('bluebellhub-ready')

    @app.get(READY_PATH)
    async def ready() -> Response:
        if is_ready(proxy):
            return Response(b'ready\n', 200)
        return Response(b'not ready\n', 503)

    _add_metrics(app, proxy)
    return app


def _add_metrics(app: HttpApp, proxy: Proxy) -> None:
    node = proxy.node

    @app.get('/metrics')
    async def metrics() -> Response:
        body, content_type = render_metrics(node.scheduler, node.latencies)
        return Response(body, content_type=content_type)


async def serve_metrics(proxy: Proxy, listen: str) -> None:
    """Serve the metrics at a separate address until cancelled.

    If the address is not available, the VM runs without this endpoint.
    """
    app = make_http_app('bluebellhub-metrics')
    _add_metrics(app, proxy)
    try:
        await serve_app(app, listen)
    except OSError as error:
        log.error('metrics address not available', extra={'cause': str(error)})
