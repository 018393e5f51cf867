"""A plain service for bookings that counts executions of each one."""

from collections import Counter

import msgspec
import trio
from quart import Response

from bluebellhub.adapters.http_server import HttpApp, make_http_app, read_body

__all__ = ['make_service_app']


def make_service_app(
    booking_counts: Counter[str], delay_s: float = 0.0
) -> HttpApp:
    """Create the service; ``booking_counts`` counts executions by body."""
    app = make_http_app('bookings')

    @app.post('/bookings')
    async def add_booking() -> Response:
        body = (await read_body()).decode()
        await trio.sleep(delay_s)
        booking_counts[body] += 1
        return _json({'booked': body, 'number': booking_counts.total()}, 201)

    @app.get('/bookings')
    async def list_bookings() -> Response:
        return _json(dict(booking_counts))

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
