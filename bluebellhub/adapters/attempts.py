"""Attempts at upstreams, a registry by the upstream's kind.

An attempt sends the request and yields the answer's parts as they come; its
last item tells how it ended.  It runs in the caller's own task, so that a
part passes through no queue, and reports progress through `Hooks`.
"""

from collections.abc import (
    AsyncGenerator,
    AsyncIterator,
    Awaitable,
    Callable,
)
from contextlib import aclosing
from typing import Any, Final, NamedTuple, TypedDict

import httpx
import trio

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
from bluebellhub.errors import HubError
from bluebellhub.registry import Registry, make_registry
from bluebellhub.request import AttemptFailure
from bluebellhub.scheduler import Dispatch

__all__ = [
    'Call',
    'Cancelled',
    'Ended',
    'Hooks',
    'Part',
    'Reads',
    'TimeLimits',
    'attempt_kinds',
    'cancel_reads',
    'make_reads',
    'run_attempt',
]

SENT_EVENT: Final = 'send_request_headers.started'
OK: Final = 200
SERVER_ERROR: Final = 500
UNAVAILABLE: Final = 503
FAILURE_KINDS: Final = (
    ('connect_failed', (httpx.ConnectError, httpx.ConnectTimeout)),
    ('mismatch', (MismatchError,)),
    ('silent', (trio.TooSlowError,)),
)


class Ended(NamedTuple):
    """The whole answer arrived; ``cached_tokens`` if the engine told."""

    cached_tokens: int | None = None


class Cancelled(NamedTuple):
    """The scheduler has cancelled the attempt; the request lives on."""


Part = bytes | Head | Ended | Cancelled | AttemptFailure


class AttemptCancelledError(HubError):
    """The scheduler has cancelled the attempt."""


class TimeLimits(NamedTuple):
    """Seconds until the first and between later bytes of an answer."""

    first_byte_s: float
    next_byte_s: float


class Hooks(NamedTuple):
    """Calls to the decisions while an attempt runs."""

    sent: Callable[[], None]
    tokens: Callable[[int, int], None]


class Reads(TypedDict):
    """The wait that is on, if one is, and whether the attempt is over."""

    scope: trio.CancelScope | None
    cancelled: bool


class Call(NamedTuple):
    """All that an attempt needs."""

    kind: str
    pool: Pool
    dispatch: Dispatch
    exchange: Exchange
    limits: TimeLimits
    hooks: Hooks
    reads: Reads


AttemptCall = Callable[[Call], AsyncGenerator[Part, None]]

attempt_kinds: Registry[AttemptCall] = make_registry('attempt kind')


def make_reads() -> Reads:
    """Create the state of an attempt that has not begun."""
    return {'scope': None, 'cancelled': False}


def cancel_reads(reads: Reads) -> None:
    """End an attempt at its next wait, or in the one that is on."""
    reads['cancelled'] = True
    if reads['scope'] is not None:
        reads['scope'].cancel()


async def run_attempt(call: Call) -> AsyncGenerator[Part, None]:
    """Yield the answer's parts, then how the attempt ended."""
    attempt = attempt_kinds.find(call.kind)(call)
    try:
        async with aclosing(attempt) as parts:
            async for part in parts:
                yield part
    except AttemptCancelledError:
        yield Cancelled()
    except (httpx.HTTPError, MismatchError, trio.TooSlowError) as error:
        detail = f'{type(error).__name__} {error}'
        yield AttemptFailure(_failure_kind(error), detail)


def _failure_kind(error: Exception) -> str:
    for kind, types in FAILURE_KINDS:
        if isinstance(error, types):
            return kind
    return 'cut'


async def _within(
    call: Call, wait_s: float, wait: Callable[[], Awaitable[Any]]
) -> Any:
    """Wait for at most ``wait_s`` seconds, or until the attempt is over."""
    reads = call.reads
    if reads['cancelled']:
        raise AttemptCancelledError
    with trio.move_on_after(wait_s) as scope:
        reads['scope'] = scope
        try:
            return await wait()
        finally:
            reads['scope'] = None
    if reads['cancelled']:
        raise AttemptCancelledError
    raise trio.TooSlowError


