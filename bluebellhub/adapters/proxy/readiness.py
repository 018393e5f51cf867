"""Whether this VM takes callers, and its metrics."""

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


def is_ready(passing: Proxy) -> bool:
    """Tell whether requests can be answered here."""
    site = passing.site
    if site.flags['leaving']:
        return False
    if site.active_config['table'] is None or not site.vms:
        return False
    return bool(site.registrations.entries)


def make_ready_app(passing: Proxy) -> HttpApp:
    """Create the application that tells readiness and metrics."""
    app = make_http_app('bluebellhub-ready')

    @app.get(READY_PATH)
    async def ready() -> Response:
        if is_ready(passing):
            return Response(b'ready\n', 200)
        return Response(b'not ready\n', 503)

    _add_metrics(app, passing)
    return app


def _add_metrics(app: HttpApp, passing: Proxy) -> None:
    node = passing.node

    @app.get('/metrics')
    async def metrics() -> Response:
        body, content_type = render_metrics(node.scheduler, node.latencies)
        return Response(body, content_type=content_type)


async def serve_metrics(passing: Proxy, listen: str) -> None:
    """Serve the metrics on an address of their own until cancelled.

    Requests are served all the same where the address cannot be had.
    """
    app = make_http_app('bluebellhub-metrics')
    _add_metrics(app, passing)
    try:
        await serve_app(app, listen)
    except OSError as error:
        log.error('metrics not served', extra={'cause': str(error)})
