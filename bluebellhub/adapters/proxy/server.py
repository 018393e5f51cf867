"""Serves callers' connections from the first request until they close."""

from functools import partial
from typing import Final

import h11
import logbook
import trio

from bluebellhub.adapters.listening import serve_tcp
from bluebellhub.adapters.memory import release_memory
from bluebellhub.adapters.proxy.caller_connection import (
    CallerConnection,
    CallerGoneError,
    ReceivedRequest,
    close_connection,
    make_connection,
    send_refusal,
)
from bluebellhub.adapters.proxy.request_handling import handle_request
from bluebellhub.adapters.proxy.request_reading import read_request
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.adapters.sockets import peer_ip, set_caller_options
from bluebellhub.faults import report_fault
from bluebellhub.request import RefusalError
from bluebellhub.request.refusal import InternalError
from bluebellhub.route import CallerLimits
from bluebellhub.site.peer_choice import check_member

__all__ = [
    'close_idle_connections',
    'has_active_requests',
    'serve_callers',
    'serve_connection',
    'serve_peer_connection',
    'serve_peers',
]

BACKLOG: Final = 1024
# What a VM adds to the head of a request that it forwards.
ADDED_HEADER_BYTES: Final = 256

log = logbook.Logger('bluebellhub.callers')


async def serve_callers(proxy: Proxy, listen: str) -> None:
    """Accept callers at an IP address and port until cancelled."""
    await serve_tcp(partial(serve_connection, proxy), listen, BACKLOG)


async def serve_peers(proxy: Proxy, listen: str) -> None:
    """Accept requests that other VMs forward, until cancelled."""
    await serve_tcp(partial(serve_peer_connection, proxy), listen, BACKLOG)


async def serve_peer_connection(
    proxy: Proxy, stream: trio.SocketStream
) -> None:
    """Answer forwarded requests; who is no VM of the fleet is refused."""
    await serve_connection(proxy, stream, is_peer=True)


async def serve_connection(
    proxy: Proxy, stream: trio.SocketStream, *, is_peer: bool = False
) -> None:
    """Answer the requests of one connection in sequence."""
    connection = make_connection(
        stream,
        _limits(proxy, is_peer=is_peer),
        proxy.node.memory,
        is_peer=is_peer,
    )
    proxy.caller_connections[id(connection)] = connection
    try:
        set_caller_options(stream)
        while await _serve_request(proxy, connection):
            release_memory(connection.reservation)
            connection.protocol.start_next_cycle()
    except (CallerGoneError, OSError) as error:
        log.debug('caller connection lost: {}', type(error).__name__)
    except Exception as error:
        connection.state['is_aborted'] = True
        report_fault(error, 'connection')
    finally:
        proxy.caller_connections.pop(id(connection))
        await close_connection(connection)


def _limits(proxy: Proxy, *, is_peer: bool) -> CallerLimits:
    """Return the limits on what is read; forwarding adds to the head."""
    table = proxy.site.active_config['table']
    limits = table.limits if table else CallerLimits()
    if not is_peer:
        return limits
    return limits._replace(
        header_max_bytes=limits.header_max_bytes + ADDED_HEADER_BYTES
    )


async def _serve_request(proxy: Proxy, connection: CallerConnection) -> bool:
    """Answer one request; return whether the connection is reusable."""
    try:
        received = await read_request(connection)
        if connection.is_peer:
            check_member(proxy.site, peer_ip(connection.stream))
    except RefusalError as error:
        log.info(
            'refused', extra={'reason': error.reason, 'detail': str(error)}
        )
        await _refuse_incomplete(connection, error)
        return False
    if received is None:
        return False
    connection.state['closes'] |= proxy.site.flags['leaving']
    if not await _handle_isolated(proxy, connection, received):
        return False
    protocol = connection.protocol
    is_complete = (
        protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
    )
    return is_complete and not connection.state['is_aborted']


async def _handle_isolated(
    proxy: Proxy, connection: CallerConnection, received: ReceivedRequest
) -> bool:
    """Answer a request; an unexpected error ends only this one.

    Returns whether there was none.
    """
    request_id = received.head.request_id
    try:
        await handle_request(proxy, connection, received)
    except (CallerGoneError, OSError):
        raise
    except Exception as error:
        # Whether an upstream has executed the request is not known any more.
        refusal = InternalError('unexpected error', run='unknown')
        if not await _refuse_incomplete(connection, refusal):
            connection.state['is_aborted'] = True
        report_fault(error, 'request', request=request_id)
        return False
    return True


async def _refuse_incomplete(
    connection: CallerConnection, error: RefusalError
) -> bool:
    """Refuse a request that cannot be answered, and close.

    Returns whether it was refused, which a begun response does not allow.
    """
    connection.state['closes'] = True
    if connection.protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
        return False
    await send_refusal(connection, error)
    return True


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