def _trace(hooks: Hooks) -> Callable[[str, object], Awaitable[None]]:
    """Report the moment before the first byte leaves this VM."""

    async def note(event: str, _details: object) -> None:
        if event.endswith(SENT_EVENT):
            hooks.sent()

    return note


@attempt_kinds.register('engine')
async def call_engine(call: Call) -> AsyncGenerator[Part, None]:
    """Stream a chat completion from a model engine."""
    dispatch = call.dispatch
    attempt_id = f'{dispatch.request_id}.{dispatch.attempt}'
    async with use_pool(call.pool) as client:
        request = client.build_request(
            'POST',
            '/v1/chat/completions',
            content=call.exchange.body,
            headers={
                'Content-Type': 'application/json',
                'X-Request-Id': attempt_id,
                'Last-Event-ID': str(dispatch.offset),
            },
            extensions={'trace': _trace(call.hooks)},
        )
        response = await _within(
            call,
            call.limits.first_byte_s,
            lambda: client.send(request, stream=True),
        )
        async with aclosing(_pass_on(call, response, attempt_id)) as parts:
            async for part in parts:
                yield part


async def _pass_on(
    call: Call, response: httpx.Response, attempt_id: str
) -> AsyncGenerator[Part, None]:
    """Yield the frames of a response; closes it in the end."""
    try:
        failure = _judge_status(response)
        if failure is not None:
            yield failure
            return
        async for part in _frames_of(call, response, attempt_id):
            yield part
    finally:
        with trio.CancelScope(shield=True):
            await response.aclose()


async def _frames_of(
    call: Call, response: httpx.Response, attempt_id: str
) -> AsyncGenerator[Part, None]:
    reader = make_frame_reader(attempt_id, call.dispatch.offset)
    chunks = response.aiter_raw()
    usage = b''
    while not reader.done:
        reader, frames = await _next_frames(call, chunks, reader)
        usage = frames.usage or usage
        if frames.passed:
            yield frames.passed
    yield Ended(cached_tokens(usage))


def _judge_status(response: httpx.Response) -> AttemptFailure | None:
    if response.status_code == OK:
        return None
    kind = 'upstream_error'
    if response.status_code == UNAVAILABLE:
        kind = 'not_run'
    return AttemptFailure(kind, f'status {response.status_code}')


async def _next_frames(
    call: Call, chunks: AsyncIterator[bytes], reader: FrameReader
) -> tuple[FrameReader, Frames]:
    """Wait for the next chunk; raises `httpx.ReadError` at an early end."""
    started = reader.offset > call.dispatch.offset
    limits = call.limits
    wait_s = limits.next_byte_s if started else limits.first_byte_s
    chunk = await _within(call, wait_s, lambda: anext(chunks, None))
    if chunk is None:
        raise httpx.ReadError('the stream ended early')
    moved, frames = parse_frames(reader, chunk)
    if frames.tokens:
        call.hooks.tokens(reader.offset, frames.tokens)
    return moved, frames


@attempt_kinds.register('service')
async def call_service(call: Call) -> AsyncGenerator[Part, None]:
    """Pass one call to a plain service and its whole answer back."""
    exchange = call.exchange
    async with use_pool(call.pool) as client:
        response = await _within(
            call,
            call.limits.first_byte_s,
            lambda: client.request(
                exchange.method,
                f'/{exchange.path}',
                content=exchange.body,
                headers={
                    'Content-Type': exchange.content_type,
                    'X-Request-Id': call.dispatch.request_id,
                },
                extensions={'trace': _trace(call.hooks)},
            ),
        )
    safe = exchange.method in {'GET', 'HEAD'}
    if safe and response.status_code >= SERVER_ERROR:
        detail = f'status {response.status_code}'
        yield AttemptFailure('upstream_error', detail)
        return
    call.hooks.tokens(0, 1)
    media_type = response.headers.get('content-type', 'text/plain')
    yield Head(response.status_code, media_type)
    yield response.content
    yield Ended()
