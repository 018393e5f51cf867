"""TCP sockets that detect the loss of their peer within seconds."""

import socket
import struct
from collections.abc import Iterable
from typing import Final

import trio

from bluebellhub.faults import isolate_fault

__all__ = [
    'SOCKET_OPTIONS',
    'accepts_any',
    'has_disconnected',
    'has_unread_bytes',
    'is_reusable',
    'open_stream',
    'peer_ip',
    'refuses_connections',
    'reset_on_close',
    'set_caller_options',
]

KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
USER_TIMEOUT_MS: Final = 2500
CHECK_TIMEOUT_S: Final = 1.0
TRIED_AT_ONCE: Final = 2
TRY_DELAY_S: Final = 0.05

# A caller may read nothing for a while: the system would count that as lost
# with TCP_USER_TIMEOUT, and the time limit of its request ends a lost one.
CALLER_OPTIONS: Final = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)
SOCKET_OPTIONS: Final = (
    *CALLER_OPTIONS,
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def set_caller_options(stream: trio.SocketStream) -> None:
    """Set options that make an idle connection to a lost caller fail."""
    for option in CALLER_OPTIONS:
        stream.socket.setsockopt(*option)


def reset_on_close(stream: trio.SocketStream) -> None:
    """Make closing the connection reset it, so that it is no proper end."""
    linger = struct.pack('ii', 1, 0)
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def open_stream(address: str, timeout_s: float) -> trio.SocketStream:
    """Connect to an IP address and port.

    Raises `OSError`, or `trio.TooSlowError` after ``timeout_s`` seconds.
    """
    host, _, port = address.rpartition(':')
    connecting = trio.socket.socket()
    try:
        with trio.fail_after(timeout_s):
            await connecting.connect((host, int(port)))
    except BaseException:
        connecting.close()
        raise
    stream = trio.SocketStream(connecting)
    for option in SOCKET_OPTIONS:
        stream.socket.setsockopt(*option)
    return stream


async def accepts_any(addresses: Iterable[str], timeout_s: float) -> bool:
    """Return whether any of the addresses accepts a connection in time.

    Only the first ones are tried at once: a peer pays for each connection, and
    mostly one of them accepts.
    """
    accepted: list[str] = []

    async def connect(
        address: str, delay_s: float, scope: trio.CancelScope
    ) -> None:
        await trio.sleep(delay_s)
        with isolate_fault('link_check', address=address):
            try:
                stream = await open_stream(address, timeout_s)
            except (OSError, trio.TooSlowError):
                return
            await trio.aclose_forcefully(stream)
            accepted.append(address)
            scope.cancel()

    async with trio.open_nursery() as nursery:
        for number, address in enumerate(addresses):
            delay_s = 0.0 if number < TRIED_AT_ONCE else TRY_DELAY_S
            nursery.start_soon(connect, address, delay_s, nursery.cancel_scope)
    return bool(accepted)


async def refuses_connections(address: str) -> bool:
    """Return whether a host responds but nothing listens at the address."""
    try:
        stream = await open_stream(address, CHECK_TIMEOUT_S)
    except ConnectionRefusedError:
        return True
    except (OSError, trio.TooSlowError):
        return False
    await trio.aclose_forcefully(stream)
    return False


def peer_ip(stream: trio.SocketStream) -> str:
    """Return the IP address of the peer; empty once it has disconnected."""
    try:
        return str(stream.socket.getpeername()[0])
    except OSError:
        return ''


def is_reusable(stream: trio.SocketStream) -> bool:
    """Return whether an idle connection is open and has no unread data."""
    return _peek(stream) is None


def has_unread_bytes(stream: trio.SocketStream) -> bool:
    """Return whether the peer has sent bytes that were not read yet."""
    return bool(_peek(stream))


def has_disconnected(stream: trio.SocketStream) -> bool:
    """Return whether the peer closed and all its data has been read."""
    return _peek(stream) == b''


def _peek(stream: trio.SocketStream) -> bytes | None:
    """Return the next unread byte; ``None`` if there is none yet.

    It is empty if the connection has ended.
    """
    flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
    duplicate = socket.socket(fileno=stream.socket.fileno())
    try:
        return duplicate.recv(1, flags)
    except BlockingIOError:
        return None
    except OSError:
        return b''
    finally:
        duplicate.detach()
