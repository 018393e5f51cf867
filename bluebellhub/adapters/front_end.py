"""The HTTP front end for callers."""

from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from typing import Any, Final, NamedTuple
from uuid import uuid4

import msgspec
from quart import Response
from quart import request as http_request

from bluebellhub.adapters.chat import (
    DEFAULT_OUTPUT_TOKENS,
    analyze_prompt,
    engine_body,
    error_body,
    join_frames,
    models_body,
    parse_chat,
)
from bluebellhub.adapters.connections import Connections
from bluebellhub.adapters.exchange import Exchange, Head, make_exchange
from bluebellhub.adapters.http_server import HttpApp, make_http_app, read_body
from bluebellhub.adapters.node import Node, start_request
from bluebellhub.adapters.order_shards import OrderCoordinator
from bluebellhub.adapters.orders import place_order
from bluebellhub.adapters.prompt import identify_prompt
from bluebellhub.adapters.response_stream import stream_response
from bluebellhub.adapters.status import describe
from bluebellhub.clock import now_s
from bluebellhub.contract import (
    AccountLimits,
    Contract,
    authenticate,
    check_request,
)
from bluebellhub.fleet import Fleet
from bluebellhub.metrics import render_metrics
from bluebellhub.request import RefusalError, Request, make_request
from bluebellhub.request.refusal import (
    BodyTooLargeError,
    HeaderTooLargeError,
    UnauthenticatedError,
)

__all__ = ['FrontEnd', 'make_app']

JSON_TYPE: Final = 'application/json'
SSE_TYPE: Final = 'text/event-stream'
SAFE_METHODS: Final = frozenset(('GET', 'HEAD'))
BEARER: Final = 'Bearer '

LimitsLookup = Callable[[Contract], AccountLimits]


class FrontEnd(NamedTuple):
    """Root of the aggregate; without a platform ``fleet`` is ``None``."""

    node: Node
    connections: Connections
    get_limits: LimitsLookup
    orders: OrderCoordinator
    fleet: Fleet | None = None


def make_app(front_end: FrontEnd) -> HttpApp:
    """Create the HTTP application with all its routes."""
    app = make_http_app('bluebellhub')
    limits = front_end.node.settings.limits
    app.config['MAX_CONTENT_LENGTH'] = limits.body_max_bytes
    app.config['BODY_TIMEOUT'] = None
    app.config['RESPONSE_TIMEOUT'] = None
    _add_routes(app, front_end)
    _add_operations(app, front_end)
    return app


def _add_routes(app: HttpApp, front_end: FrontEnd) -> None:
    """Add the routes for callers and the handlers of their errors."""

    @app.errorhandler(RefusalError)
    async def refuse(error: RefusalError) -> Response:
        return _refusal_response(front_end, error)

    @app.errorhandler(413)
    async def refuse_large(_error: Exception) -> Response:
        limit = front_end.node.settings.limits.body_max_bytes
        refusal = BodyTooLargeError(f'expected at most {limit} bytes')
        return _refusal_response(front_end, refusal)

    @app.before_request
    async def check_header() -> None:
        limit = front_end.node.settings.limits.header_max_bytes
        size = sum(len(name) + len(text) for name, text in http_request.headers)
        if size > limit:
            raise HeaderTooLargeError(
                f'got {size} bytes, expected at most {limit}'
            )

    @app.post('/v1/chat/completions')
    async def chat() -> Response:
        return await _serve_chat(front_end)

    @app.get('/v1/models')
    async def models() -> Response:
        body = models_body(_authenticate_caller(front_end).models)
        return Response(body, content_type=JSON_TYPE)

    methods = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']

    @app.route('/services/<name>/', defaults={'path': ''}, methods=methods)
    @app.route('/services/<name>/<path:path>', methods=methods)
    async def service(name: str, path: str) -> Response:
        return await _serve_service(front_end, name, path)


def _add_operations(app: HttpApp, front_end: FrontEnd) -> None:
    """Add the routes for operators and monitoring."""
    flags = front_end.node.scheduler.flags

    @app.get('/health')
    async def health() -> Response:
        status = 503 if flags['isolated'] else 200
        return Response(b'isolated\n' if flags['isolated'] else b'ok\n', status)

    @app.get('/ready')
    async def ready() -> Response:
        closed = flags['draining'] or flags['isolated']
        return Response(b'no\n' if closed else b'yes\n', 503 if closed else 200)

    @app.get('/status')
    async def status() -> Response:
        body = msgspec.json.encode(describe(front_end.node, front_end.fleet))
        return Response(body, content_type=JSON_TYPE)

    @app.get('/metrics')
    async def metrics() -> Response:
        body, content_type = render_metrics(
            front_end.node.scheduler, front_end.node.latencies
        )
        return Response(body, content_type=content_type)


