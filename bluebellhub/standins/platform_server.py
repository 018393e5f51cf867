"""HTTP server of the platform stand-in.

``POST /control`` sets its faults and the VM list from a JSON object.
"""

import msgspec
import trio
from quart import Response, request

from bluebellhub.adapters.http_server import HttpApp, make_http_app, read_body
from bluebellhub.adapters.platform import VmEntry
from bluebellhub.configuration import StoredObject
from bluebellhub.errors import ConflictError, ObjectError
from bluebellhub.standins.platform_model import (
    PlatformModel,
    changes_since,
    config_revision,
    read_object,
    visible_vms,
    write_object,
)

__all__ = ['make_platform_app']

WATCH_POLL_INTERVAL_S = 0.02


def _json(body: object, status: int = 200) -> Response:
    encoded = msgspec.json.encode(body)
    return Response(encoded, status, content_type='application/json')


def make_platform_app(model: PlatformModel) -> HttpApp:
    """Create the HTTP application of a platform model."""
    app = make_http_app('platform')
    _add_control(app, model)
    _add_object_routes(app, model)
    _add_list_routes(app, model)
    return app


def _add_control(app: HttpApp, model: PlatformModel) -> None:
    @app.before_request
    async def apply_faults() -> Response | None:
        if request.path == '/control':
            return None
        model.calls[request.path.split('/')[2]] += 1
        await trio.sleep(model.state['delay_s'])
        if model.state['down']:
            return _json({'reason': 'outage'}, 503)
        return None

    @app.post('/control')
    async def control() -> Response:
        fields = msgspec.json.decode(await read_body())
        vms = fields.pop('vms', None)
        if vms is not None:
            entries = msgspec.convert(vms, tuple[VmEntry, ...])
            model.vms.append((trio.current_time(), entries))
        model.state.update(fields)
        return _json(dict(model.calls))


def _write(
    model: PlatformModel, kind: str, name: str, spec: dict | None
) -> Response:
    expected = int(request.headers.get('If-Match', '0'))
    try:
        stored = write_object(model, kind, name, spec, expected)
    except ConflictError as error:
        return _json({'version': error.found}, 409)
    except ObjectError as error:
        return _json({'reason': error.reason}, 422)
    if model.state['lose_replies'] > 0:
        model.state['lose_replies'] -= 1
        return _json({'reason': 'answer lost'}, 504)
    return _json(stored)


def _add_object_routes(app: HttpApp, model: PlatformModel) -> None:
    @app.get('/v1/objects/<kind>/<name>')
    async def get(kind: str, name: str) -> Response:
        stored = read_object(model, kind, name)
        return _json(stored, 200 if stored.version else 404)

    @app.put('/v1/objects/<kind>/<name>')
    async def put(kind: str, name: str) -> Response:
        spec = msgspec.json.decode(await read_body())
        return _write(model, kind, name, spec)

    @app.delete('/v1/objects/<kind>/<name>')
    async def delete(kind: str, name: str) -> Response:
        return _write(model, kind, name, None)


def _add_list_routes(app: HttpApp, model: PlatformModel) -> None:
    @app.get('/v1/objects/<kind>')
    async def list_kind(kind: str) -> Response:
        listed: list[StoredObject] = [
            stored
            for stored in model.objects.values()
            if stored.kind == kind and stored.spec is not None
        ]
        return _json((model.state['revision'], listed))

    @app.get('/v1/watch')
    async def watch() -> Response:
        since = int(request.args['since'])
        wait_s = float(request.args['wait_s'])
        with trio.move_on_after(wait_s):
            while not changes_since(model, since):
                await trio.sleep(WATCH_POLL_INTERVAL_S)
        changed = changes_since(model, since)
        return _json((config_revision(model), changed))

    @app.get('/v1/vms')
    async def vms() -> Response:
        return _json(visible_vms(model, trio.current_time()))
