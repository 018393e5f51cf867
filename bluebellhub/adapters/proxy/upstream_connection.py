"""Connections to upstreams; idle ones are reused for a few seconds.

The end of a connection ends a response that has neither a length nor chunks.
It counts only after the whole request was written: the system reports a reset
once, to the task that writes or to the one that reads, and the other finds a
connection that seems to have ended properly.
"""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Final, NamedTuple, TypedDict

import h11
import trio

from bluebellhub.adapters.protocol_events import next_event
from bluebellhub.adapters.sockets import is_reusable, open_stream
from bluebellhub.clock import now_s
from bluebellhub.errors import HubError
from bluebellhub.upstream import UpstreamSpec

__all__ = [
    'ConnectError',
    'IdleConnections',
    'UnsentRequestError',
    'UpstreamConnection',
    'close_expired',
    'connect',
    'encode_events',
    'read_event',
    'release',
    'send_parts',
]

CONNECT_TIMEOUT_S: Final = 1.0
READ_BYTES: Final = 65_536
JOINED_MAX_BYTES: Final = 65_536
IDLE_MAX_S: Final = 3.0
# Reuse ends this long before the upstream may close an idle connection.
IDLE_MARGIN_S: Final = 0.5
# The writing task resumes within two rounds of the loop after its last byte.
SCHEDULING_ROUNDS: Final = 2
# A reset follows the end of a connection within a round trip.
RESET_DELAY_S: Final = 0.02
# Per upstream.
IDLE_CONNECTIONS_MAX: Final = 8


class ConnectError(HubError):
    """Connecting failed, so no byte of the request was sent."""


class UnsentRequestError(HubError):
    """The upstream ended the connection before it had the whole request."""


class IdleConnection(NamedTuple):
    """An idle connection that may be reused until ``until_s``."""

    stream: trio.SocketStream
    until_s: float


IdleConnections = dict[tuple[str, str], list[IdleConnection]]


class ConnectionState(TypedDict):
    """What decides how a response ended and whether a connection is reused.

    ``is_sent`` states that every byte of the request was written: the protocol
    state counts a request as sent before that.  ``is_large`` states that it
    did not fit into one part, so the upstream may end the connection while some
    of it is on the way.  ``is_kept`` states that the connection was released
    and belongs to no request, and ``has_ended`` that the upstream has closed
    it.
    """

    is_sent: bool
    is_large: bool
    is_kept: bool
    has_ended: bool


class UpstreamConnection(NamedTuple):
    """A connection in use by one request.

    If it ``is_reused``, it has served other requests before.
    """

    spec: UpstreamSpec
    stream: trio.SocketStream
    protocol: h11.Connection
    state: ConnectionState
    is_reused: bool


@asynccontextmanager
async def connect(
    idle_connections: IdleConnections, spec: UpstreamSpec, *, force_new: bool
) -> AsyncIterator[UpstreamConnection]:
    """Reuse an idle connection or open one; raises `ConnectError`.

    With ``force_new`` a new one is opened in any case.  The connection is
    closed on exit, unless it was released for reuse.
    """
    stream = None if force_new else _pop_idle(idle_connections, spec)
    is_reused = stream is not None
    if stream is None:
        stream = await _open(spec)
    protocol = h11.Connection(h11.CLIENT)
    state: ConnectionState = {
        'is_sent': False,
        'is_large': False,
        'is_kept': False,
        'has_ended': False,
    }
    connection = UpstreamConnection(spec, stream, protocol, state, is_reused)
    try:
        yield connection
    finally:
        if not connection.state['is_kept']:
            await trio.aclose_forcefully(stream)


async def _open(spec: UpstreamSpec) -> trio.SocketStream:
    try:
        return await open_stream(spec.address, CONNECT_TIMEOUT_S)
    except (OSError, trio.TooSlowError) as error:
        raise ConnectError(type(error).__name__) from None


