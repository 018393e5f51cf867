"""The HTTP front end for callers."""

from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from typing import Any, Final, NamedTuple
from uuid import uuid4

import msgspec
from quart import Response, request

from bluebellhub.adapters.chat import (
    DEFAULT_OUTPUT_TOKENS,
    analyze_prompt,
    engine_body,
    error_body,
    models_body,
    parse_chat,
    whole_answer,
)
from bluebellhub.adapters.exchange import (
    Exchange,
    Head,
    make_exchange,
)
from bluebellhub.adapters.http_server import (
    HttpApp,
    make_http_app,
    read_body,
)
from bluebellhub.adapters.node import Node, answer_parts, start_request
from bluebellhub.adapters.orders import OrderDesk, place_order
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

LimitsOf = Callable[[Contract], AccountLimits]


class FrontEnd(NamedTuple):
    """What the routes need: the node, account limits and the order desk.

    ``fleet`` is ``None`` on a VM that runs alone.
    """

    node: Node
    limits_of: LimitsOf
    desk: OrderDesk
    fleet: Fleet | None = None


def make_app(front_end: FrontEnd) -> HttpApp:
    """Create the application with its routes."""
    app = make_http_app('bluebellhub')
    limits = front_end.node.settings.limits
    app.config['MAX_CONTENT_LENGTH'] = limits.body_max_bytes
    app.config['BODY_TIMEOUT'] = None
    app.config['RESPONSE_TIMEOUT'] = None
    _add_routes(app, front_end)
    _add_operations(app, front_end)
    return app


def _add_routes(app: HttpApp, front_end: FrontEnd) -> None:
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
        size = sum(len(name) + len(text) for name, text in request.headers)
        if size > limit:
            raise HeaderTooLargeError(
                f'got {size} bytes, expected at most {limit}'
            )

    @app.post('/v1/chat/completions')
    async def chat() -> Response:
        return await _serve_chat(front_end)

    @app.get('/v1/models')
    async def models() -> Response:
        body = models_body(_account(front_end).models)
        return Response(body, content_type=JSON_TYPE)

    methods = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']

    @app.route('/services/<name>/', defaults={'path': ''}, methods=methods)
    @app.route('/services/<name>/<path:path>', methods=methods)
    async def service(name: str, path: str) -> Response:
        return await _serve_service(front_end, name, path)


def _add_operations(app: HttpApp, front_end: FrontEnd) -> None:
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


def _account(front_end: FrontEnd) -> Contract:
    header = request.headers.get('Authorization', '')
    if not header.startswith(BEARER):
        raise UnauthenticatedError('expected a bearer key')
    key = header.removeprefix(BEARER)
    return authenticate(front_end.node.scheduler.contracts, key)


async def _serve_chat(front_end: FrontEnd) -> Response:
    contract = _account(front_end)
    raw = await read_body()
    body = parse_chat(raw)
    tokens, blocks = analyze_prompt(body)
    output = body.get('max_tokens', DEFAULT_OUTPUT_TOKENS)
    tier = check_request(
        contract,
        body['model'],
        request.headers.get('X-Tier'),
        tokens,
        output,
    )
    ask = make_request(
        uuid4().hex,
        tier,
        body['model'],
        account=contract.account,
        route=request.headers.get('X-Route', 'default'),
        prompt_tokens=tokens,
        output_tokens=output,
        prefix_blocks=blocks,
        arrived_at_s=now_s(),
    )
    exchange = make_exchange(ask.request_id, engine_body(raw))
    start_request(front_end.node, ask, front_end.limits_of(contract), exchange)
    if body.get('stream', False):
        return await _stream(front_end, exchange)
    return await _whole(front_end, exchange, ask)


async def _stream(front_end: FrontEnd, exchange: Exchange) -> Response:
    """Answer with a stream; a refusal before its start has a status."""
    parts = answer_parts(front_end.node, exchange)
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


async def _collect(front_end: FrontEnd, exchange: Exchange) -> list[Any]:
    """Wait for the whole answer; raises a refusal on the way."""
    async with aclosing(answer_parts(front_end.node, exchange)) as parts:
        return [part async for part in parts]


async def _whole(
    front_end: FrontEnd, exchange: Exchange, ask: Request
) -> Response:
    frames = b''.join(await _collect(front_end, exchange))
    body = whole_answer(frames, ask.request_id, ask.target, ask.prompt_tokens)
    return Response(body, content_type=JSON_TYPE)


async def _serve_service(front_end: FrontEnd, name: str, path: str) -> Response:
    contract = _account(front_end)
    raw = await read_body()
    tier = check_request(contract, name, request.headers.get('X-Tier'), 0, 0)
    ask = make_request(
        uuid4().hex,
        tier,
        name,
        account=contract.account,
        route=f'{request.method} {path.partition("/")[0]}',
        arrived_at_s=now_s(),
        idempotent=request.method in SAFE_METHODS,
    )
    if request.query_string:
        path = f'{path}?{request.query_string.decode()}'
    exchange = make_exchange(
        ask.request_id,
        raw,
        method=request.method,
        path=path,
        content_type=request.content_type or JSON_TYPE,
    )
    key = request.headers.get('Idempotency-Key')
    if ask.idempotent or key is None:
        head, body = await _call(front_end, contract, ask, exchange)
    else:
        head, body = await place_order(
            front_end.desk,
            f'{contract.account}/{name}/{key}',
            exchange,
            lambda: _call(front_end, contract, ask, exchange),
        )
    response = Response(body, head.status, content_type=head.content_type)
    response.headers['X-Request-Id'] = ask.request_id
    return response


async def _call(
    front_end: FrontEnd, contract: Contract, ask: Request, exchange: Exchange
) -> tuple[Head, bytes]:
    start_request(front_end.node, ask, front_end.limits_of(contract), exchange)
    head, body = await _collect(front_end, exchange)
    return head, body
