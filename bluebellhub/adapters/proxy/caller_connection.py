"""A caller's connection: requests are read from it and answers written."""

from typing import Any, Final, NamedTuple, TypedDict

import h11
import logbook
import trio

from bluebellhub.errors import HubError
from bluebellhub.platform.headers import read_call_head
from bluebellhub.platform.responses import OwnAnswer, refusal_answer
from bluebellhub.request import RefusalError
from bluebellhub.request.heads import Headers, RequestHead
from bluebellhub.request.refusal import (
    BadRequestError,
    BodyTooLargeError,
    HeaderTooLargeError,
    SlowRequestError,
)
from bluebellhub.route import CallerLimits

__all__ = [
    'Call',
    'CallerGoneError',
    'CallerLink',
    'abort',
    'begin_answer',
    'close_link',
    'end_answer',
    'make_link',
    'next_call',
    'send_own',
    'send_piece',
    'send_refusal',
    'watch_caller',
]

READ_BYTES: Final = 65_536
BUFFERED_MAX_BYTES: Final = 65_536
LINGER_S: Final = 0.5
TOO_LARGE_HEADER: Final = 431
BODY_TIMEOUT_S: Final = 15.0
# The colon, the space and the line break of a header.
HEADER_LINE_BYTES: Final = 4
CLOSE_HEADER: Final = (b'connection', b'close')
GONE_ERRORS: Final = (trio.BrokenResourceError, trio.ClosedResourceError)
LINGER_ERRORS: Final = (*GONE_ERRORS, trio.BusyResourceError, OSError)

log = logbook.Logger('bluebellhub.callers')


class CallerGoneError(HubError):
    """The caller has closed its connection, or broken it."""


class LinkState(TypedDict):
    """What becomes of the connection after the answer.

    ``closes`` asks for a close in the answer's head; ``is_aborted`` tells
    that the answer was broken off, ``is_gone`` that the caller has left
    and ``is_idle`` that no request is read; ``idle_scope`` ends the wait
    for the next one.
    """

    closes: bool
    is_aborted: bool
    is_gone: bool
    is_idle: bool
    idle_scope: trio.CancelScope | None


class CallerLink(NamedTuple):
    """The root: the connection, its protocol state and the bounds."""

    stream: trio.SocketStream
    protocol: h11.Connection
    limits: CallerLimits
    state: LinkState


class Call(NamedTuple):
    """A request that was read to its end."""

    head: RequestHead
    body: bytes


def make_link(stream: trio.SocketStream, limits: CallerLimits) -> CallerLink:
    """Create the state of a connection that was just accepted."""
    protocol = h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.header_max_bytes
    )
    state: LinkState = {
        'closes': False,
        'is_aborted': False,
        'is_gone': False,
        'is_idle': True,
        'idle_scope': None,
    }
    return CallerLink(stream, protocol, limits, state)


async def next_call(link: CallerLink) -> Call | None:
    """Read the next request; ``None`` at the connection's end.

    Raises a refusal for a request that cannot be read or comes too slowly.
    """
    try:
        return await _read_call(link)
    except h11.RemoteProtocolError as error:
        raise _protocol_refusal(error) from None


async def _read_call(link: CallerLink) -> Call | None:
    request = await _read_head(link)
    if request is None:
        return None
    _check_size(link, request)
    _check_framing(request)
    head = read_call_head(request.method, request.target, request.headers)
    body = await _read_body(link, head.time_limit_s or BODY_TIMEOUT_S)
    return None if body is None else Call(head, body)


async def _read_head(link: CallerLink) -> h11.Request | None:
    """Wait for a request's first byte, then for the rest of its head."""
    link.state['is_idle'] = True
    with trio.move_on_after(link.limits.idle_timeout_s) as scope:
        link.state['idle_scope'] = scope
        while not link.protocol.trailing_data[0]:
            if not await _receive(link):
                return None
        link.state['is_idle'] = False
    link.state['idle_scope'] = None
    if link.state['is_idle']:
        return None
    with trio.move_on_after(link.limits.header_timeout_s):
        event = await _next_event(link)
        return event if isinstance(event, h11.Request) else None
    raise SlowRequestError('the head took too long')


