"""Callers' connections, from their first request to their close."""

from typing import Final

import h11
import logbook
import trio

from bluebellhub.adapters.proxy.caller_connection import (
    CallerGoneError,
    CallerLink,
    close_link,
    make_link,
    next_call,
    send_refusal,
)
from bluebellhub.adapters.proxy.request_handling import answer_call
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.adapters.sockets import set_socket_options
from bluebellhub.request import RefusalError
from bluebellhub.route import CallerLimits

__all__ = ['close_idle', 'is_answering', 'serve_caller', 'serve_callers']

BACKLOG: Final = 1024

log = logbook.Logger('bluebellhub.callers')


async def serve_callers(passing: Proxy, listen: str) -> None:
    """Accept callers on an IP number and port until cancelled."""
    host, _, port = listen.rpartition(':')
    await trio.serve_tcp(
        lambda stream: serve_caller(passing, stream),
        int(port),
        host=host,
        backlog=BACKLOG,
    )


async def serve_caller(passing: Proxy, stream: trio.SocketStream) -> None:
    """Answer the requests of one connection, one after the other."""
    table = passing.site.active_config['table']
    link = make_link(stream, table.limits if table else CallerLimits())
    passing.links[id(link)] = link
    try:
        set_socket_options(stream)
        while await _serve_one(passing, link):
            link.protocol.start_next_cycle()
    except (CallerGoneError, OSError) as error:
        log.debug('caller lost: {}', type(error).__name__)
    except Exception:
        # A fault met by one connection must not end the others.
        log.exception('connection given up')
        link.state['is_aborted'] = True
    finally:
        passing.links.pop(id(link))
        await close_link(link)


async def _serve_one(passing: Proxy, link: CallerLink) -> bool:
    """Answer one request; tells whether another may follow."""
    try:
        call = await next_call(link)
    except RefusalError as error:
        log.info(
            'refused', extra={'reason': error.reason, 'detail': str(error)}
        )
        await _refuse_unread(link, error)
        return False
    if call is None:
        return False
    link.state['closes'] |= passing.site.flags['leaving']
    await answer_call(passing, link, call)
    protocol = link.protocol
    ended = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
    return ended and not link.state['is_aborted']


async def _refuse_unread(link: CallerLink, error: RefusalError) -> None:
    """Refuse a request that was not read to its end, and close."""
    link.state['closes'] = True
    if link.protocol.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
        await send_refusal(link, error)


def close_idle(passing: Proxy) -> None:
    """Close the connections that wait for a request; others close later."""
    for link in passing.links.values():
        link.state['closes'] = True
        scope = link.state['idle_scope']
        if scope is not None:
            scope.cancel()


def is_answering(passing: Proxy) -> bool:
    """Tell whether a request is read or answered on some connection."""
    return any(not link.state['is_idle'] for link in passing.links.values())
