"""Attempts at upstreams: a registry of functions by the upstream's kind.

An attempt sends the request and yields the parts of the response as they
arrive; its last item is the attempt's result.  It runs in the caller's task,
so that no part passes through a queue, and reports progress through `Hooks`.
"""

from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Awaitable,
    Callable,
)
from contextlib import aclosing
from typing import Final, NamedTuple

import httpx
import trio

from bluebellhub.adapters.attempt_control import (
    AttemptCancelledError,
    AttemptControl,
    wait_for,
)
from bluebellhub.adapters.chat import cached_tokens
from bluebellhub.adapters.connections import Pool, use_pool
from bluebellhub.adapters.exchange import Exchange, Head
from bluebellhub.adapters.frames import (
    FrameReader,
    Frames,
    MismatchError,
    make_frame_reader,
    parse_frames,
)
from bluebellhub.adapters.memory import (
    MemoryExhaustedError,
    Reservation,
    release_memory,
    reserve_memory,
)
from bluebellhub.adapters.service_response import (
    ResponseTooLargeError,
    read_response,
)
from bluebellhub.adapters.time_limits import TimeLimits
from bluebellhub.registry import Registry, make_registry
from bluebellhub.request import AttemptFailure
from bluebellhub.request.heads import ERROR_STATUS_MIN
from bluebellhub.scheduler import Dispatch

__all__ = [
    'AttemptContext',
    'Cancelled',
    'Completed',
    'Hooks',
    'Part',
    'attempt_kinds',
    'run_attempt',
]

# The trace event before the first byte of a request is sent.
SENT_EVENT: Final = 'send_request_headers.started'
OK: Final = 200
SERVER_ERROR: Final = 500
UNAVAILABLE: Final = 503
FAILURE_KINDS: Final = (
    ('connect_failed', (httpx.ConnectError, httpx.ConnectTimeout)),
    ('mismatch', (MismatchError,)),
    ('silent', (trio.TooSlowError,)),
)


class Completed(NamedTuple):
    """The complete response arrived; ``cached_tokens`` if reported.

    ``is_error`` is true if its status states an error.
    """

    cached_tokens: int | None = None
    is_error: bool = False


class Cancelled(NamedTuple):
    """The scheduler has cancelled the attempt, but not the request."""


Part = bytes | Head | Completed | Cancelled | AttemptFailure


class Hooks(NamedTuple):
    """Callbacks: before the first byte is sent, and when tokens arrive.

    ``on_tokens`` gets the offset and the number of tokens.
    """

    on_sent: Callable[[], None]
    on_tokens: Callable[[int, int], None]


class AttemptContext(NamedTuple):
    """The arguments of an attempt."""

    kind: str
    pool: Pool
    dispatch: Dispatch
    exchange: Exchange
    limits: TimeLimits
    hooks: Hooks
    control: AttemptControl
    reservation: Reservation


ATTEMPT_ERRORS: Final = (
    httpx.HTTPError,
    MemoryExhaustedError,
    MismatchError,
    ResponseTooLargeError,
    trio.TooSlowError,
)

AttemptFunction = Callable[[AttemptContext], AsyncGenerator[Part, None]]

attempt_kinds: Registry[AttemptFunction] = make_registry('attempt kind')


async def run_attempt(context: AttemptContext) -> AsyncGenerator[Part, None]:
    """Yield the parts of the response, then the result of the attempt."""
    attempt = attempt_kinds.find(context.kind)(context)
    try:
        async with aclosing(attempt) as parts:
            async for part in parts:
                yield part
    except AttemptCancelledError:
        yield Cancelled()
    except ATTEMPT_ERRORS as error:
        detail = f'{type(error).__name__} {error}'
        yield AttemptFailure(_failure_kind(error), detail)
    finally:
        release_memory(context.reservation)


def _failure_kind(error: Exception) -> str:
    """Return the kind of failure; a truncated response by default."""
    for kind, types in FAILURE_KINDS:
        if isinstance(error, types):
            return kind
    return 'cut'


def _make_trace(hooks: Hooks) -> Callable[[str, object], Awaitable[None]]:
    """Return a trace callback that calls ``on_sent`` before the first byte."""

    async def trace_event(event: str, _details: object) -> None:
        if event.endswith(SENT_EVENT):
            hooks.on_sent()

    return trace_event


