"""Whether this VM takes callers, and its metrics."""

from quart import Response

from bluebellhub.adapters.http_server import HttpApp, make_http_app
from bluebellhub.adapters.passing.state import Passing
from bluebellhub.metrics import render_metrics
from bluebellhub.platform.answers import READY_PATH

__all__ = ['is_ready', 'make_ready_app']


def is_ready(passing: Passing) -> bool:
    """Tell whether requests can be answered here."""
    site = passing.site
    if site.flags['leaving']:
        return False
    if site.in_force['table'] is None or not site.vms:
        return False
    return bool(site.roster.entries)


def make_ready_app(passing: Passing) -> HttpApp:
    """Create the application that tells readiness and metrics."""
    app = make_http_app('bluebellhub-ready')

    @app.get(READY_PATH)
    async def ready() -> Response:
        if is_ready(passing):
            return Response(b'ready\n', 200)
        return Response(b'not ready\n', 503)

    @app.get('/metrics')
    async def metrics() -> Response:
        body, content_type = render_metrics(passing.node.scheduler)
        return Response(body, content_type=content_type)

    return app
