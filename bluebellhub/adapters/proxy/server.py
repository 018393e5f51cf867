"""Serves callers' connections from the first request until they close."""

from typing import Final

import h11
import logbook
import trio

from bluebellhub.adapters.proxy.caller_connection import (
    CallerConnection,
    CallerGoneError,
    close_connection,
    make_connection,
    read_request,
    send_refusal,
)
from bluebellhub.adapters.proxy.request_handling import handle_request
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.adapters.sockets import set_socket_options
from bluebellhub.request import RefusalError
from bluebellhub.route import CallerLimits

__all__ = [
    'close_idle_connections',
    'has_active_requests',
    'serve_callers',
    'serve_connection',
]

BACKLOG: Final = 1024

log = logbook.Logger('bluebellhub.callers')


async def serve_callers(proxy: Proxy, listen: str) -> None:
    """Accept callers at an IP address and port until cancelled."""
    host, _, port = listen.rpartition(':')
    await trio.serve_tcp(
        lambda stream: serve_connection(proxy, stream),
        int(port),
        host=host,
        backlog=BACKLOG,
    )


async def serve_connection(proxy: Proxy, stream: trio.SocketStream) -> None:
    """Answer the requests of one connection in sequence."""
    table = proxy.site.active_config['table']
    connection = make_connection(
        stream, table.limits if table else CallerLimits()
    )
    proxy.caller_connections[id(connection)] = connection
    try:
        set_socket_options(stream)
        while await _serve_request(proxy, connection):
            connection.protocol.start_next_cycle()
    except (CallerGoneError, OSError) as error:
        log.debug('caller connection lost: {}', type(error).__name__)
    except Exception:
        # An error in one connection must not end the others.
        log.exception('unexpected error; closing the caller connection')
        connection.state['is_aborted'] = True
    finally:
        proxy.caller_connections.pop(id(connection))
        await close_connection(connection)


async def _serve_request(proxy: Proxy, connection: CallerConnection) -> bool:
    """Answer one request; return whether the connection is reusable."""
    try:
        received = await read_request(connection)
    except RefusalError as error:
        log.info(
            'refused', extra={'reason': error.reason, 'detail': str(error)}
        )
        await _refuse_incomplete(connection, error)
        return False
    if received is None:
        return False
    connection.state['closes'] |= proxy.site.flags['leaving']
    await handle_request(proxy, connection, received)
    protocol = connection.protocol
    is_complete = (
        protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
    )
    return is_complete and not connection.state['is_aborted']


async def _refuse_incomplete(
    connection: CallerConnection, error: RefusalError
) -> None:
    """Refuse a request that was not read completely, and close."""
    connection.state['closes'] = True
    if connection.protocol.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
        await send_refusal(connection, error)


def close_idle_connections(proxy: Proxy) -> None:
    """Close idle connections now, and the others after their response."""
    for connection in proxy.caller_connections.values():
        connection.state['closes'] = True
        scope = connection.state['idle_scope']
        if scope is not None:
            scope.cancel()


def has_active_requests(proxy: Proxy) -> bool:
    """Return whether a request is being read or answered."""
    return any(
        not connection.state['is_idle']
        for connection in proxy.caller_connections.values()
    )