@attempt_kinds.register('engine')
async def call_engine(context: AttemptContext) -> AsyncGenerator[Part, None]:
    """Stream a chat completion from a model engine."""
    dispatch = context.dispatch
    attempt_id = f'{dispatch.request_id}.{dispatch.attempt}'
    async with use_pool(context.pool) as client:
        request = client.build_request(
            'POST',
            '/v1/chat/completions',
            content=context.exchange.body,
            headers={
                'Content-Type': 'application/json',
                'X-Request-Id': attempt_id,
                'Last-Event-ID': str(dispatch.offset),
            },
            extensions={'trace': _make_trace(context.hooks)},
        )
        response = await wait_for(
            context.control,
            context.limits.first_byte_s,
            lambda: client.send(request, stream=True),
        )
        async with aclosing(
            _forward_response(context, response, attempt_id)
        ) as parts:
            async for part in parts:
                yield part


async def _forward_response(
    context: AttemptContext, response: httpx.Response, attempt_id: str
) -> AsyncGenerator[Part, None]:
    """Yield the frames of a response, or its failure, and close it."""
    try:
        failure = _check_status(response)
        if failure is not None:
            yield failure
            return
        async for part in _read_frames(context, response, attempt_id):
            yield part
    finally:
        with trio.CancelScope(shield=True):
            await response.aclose()


async def _read_frames(
    context: AttemptContext, response: httpx.Response, attempt_id: str
) -> AsyncGenerator[Part, None]:
    """Yield complete frames up to the last one, then the attempt's result."""
    reader = make_frame_reader(attempt_id, context.dispatch.offset)
    chunks = response.aiter_raw()
    usage = b''
    while not reader.done:
        reader, frames = await _next_frames(context, chunks, reader)
        usage = frames.usage or usage
        if frames.complete:
            yield frames.complete
    yield Completed(cached_tokens(usage))


def _check_status(response: httpx.Response) -> AttemptFailure | None:
    """Return the failure that the status indicates, if any."""
    if response.status_code == OK:
        return None
    kind = 'upstream_error'
    if response.status_code == UNAVAILABLE:
        kind = 'not_run'
    return AttemptFailure(kind, f'status {response.status_code}')


async def _next_frames(
    context: AttemptContext, chunks: AsyncIterator[bytes], reader: FrameReader
) -> tuple[FrameReader, Frames]:
    """Parse the next chunk; raises `httpx.ReadError` at an early end."""
    has_started = reader.offset > context.dispatch.offset
    limits = context.limits
    wait_s = limits.next_byte_s if has_started else limits.first_byte_s
    # One read may hold many chunks, which the client returns without waiting.
    await trio.lowlevel.checkpoint()
    chunk = await wait_for(context.control, wait_s, lambda: anext(chunks, None))
    if chunk is None:
        raise httpx.ReadError('the stream ended early')
    advanced, frames = parse_frames(reader, chunk)
    reserve_memory(context.reservation, len(advanced.incomplete))
    if frames.tokens:
        context.hooks.on_tokens(reader.offset, frames.tokens)
    return advanced, frames


@attempt_kinds.register('service')
async def call_service(context: AttemptContext) -> AsyncGenerator[Part, None]:
    """Send a request to a plain service and yield its complete response."""
    exchange = context.exchange
    async with use_pool(context.pool) as client:
        request = client.build_request(
            exchange.method,
            f'/{exchange.path}',
            content=exchange.body,
            headers={
                'Content-Type': exchange.content_type,
                'X-Request-Id': context.dispatch.request_id,
            },
            extensions={'trace': _make_trace(context.hooks)},
        )
        head, body = await wait_for(
            context.control,
            context.limits.first_byte_s,
            lambda: read_response(client, request, context.reservation),
        )
    is_safe = exchange.method in {'GET', 'HEAD'}
    if is_safe and head.status >= SERVER_ERROR:
        yield AttemptFailure('upstream_error', f'status {head.status}')
        return
    is_error = head.status >= ERROR_STATUS_MIN
    if not is_error:
        context.hooks.on_tokens(0, 1)
    yield head
    yield body
    yield Completed(is_error=is_error)
