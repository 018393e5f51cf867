"""The connection of a caller: its state, its end, and the responses."""

from typing import Any, Final, NamedTuple, TypedDict

import h11
import logbook
import trio

from bluebellhub.adapters.memory import (
    MemoryBudget,
    Reservation,
    make_reservation,
    release_memory,
)
from bluebellhub.adapters.proxy.peer_heads import refusal_header
from bluebellhub.adapters.sockets import reset_on_close
from bluebellhub.errors import HubError
from bluebellhub.platform.responses import LocalResponse, refusal_response
from bluebellhub.request import RefusalError
from bluebellhub.request.heads import Headers, RequestHead
from bluebellhub.route import CallerLimits

__all__ = [
    'CallerConnection',
    'CallerGoneError',
    'ReceivedRequest',
    'abort_response',
    'close_connection',
    'end_response',
    'make_connection',
    'receive_bytes',
    'send_chunk',
    'send_continue',
    'send_local_response',
    'send_refusal',
    'send_response_head',
    'watch_disconnect',
]

READ_BYTES: Final = 65_536
BUFFERED_MAX_BYTES: Final = 65_536
LINGER_S: Final = 0.5
OLD_VERSION: Final = b'1.0'
CLOSE_HEADER: Final = (b'connection', b'close')
DISCONNECT_ERRORS: Final = (trio.BrokenResourceError, trio.ClosedResourceError)
LINGER_ERRORS: Final = (*DISCONNECT_ERRORS, trio.BusyResourceError, OSError)

log = logbook.Logger('bluebellhub.callers')


class CallerGoneError(HubError):
    """The caller closed its connection, or the connection broke."""


class ConnectionState(TypedDict):
    """Flags of a connection.

    ``closes`` adds ``Connection: close`` to the next response head.
    ``is_aborted`` marks a truncated response, ``is_gone`` a caller that
    disconnected, and ``is_idle`` a connection that waits for a request;
    cancelling ``idle_scope`` ends that wait.  The first byte of the present
    request was read at ``began_at_s``.
    """

    closes: bool
    is_aborted: bool
    is_gone: bool
    is_idle: bool
    began_at_s: float
    idle_scope: trio.CancelScope | None


class CallerConnection(NamedTuple):
    """The root: the stream, its HTTP/1.1 state and the limits.

    ``reservation`` is the memory that its present request keeps.  If it
    ``is_peer``, the caller is another VM that forwards requests.
    """

    stream: trio.SocketStream
    protocol: h11.Connection
    limits: CallerLimits
    reservation: Reservation
    state: ConnectionState
    is_peer: bool = False


class ReceivedRequest(NamedTuple):
    """A request that was read completely, its body in ``read_s`` seconds.

    Its first byte was read at ``began_at_s``.
    """

    head: RequestHead
    body: bytes
    read_s: float
    began_at_s: float


def make_connection(
    stream: trio.SocketStream,
    limits: CallerLimits,
    memory: MemoryBudget,
    *,
    is_peer: bool = False,
) -> CallerConnection:
    """Create the state of a newly accepted connection."""
    protocol = h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.header_max_bytes
    )
    state: ConnectionState = {
        'closes': False,
        'is_aborted': False,
        'is_gone': False,
        'is_idle': True,
        'began_at_s': 0.0,
        'idle_scope': None,
    }
    reservation = make_reservation(memory)
    return CallerConnection(
        stream, protocol, limits, reservation, state, is_peer
    )


async def receive_bytes(caller: CallerConnection) -> bytes:
    """Read bytes into the protocol state; none after a disconnect."""
    try:
        received = await caller.stream.receive_some(READ_BYTES)
    except DISCONNECT_ERRORS:
        received = b''
    caller.protocol.receive_data(received)
    return bytes(received)


async def watch_disconnect(
    caller: CallerConnection, scope: trio.CancelScope
) -> None:
    """Cancel ``scope`` when the caller disconnects.

    Input is buffered for the next request; a full buffer ends the watch.
    """
    while len(caller.protocol.trailing_data[0]) < BUFFERED_MAX_BYTES:
        if not await receive_bytes(caller):
            caller.state['is_gone'] = True
            scope.cancel()
            return


async def send_response_head(
    caller: CallerConnection, status: int, headers: Headers, length: int | None
) -> None:
    """Write a response head; ``length`` is ``None`` if it is not known."""
    added = list(headers)
    if length is not None:
        added.append((b'content-length', b'%d' % length))
    if caller.state['closes']:
        added.append(CLOSE_HEADER)
    await _write(caller, h11.Response(status_code=status, headers=added))


async def send_continue(caller: CallerConnection) -> None:
    """Tell a caller that waits for it to send the body."""
    if caller.protocol.they_are_waiting_for_100_continue:
        informational = h11.InformationalResponse(status_code=100, headers=[])
        await _write(caller, informational)


async def send_chunk(caller: CallerConnection, chunk: bytes) -> None:
    """Write a part of the response body."""
    await _write(caller, h11.Data(data=chunk))


async def end_response(caller: CallerConnection) -> None:
    """Write the end of the response body."""
    await _write(caller, h11.EndOfMessage())


async def send_local_response(
    caller: CallerConnection, response: LocalResponse
) -> None:
    """Write a complete response that this VM generated."""
    length = len(response.body)
    await send_response_head(caller, response.status, response.headers, length)
    await send_chunk(caller, response.body)
    await end_response(caller)


async def send_refusal(caller: CallerConnection, error: RefusalError) -> None:
    """Write the response to a refused request."""
    response = refusal_response(error)
    if caller.is_peer:
        headers = (*response.headers, refusal_header(error))
        response = response._replace(headers=headers)
    await send_local_response(caller, response)


async def _write(caller: CallerConnection, event: Any) -> None:
    """Write an event; raises `CallerGoneError` after a disconnect."""
    encoded = caller.protocol.send(event)
    if not encoded:
        return
    try:
        await caller.stream.send_all(encoded)
    except DISCONNECT_ERRORS:
        raise CallerGoneError from None


def abort_response(caller: CallerConnection) -> None:
    """Truncate the response, so that it cannot look complete."""
    caller.state['is_aborted'] = True


async def close_connection(caller: CallerConnection) -> None:
    """Close; after a response read input in flight, else it may be lost.

    On an idle connection nothing is read: a request that crosses the close
    stays unread, so that its caller may send it again.
    """
    release_memory(caller.reservation)
    if _ends_with_connection(caller):
        reset_on_close(caller.stream)
    if not caller.state['is_aborted'] and not caller.state['is_idle']:
        await _linger(caller)
    with trio.CancelScope(shield=True):
        await trio.aclose_forcefully(caller.stream)


def _ends_with_connection(caller: CallerConnection) -> bool:
    """Return whether a truncated response would look complete once closed.

    A caller over HTTP/1.0 gets no chunks, so a proper end of the connection is
    the end of the response.
    """
    version = caller.protocol.their_http_version
    return caller.state['is_aborted'] and version == OLD_VERSION


async def _linger(caller: CallerConnection) -> None:
    """Close for writing, then read until the caller closes or time is up."""
    with trio.move_on_after(LINGER_S):
        try:
            await caller.stream.send_eof()
            await _drain(caller.stream)
        except LINGER_ERRORS as error:
            log.debug('caller lost while closing: {}', type(error).__name__)


async def _drain(stream: trio.SocketStream) -> None:
    received = await stream.receive_some(READ_BYTES)
    while received:
        received = await stream.receive_some(READ_BYTES)
