"""Listening addresses that another process may hold for a moment longer.

A VM that starts again right after it was killed may find them in use.
"""

import errno
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

import logbook
import trio
import zmq

__all__ = ['listen_when_free', 'serve_tcp']

WAIT_MAX_S: Final = 5.0
RETRY_INTERVAL_S: Final = 0.1

Listener = TypeVar('Listener')

log = logbook.Logger('bluebellhub.listening')


async def listen_when_free(
    address: str, listen: Callable[[], Awaitable[Listener]]
) -> Listener:
    """Return what ``listen`` returns, once the address is free.

    Raises its error if the address is in use for more than `WAIT_MAX_S`, or if
    it is another one.
    """
    give_up_at_s = trio.current_time() + WAIT_MAX_S
    while True:
        try:
            return await listen()
        except (OSError, zmq.ZMQError) as error:
            is_in_use = error.errno == errno.EADDRINUSE
            if not is_in_use or trio.current_time() >= give_up_at_s:
                raise
            log.warning('address in use, waiting', extra={'address': address})
        await trio.sleep(RETRY_INTERVAL_S)


async def serve_tcp(
    handler: Callable[[trio.SocketStream], Awaitable[object]],
    address: str,
    backlog: int | None = None,
) -> None:
    """Serve connections at an IP address and port until cancelled.

    Raises `OSError` if the address is not available.
    """
    host, _, port = address.rpartition(':')
    listeners = await listen_when_free(
        address,
        lambda: trio.open_tcp_listeners(int(port), host=host, backlog=backlog),
    )
    await trio.serve_listeners(handler, listeners)
