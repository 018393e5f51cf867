"""Attempts at upstreams, a registry by the upstream's kind.

An attempt sends the request, passes the answer to the exchange and returns
how it ended.  It reports progress to the decisions through `Hooks`.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final, NamedTuple

import httpx
import trio

from bluebellhub.adapters.chat import cached_tokens
from bluebellhub.adapters.connections import Pool, use_pool
from bluebellhub.adapters.exchange import Exchange, Head
from bluebellhub.adapters.frames import (
    FrameReader,
    MismatchError,
    make_frame_reader,
    take_frames,
)
from bluebellhub.registry import Registry, make_registry
from bluebellhub.request import AttemptFailure
from bluebellhub.scheduler import Dispatch

__all__ = ['Ended', 'Hooks', 'TimeLimits', 'attempt_kinds']

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


class TimeLimits(NamedTuple):
    """Seconds until the first and between later bytes of an answer."""

    first_byte_s: float
    next_byte_s: float


class Hooks(NamedTuple):
    """Calls to the decisions while an attempt runs."""

    sent: Callable[[], None]
    tokens: Callable[[int, int], None]


Result = Ended | AttemptFailure
AttemptCall = Callable[
    [Pool, Dispatch, Exchange, TimeLimits, Hooks], Awaitable[Result]
]

attempt_kinds: Registry[AttemptCall] = make_registry('attempt kind')


def _trace(hooks: Hooks) -> Callable[[str, object], Awaitable[None]]:
    """Report the moment before the first byte leaves this VM."""

    async def note(event: str, _details: object) -> None:
        if event.endswith(SENT_EVENT):
            hooks.sent()

    return note


async def _guard(call: Callable[[], Awaitable[Result]]) -> Result:
    """Turn the HTTP library's errors into attempt failures."""
    try:
        return await call()
    except (httpx.HTTPError, MismatchError, trio.TooSlowError) as error:
        kind = _failure_kind(error)
        return AttemptFailure(kind, f'{type(error).__name__} {error}')


def _failure_kind(error: Exception) -> str:
    for kind, types in FAILURE_KINDS:
        if isinstance(error, types):
            return kind
    return 'cut'


@attempt_kinds.register('engine')
async def call_engine(
    pool: Pool,
    dispatch: Dispatch,
    exchange: Exchange,
    limits: TimeLimits,
    hooks: Hooks,
) -> Result:
    """Stream a chat completion from a model engine."""
    attempt_id = f'{dispatch.request_id}.{dispatch.attempt}'
    headers = {
        'Content-Type': 'application/json',
        'X-Request-Id': attempt_id,
        'Last-Event-ID': str(dispatch.offset),
    }

    async def stream() -> Result:
        async with use_pool(pool) as client:
            request = client.build_request(
                'POST',
                '/v1/chat/completions',
                content=exchange.body,
                headers=headers,
                extensions={'trace': _trace(hooks)},
            )
            with trio.fail_after(limits.first_byte_s):
                response = await client.send(request, stream=True)
            try:
                reader = make_frame_reader(attempt_id, dispatch.offset)
                return await _pass_on(response, reader, exchange, limits, hooks)
            finally:
                with trio.CancelScope(shield=True):
                    await response.aclose()

    return await _guard(stream)


async def _pass_on(
    response: httpx.Response,
    reader: FrameReader,
    exchange: Exchange,
    limits: TimeLimits,
    hooks: Hooks,
) -> Result:
    if response.status_code != OK:
        kind = 'upstream_error'
        if response.status_code == UNAVAILABLE:
            kind = 'not_run'
        return AttemptFailure(kind, f'status {response.status_code}')
    usage = b''
    chunks = response.aiter_raw()
    wait_s = limits.first_byte_s
    while not reader.done:
        chunk = await _next_chunk(chunks, wait_s)
        if chunk is None:
            return AttemptFailure('cut', 'the stream ended early')
        offset = reader.offset
        reader, frames = take_frames(reader, chunk)
        usage = frames.usage or usage
        if frames.tokens:
            hooks.tokens(offset, frames.tokens)
            wait_s = limits.next_byte_s
        if frames.passed:
            await exchange.outgoing.send(frames.passed)
    return Ended(cached_tokens(usage))


async def _next_chunk(
    chunks: AsyncIterator[bytes], wait_s: float
) -> bytes | None:
    """Return the next chunk, or ``None`` at the end of the stream."""
    with trio.fail_after(wait_s):
        try:
            return await anext(chunks)
        except StopAsyncIteration:
            return None


@attempt_kinds.register('service')
async def call_service(
    pool: Pool,
    dispatch: Dispatch,
    exchange: Exchange,
    limits: TimeLimits,
    hooks: Hooks,
) -> Result:
    """Pass one call to a plain service and its whole answer back."""
    headers = {
        'Content-Type': exchange.content_type,
        'X-Request-Id': dispatch.request_id,
    }

    async def call() -> Result:
        async with use_pool(pool) as client:
            with trio.fail_after(limits.first_byte_s):
                response = await client.request(
                    exchange.method,
                    f'/{exchange.path}',
                    content=exchange.body,
                    headers=headers,
                    extensions={'trace': _trace(hooks)},
                )
        safe = exchange.method in {'GET', 'HEAD'}
        if safe and response.status_code >= SERVER_ERROR:
            return AttemptFailure(
                'upstream_error', f'status {response.status_code}'
            )
        hooks.tokens(0, 1)
        media_type = response.headers.get('content-type', 'text/plain')
        await exchange.outgoing.send(Head(response.status_code, media_type))
        await exchange.outgoing.send(response.content)
        return Ended()

    return await _guard(call)
