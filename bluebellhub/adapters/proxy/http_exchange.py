"""One request and its response over a connection, and how that may fail.

The connection leads to an upstream, or to another VM that forwards.
"""

from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

import h11
import trio

from bluebellhub.adapters.memory import MemoryExhaustedError
from bluebellhub.adapters.proxy.caller_connection import (
    CallerGoneError,
    ReceivedRequest,
)
from bluebellhub.adapters.proxy.event_stream import (
    EventIdError,
    EventTooLargeError,
    EventTruncatedError,
    NoEventError,
)
from bluebellhub.adapters.proxy.response_forwarding import ErrorTooLargeError
from bluebellhub.adapters.proxy.upstream_connection import (
    UnsentRequestError,
    UpstreamConnection,
    encode_events,
    read_event,
    send_parts,
)
from bluebellhub.errors import HubError
from bluebellhub.platform.headers import read_response_head
from bluebellhub.request import AttemptFailure
from bluebellhub.request.heads import Headers, ResponseHead

__all__ = [
    'CALLER_GONE',
    'AttemptError',
    'read_head',
    'request_events',
    'send_and_receive',
]

CALLER_GONE: Final = 'caller_gone'
CUT: Final = 'cut'
FAILURE_KINDS: Final[Mapping[type[BaseException], str]] = MappingProxyType(
    {
        CallerGoneError: CALLER_GONE,
        ErrorTooLargeError: CUT,
        EventIdError: CUT,
        EventTooLargeError: CUT,
        EventTruncatedError: CUT,
        MemoryExhaustedError: CUT,
        NoEventError: CUT,
        UnsentRequestError: CUT,
        h11.RemoteProtocolError: CUT,
        trio.BrokenResourceError: CUT,
        trio.ClosedResourceError: CUT,
        trio.TooSlowError: 'silent',
    }
)
FAILURE_ERRORS: Final = tuple(FAILURE_KINDS)

Receive = Callable[[], Awaitable[AttemptFailure | None]]


class AttemptError(HubError):
    """An attempt failed; ``failure`` states how."""

    def __init__(self, failure: AttemptFailure) -> None:
        super().__init__(f'{failure.kind}: {failure.detail}')
        self.failure = failure


def request_events(received: ReceivedRequest, headers: Headers) -> list[Any]:
    """Return a request with these headers as events for the protocol state."""
    head = received.head
    body = received.body
    if body or head.method not in {b'GET', b'HEAD'}:
        headers = (*headers, (b'content-length', b'%d' % len(body)))
    request = h11.Request(
        method=head.method, target=head.target, headers=list(headers)
    )
    return [request, h11.Data(data=body), h11.EndOfMessage()]


async def send_and_receive(
    connection: UpstreamConnection, events: list[Any], receive: Receive
) -> AttemptFailure | None:
    """Send a request while ``receive`` reads and forwards the response.

    Returns how the attempt failed, if it did.
    """
    parts = encode_events(connection, events)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_parts, connection, parts)
        failure = await _receive(receive)
        nursery.cancel_scope.cancel()
    return failure


async def _receive(receive: Receive) -> AttemptFailure | None:
    try:
        return await receive()
    except AttemptError as error:
        return error.failure
    except FAILURE_ERRORS as error:
        kind = FAILURE_KINDS[type(error)]
        return AttemptFailure(kind, f'{type(error).__name__} {error}')


async def read_head(connection: UpstreamConnection) -> ResponseHead:
    """Read a response head; raises `AttemptError` if there is none."""
    while True:
        event = await read_event(connection)
        if isinstance(event, h11.Response):
            return read_response_head(event.status_code, event.headers)
        if not isinstance(event, h11.InformationalResponse):
            raise AttemptError(
                AttemptFailure(
                    CUT, 'the connection ended before the response head'
                )
            )
