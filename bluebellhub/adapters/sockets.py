"""Sockets to peers that may vanish without a word."""

import socket
from typing import Final

import trio

__all__ = ['SOCKET_OPTIONS', 'is_reusable', 'open_stream', 'set_socket_options']

KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
USER_TIMEOUT_MS: Final = 2500

SOCKET_OPTIONS: Final = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


def set_socket_options(stream: trio.SocketStream) -> None:
    """Let a connection whose other end vanished fail in a few seconds."""
    for option in SOCKET_OPTIONS:
        stream.socket.setsockopt(*option)


async def open_stream(address: str, timeout_s: float) -> trio.SocketStream:
    """Connect to an IP number and port.

    Raises `OSError`, or `trio.TooSlowError` after ``timeout_s`` seconds.
    """
    host, _, port = address.rpartition(':')
    opened = trio.socket.socket()
    try:
        with trio.fail_after(timeout_s):
            await opened.connect((host, int(port)))
    except BaseException:
        opened.close()
        raise
    stream = trio.SocketStream(opened)
    set_socket_options(stream)
    return stream


def is_reusable(stream: trio.SocketStream) -> bool:
    """Tell whether an idle connection is open and nothing has arrived."""
    flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
    raw = socket.socket(fileno=stream.socket.fileno())
    try:
        raw.recv(1, flags)
    except BlockingIOError:
        return True
    except OSError:
        return False
    finally:
        raw.detach()
    return False
