"""A plain service with bookings, which counts how often each one ran."""

from collections import Counter

import msgspec
import trio
from quart import Response

from bluebellhub.adapters.http_server import HttpApp, make_http_app, read_body

__all__ = ['make_service_app']


def make_service_app(runs: Counter[str], delay_s: float = 0.0) -> HttpApp:
    """Create the service; ``runs`` counts the bookings by their body."""
    app = make_http_app('bookings')

    @app.post('/bookings')
    async def book() -> Response:
        body = (await read_body()).decode()
        await trio.sleep(delay_s)
        runs[body] += 1
        return _json({'booked': body, 'number': runs.total()}, 201)

    @app.get('/bookings')
    async def bookings() -> Response:
        return _json(dict(runs))

    @app.get('/v1/load')
    async def load() -> Response:
        report = {
            'age_s': 0.0,
            'boot_id': 'bookings-1',
            'running': 0,
            'waiting_prefill_tokens': 0,
        }
        return _json(report)

    return app


def _json(body: object, status: int = 200) -> Response:
    encoded = msgspec.json.encode(body)
    return Response(encoded, status, content_type='application/json')