def _pop_idle(
    idle_connections: IdleConnections, spec: UpstreamSpec
) -> trio.SocketStream | None:
    """Return a reusable idle connection, and close others found unusable."""
    idle = idle_connections.get((spec.name, spec.address), [])
    while idle:
        found = idle.pop()
        if now_s() < found.until_s and is_reusable(found.stream):
            return found.stream
        found.stream.socket.close()
    return None


def release(
    idle_connections: IdleConnections,
    connection: UpstreamConnection,
    idle_s: float,
) -> None:
    """Release a connection for reuse, if request and response are complete.

    ``idle_s`` is how long the upstream keeps an idle connection open.
    """
    idle_s = min(idle_s, IDLE_MAX_S) - IDLE_MARGIN_S
    if not _is_complete(connection) or idle_s <= 0:
        return
    idle = idle_connections.setdefault(
        (connection.spec.name, connection.spec.address), []
    )
    if len(idle) < IDLE_CONNECTIONS_MAX:
        idle.append(IdleConnection(connection.stream, now_s() + idle_s))
        connection.state['is_kept'] = True


def _is_complete(connection: UpstreamConnection) -> bool:
    """Return whether nothing of the request or response is left.

    An upstream may respond before it has read a long request; what it reads
    next must not be the next request.
    """
    protocol = connection.protocol
    if not connection.state['is_sent'] or protocol.trailing_data[0]:
        return False
    return protocol.our_state is h11.DONE and protocol.their_state is h11.DONE


async def close_expired(idle_connections: IdleConnections) -> None:
    """Close idle connections that were not reused, until cancelled."""
    while True:
        for idle in idle_connections.values():
            expired = [
                connection
                for connection in idle
                if now_s() >= connection.until_s
            ]
            for connection in expired:
                idle.remove(connection)
                connection.stream.socket.close()
        await trio.sleep(IDLE_MAX_S)


def encode_events(
    connection: UpstreamConnection, events: list[Any]
) -> list[bytes]:
    """Encode a request, before anything of the response is read.

    An upstream may close as soon as it has accepted the connection; the
    protocol state then takes no request any more.  A small request becomes one
    part; a large one is not copied for that.
    """
    parts = [connection.protocol.send(event) or b'' for event in events]
    if sum(map(len, parts)) <= JOINED_MAX_BYTES:
        return [b''.join(parts)]
    connection.state['is_large'] = True
    return parts


async def send_parts(
    connection: UpstreamConnection, parts: list[bytes]
) -> None:
    """Send an encoded request; returns early if the upstream stops reading."""
    try:
        for part in parts:
            await connection.stream.send_all(part)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        # The response, or its absence, decides the result of the attempt.
        return
    connection.state['is_sent'] = True


async def read_event(connection: UpstreamConnection) -> Any:
    """Return the next event of the response.

    Raises `h11.RemoteProtocolError`, `trio.BrokenResourceError` and
    `UnsentRequestError`.
    """

    async def receive() -> None:
        received = await connection.stream.receive_some(READ_BYTES)
        if not received:
            connection.state['has_ended'] = True
            await _check_request_sent(connection)
        connection.protocol.receive_data(received)

    return await next_event(connection.protocol, receive)


async def _check_request_sent(connection: UpstreamConnection) -> None:
    """Raise `UnsentRequestError` unless the upstream has the whole request.

    A task that has just written its last byte runs first.  A reset may follow
    the end of the connection if a large request was still on the way.
    """
    for _ in range(SCHEDULING_ROUNDS):
        await trio.lowlevel.checkpoint()
    if not connection.state['is_sent']:
        raise UnsentRequestError('the connection ended during the request')
    if connection.state['is_large']:
        await trio.sleep(RESET_DELAY_S)
        if _pending_error(connection.stream):
            raise UnsentRequestError('the connection was reset after its end')


def _pending_error(stream: trio.SocketStream) -> int:
    """Return the number of the socket's pending error; 0 for none."""
    return stream.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