async def _read_body(link: CallerLink, limit_s: float) -> bytes | None:
    if link.protocol.they_are_waiting_for_100_continue:
        go_on = h11.InformationalResponse(status_code=100, headers=[])
        await _write(link, go_on)
    parts = bytearray()
    with trio.move_on_after(limit_s):
        while True:
            event = await _next_event(link)
            if isinstance(event, h11.EndOfMessage):
                return bytes(parts)
            if not isinstance(event, h11.Data):
                return None
            parts += event.data
            if len(parts) > link.limits.body_max_bytes:
                raise BodyTooLargeError(
                    f'expected at most {link.limits.body_max_bytes} bytes'
                )
    raise SlowRequestError('the body took too long')


async def _next_event(link: CallerLink) -> Any:
    while True:
        event = link.protocol.next_event()
        if event is not h11.NEED_DATA:
            return event
        await _receive(link)


async def _receive(link: CallerLink) -> bytes:
    try:
        received = await link.stream.receive_some(READ_BYTES)
    except GONE_ERRORS:
        received = b''
    link.protocol.receive_data(received)
    return bytes(received)


def _check_size(link: CallerLink, request: h11.Request) -> None:
    """Bound a head that arrived at once; others are bounded on the way."""
    size = len(request.target) + sum(
        len(name) + len(field) + HEADER_LINE_BYTES
        for name, field in request.headers
    )
    if size > link.limits.header_max_bytes:
        raise HeaderTooLargeError(
            f'got {size} bytes, expected {link.limits.header_max_bytes}'
        )


def _check_framing(request: h11.Request) -> None:
    """Refuse a request whose end could be understood in two ways."""
    names = [name for name, _ in request.headers]
    if b'transfer-encoding' in names and b'content-length' in names:
        raise BadRequestError('got a length and a transfer encoding')


def _protocol_refusal(error: h11.RemoteProtocolError) -> RefusalError:
    if error.error_status_hint == TOO_LARGE_HEADER:
        return HeaderTooLargeError('the head is too large')
    return BadRequestError(f'expected HTTP/1.1: {error}')


async def watch_caller(link: CallerLink, scope: trio.CancelScope) -> None:
    """Cancel ``scope`` when the caller closes its connection.

    What arrives meanwhile is kept for the next request.
    """
    while len(link.protocol.trailing_data[0]) < BUFFERED_MAX_BYTES:
        if not await _receive(link):
            link.state['is_gone'] = True
            scope.cancel()
            return


async def begin_answer(
    link: CallerLink, status: int, headers: Headers, length: int | None
) -> None:
    """Write an answer's head; without a length its end is marked later."""
    added = list(headers)
    if length is not None:
        added.append((b'content-length', b'%d' % length))
    if link.state['closes']:
        added.append(CLOSE_HEADER)
    await _write(link, h11.Response(status_code=status, headers=added))


async def send_piece(link: CallerLink, piece: bytes) -> None:
    """Write a piece of the body."""
    await _write(link, h11.Data(data=piece))


async def end_answer(link: CallerLink) -> None:
    """Mark the end of the body."""
    await _write(link, h11.EndOfMessage())


async def send_own(link: CallerLink, answer: OwnAnswer) -> None:
    """Write a whole answer that no upstream gave."""
    length = len(answer.body)
    await begin_answer(link, answer.status, answer.headers, length)
    await send_piece(link, answer.body)
    await end_answer(link)


async def send_refusal(link: CallerLink, error: RefusalError) -> None:
    """Write a refusal."""
    await send_own(link, refusal_answer(error))


async def _write(link: CallerLink, event: Any) -> None:
    """Write an event; raises `CallerGoneError` if nobody reads it."""
    encoded = link.protocol.send(event)
    if not encoded:
        return
    try:
        await link.stream.send_all(encoded)
    except GONE_ERRORS:
        raise CallerGoneError from None


def abort(link: CallerLink) -> None:
    """Break an answer off, so that it cannot look complete."""
    link.state['is_aborted'] = True


async def close_link(link: CallerLink) -> None:
    """Close; reads what is on its way, so that the answer arrives."""
    if not link.state['is_aborted']:
        await _linger(link)
    with trio.CancelScope(shield=True):
        await trio.aclose_forcefully(link.stream)


async def _linger(link: CallerLink) -> None:
    with trio.move_on_after(LINGER_S):
        try:
            await link.stream.send_eof()
            await _drain(link.stream)
        except LINGER_ERRORS as error:
            log.debug('caller did not wait: {}', type(error).__name__)


async def _drain(stream: trio.SocketStream) -> None:
    received = await stream.receive_some(READ_BYTES)
    while received:
        received = await stream.receive_some(READ_BYTES)