def _refusal_response(front_end: FrontEnd, error: RefusalError) -> Response:
    """Return the response for a refusal, and count it if not yet counted."""
    if not error.counted:
        counters = front_end.node.scheduler.counters
        counters['front_end_refusals', error.reason] += 1
    headers = {}
    if error.retry_after_s is not None:
        headers['Retry-After'] = str(max(1, round(error.retry_after_s)))
    return Response(
        error_body(error),
        error.status,
        headers,
        content_type=JSON_TYPE,
    )


def _authenticate_caller(front_end: FrontEnd) -> Contract:
    """Return the contract of the request's key; raises `RefusalError`."""
    header = http_request.headers.get('Authorization', '')
    if not header.startswith(BEARER):
        raise UnauthenticatedError('expected a bearer key')
    key = header.removeprefix(BEARER)
    return authenticate(front_end.node.scheduler.contracts, key)


async def _serve_chat(front_end: FrontEnd) -> Response:
    contract = _authenticate_caller(front_end)
    raw_body = await read_body()
    body = parse_chat(raw_body)
    tokens, blocks = analyze_prompt(body)
    output = body.get('max_tokens', DEFAULT_OUTPUT_TOKENS)
    tier = check_request(
        contract,
        body['model'],
        http_request.headers.get('X-Tier'),
        tokens,
        output,
    )
    request = make_request(
        uuid4().hex,
        tier,
        body['model'],
        account=contract.account,
        route=http_request.headers.get('X-Route', 'default'),
        prompt_tokens=tokens,
        output_tokens=output,
        prefix_blocks=blocks,
        prompt_parts=identify_prompt(blocks),
        arrived_at_s=now_s(),
    )
    exchange = make_exchange(request.request_id, engine_body(raw_body))
    start_request(
        front_end.node, request, front_end.get_limits(contract), exchange
    )
    if body.get('stream', False):
        return await _respond_streaming(front_end, exchange)
    return await _respond_unstreamed(front_end, exchange, request)


async def _respond_streaming(
    front_end: FrontEnd, exchange: Exchange
) -> Response:
    """Respond with a stream.

    Raises a refusal before the first part, so that it is sent with its own
    HTTP status; a later one is sent as an event of the stream.
    """
    parts = stream_response(front_end.node, front_end.connections, exchange)
    first = await anext(parts)

    async def body() -> AsyncIterator[Any]:
        async with aclosing(parts):
            yield first
            try:
                async for part in parts:
                    yield part
            except RefusalError as error:
                yield b'event: error\ndata: %s\n\n' % error_body(error)

    response = Response(body(), content_type=SSE_TYPE)
    response.timeout = None
    response.headers['X-Request-Id'] = exchange.request_id
    return response


async def _collect_response(
    front_end: FrontEnd, exchange: Exchange
) -> list[Any]:
    """Wait for the complete response; raises the refusal if there is one."""
    stream = stream_response(front_end.node, front_end.connections, exchange)
    async with aclosing(stream) as parts:
        return [part async for part in parts]


async def _respond_unstreamed(
    front_end: FrontEnd, exchange: Exchange, request: Request
) -> Response:
    frames = b''.join(await _collect_response(front_end, exchange))
    body = join_frames(
        frames, request.request_id, request.target, request.prompt_tokens
    )
    return Response(body, content_type=JSON_TYPE)


async def _serve_service(front_end: FrontEnd, name: str, path: str) -> Response:
    contract = _authenticate_caller(front_end)
    raw_body = await read_body()
    tier = check_request(
        contract, name, http_request.headers.get('X-Tier'), 0, 0
    )
    request = make_request(
        uuid4().hex,
        tier,
        name,
        account=contract.account,
        route=f'{http_request.method} {path.partition("/")[0]}',
        arrived_at_s=now_s(),
        idempotent=http_request.method in SAFE_METHODS,
    )
    if http_request.query_string:
        path = f'{path}?{http_request.query_string.decode()}'
    exchange = make_exchange(
        request.request_id,
        raw_body,
        method=http_request.method,
        path=path,
        content_type=http_request.content_type or JSON_TYPE,
    )
    key = http_request.headers.get('Idempotency-Key')
    if request.idempotent or key is None:
        head, body = await _call_service(front_end, contract, request, exchange)
    else:
        head, body = await place_order(
            front_end.orders,
            f'{contract.account}/{name}/{key}',
            exchange,
            lambda: _call_service(front_end, contract, request, exchange),
        )
    response = Response(body, head.status, content_type=head.content_type)
    response.headers['X-Request-Id'] = request.request_id
    return response


async def _call_service(
    front_end: FrontEnd,
    contract: Contract,
    request: Request,
    exchange: Exchange,
) -> tuple[Head, bytes]:
    """Submit a request to a plain service and wait for its response."""
    start_request(
        front_end.node, request, front_end.get_limits(contract), exchange
    )
    head, body = await _collect_response(front_end, exchange)
    return head, body
