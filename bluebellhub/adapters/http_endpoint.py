"""An HTTP/1.1 endpoint for a few small resources that are read with GET.

It serves health checks and metrics with h11 alone, which the proxy loads
anyway, so that a VM does not load an HTTP framework before it is ready.
"""

from collections.abc import Callable, Mapping
from functools import partial
from typing import Final, NamedTuple

import h11
import logbook
import trio

from bluebellhub.adapters.listening import serve_tcp
from bluebellhub.adapters.protocol_events import next_event

__all__ = ['Page', 'Pages', 'serve_pages']

READ_BYTES: Final = 8192
HEADER_MAX_BYTES: Final = 16_384
IDLE_TIMEOUT_S: Final = 75.0
OK: Final = 200
NOT_FOUND: Final = 404
METHOD_NOT_ALLOWED: Final = 405
BAD_REQUEST: Final = 400
METHODS: Final = frozenset((b'GET', b'HEAD'))
LOST: Final = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)

log = logbook.Logger('bluebellhub.endpoint')


class Page(NamedTuple):
    """A response to a request for a resource."""

    body: bytes
    status: int = OK
    content_type: str = 'text/plain'


Pages = Mapping[str, Callable[[], Page]]


async def serve_pages(pages: Pages, listen: str) -> None:
    """Serve ``pages`` by path at an IP address and port until cancelled.

    Raises `OSError` if the address is not available.

    Example: ``await serve_pages({'/alive': lambda: Page(b'yes')}, address)``.
    """
    await serve_tcp(partial(_serve_connection, pages), listen)


async def _serve_connection(pages: Pages, stream: trio.SocketStream) -> None:
    """Answer the requests of one connection; an error ends only this one."""
    protocol = h11.Connection(
        h11.SERVER, max_incomplete_event_size=HEADER_MAX_BYTES
    )
    try:
        while await _serve_request(pages, protocol, stream):
            protocol.start_next_cycle()
    except LOST as error:
        log.debug('connection lost: {}', type(error).__name__)
    except Exception:
        log.exception('unexpected error; closing the connection')
    finally:
        await trio.aclose_forcefully(stream)


async def _serve_request(
    pages: Pages, protocol: h11.Connection, stream: trio.SocketStream
) -> bool:
    """Answer one request; return whether the connection is reusable."""
    page = Page(b'no response in time\n', BAD_REQUEST)
    method = b'GET'
    with trio.move_on_after(IDLE_TIMEOUT_S):
        try:
            request = await _read_request(protocol, stream)
        except h11.RemoteProtocolError as error:
            page = Page(f'{error}\n'.encode(), BAD_REQUEST)
        else:
            if request is None:
                return False
            method = request.method
            page = _find_page(pages, request)
        await _send_page(protocol, stream, page, method)
        return (
            protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        )
    return False


async def _read_request(
    protocol: h11.Connection, stream: trio.SocketStream
) -> h11.Request | None:
    """Read a request to its end; return ``None`` if the client closed.

    Raises `h11.RemoteProtocolError`.
    """

    async def receive() -> None:
        protocol.receive_data(await stream.receive_some(READ_BYTES))

    request = None
    while True:
        event = await next_event(protocol, receive)
        if isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.EndOfMessage):
            return request
        elif isinstance(event, h11.ConnectionClosed):
            return None


def _find_page(pages: Pages, request: h11.Request) -> Page:
    if request.method not in METHODS:
        return Page(b'expected GET\n', METHOD_NOT_ALLOWED)
    path = request.target.decode('latin-1').partition('?')[0]
    render = pages.get(path)
    return render() if render else Page(b'not found\n', NOT_FOUND)


async def _send_page(
    protocol: h11.Connection,
    stream: trio.SocketStream,
    page: Page,
    method: bytes,
) -> None:
    headers = [
        ('content-type', page.content_type),
        ('content-length', str(len(page.body))),
    ]
    body = b'' if method == b'HEAD' else page.body
    events = (
        h11.Response(status_code=page.status, headers=headers),
        h11.Data(data=body),
        h11.EndOfMessage(),
    )
    await stream.send_all(b''.join(protocol.send(event) for event in events))
