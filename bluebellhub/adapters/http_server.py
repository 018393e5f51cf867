"""The HTTP server that the front end and the stand-ins use.

A connection is reused only if the body of its request was read to the end;
otherwise the response has ``Connection: close`` and the server closes it.
"""

from typing import Any, Final

import logbook
import trio
from hypercorn.config import Config
from hypercorn.trio import run as hypercorn_run
from hypercorn.trio import serve
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.typing import (
    ASGIReceiveCallable,
    ASGISendCallable,
    ASGISendEvent,
)
from quart import Request, Response, request
from quart import g as request_globals
from quart.asgi import ASGIHTTPConnection
from quart_trio import QuartTrio
from quart_trio.asgi import TrioASGIHTTPConnection

from bluebellhub.faults import report_fault

__all__ = [
    'HttpApp',
    'make_config',
    'make_http_app',
    'read_body',
    'serve_app',
]

KEEP_ALIVE_S: Final = 75.0
GRACEFUL_TIMEOUT_S: Final = 1.0
HEADER_MAX_BYTES: Final = 65_536


LOST: Final = (
    trio.BrokenResourceError,
    trio.BusyResourceError,
    trio.ClosedResourceError,
)

log = logbook.Logger('bluebellhub.http')


class IsolatedConnection(TCPServer):
    """A connection whose errors end only that connection.

    The server handles `OSError` alone; any other one, as when two of its tasks
    write to a connection that is being closed, would end the process.
    """

    async def run(self) -> None:
        """Serve the requests of the connection until it ends."""
        try:
            await super().run()
        except* LOST as lost:
            log.debug('connection lost: {}', lost.exceptions[0])
        except* Exception as error:
            report_fault(error, 'connection')


# The server has no parameter for the class of its connections.
hypercorn_run.TCPServer = IsolatedConnection  # type: ignore[misc]


class HttpConnection(TrioASGIHTTPConnection):
    """One request of a connection.

    The server reports the end of a response and the disconnection of its
    caller by the same message.  Only a disconnection may cancel the work:
    the end must reach the code that makes the connection ready for the next
    request, closes it or starts its idle timeout.
    """

    async def __call__(
        self, receive: ASGIReceiveCallable, send: ASGISendCallable
    ) -> None:
        """Serve the request and record when its response is complete."""
        self.is_complete = False

        async def send_and_record(message: ASGISendEvent) -> None:
            if message['type'] == 'http.response.body':
                self.is_complete = not message['more_body']
            await send(message)

        await super().__call__(receive, send_and_record)

    async def handle_messages(  # type: ignore[override]
        self,
        nursery: trio.Nursery,
        request: Request,
        receive: ASGIReceiveCallable,
    ) -> None:
        """Read the body; cancel the work if the caller disconnects."""
        await ASGIHTTPConnection.handle_messages(self, request, receive)
        if not self.is_complete:
            nursery.cancel_scope.cancel()


class HttpApp(QuartTrio):
    """An application whose connections are reused after a response."""

    asgi_http_class = HttpConnection


def make_http_app(name: str) -> HttpApp:
    """Create an application without routes."""
    app = HttpApp(name)

    @app.after_request
    async def close_if_unread(response: Response) -> Response:
        if _has_body() and not request_globals.get('is_body_read', False):
            response.headers['Connection'] = 'close'
        return response

    return app


def _has_body() -> bool:
    chunked = 'Transfer-Encoding' in request.headers
    return chunked or bool(request.content_length)


async def read_body() -> bytes:
    """Return the body of the request that is being served."""
    raw = await request.get_data()
    request_globals.is_body_read = True
    return raw.encode() if isinstance(raw, str) else raw


def make_config(address: str, keep_alive_s: float = KEEP_ALIVE_S) -> Config:
    """Return a server configuration without access and error logs."""
    config = Config()
    config.bind = [address]
    config.h11_max_incomplete_size = HEADER_MAX_BYTES
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.keep_alive_timeout = keep_alive_s
    return config


async def serve_app(
    app: Any,
    address: str,
    keep_alive_s: float = KEEP_ALIVE_S,
    **options: Any,
) -> None:
    """Serve ``app`` on an IP address and port until cancelled."""
    config = make_config(address, keep_alive_s)
    await serve(app, config, mode='asgi', **options)
