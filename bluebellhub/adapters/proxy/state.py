"""State that the tasks of the proxy share."""

from typing import Literal, NamedTuple, TypedDict

import trio

from bluebellhub.adapters.exchange import Exchange
from bluebellhub.adapters.node import Node
from bluebellhub.adapters.proxy.caller_connection import (
    CallerConnection,
    ReceivedRequest,
)
from bluebellhub.adapters.proxy.event_stream import (
    StreamPosition,
    read_id,
)
from bluebellhub.adapters.proxy.upstream_connection import IdleConnections
from bluebellhub.request.heads import Headers
from bluebellhub.scaling import Scaling
from bluebellhub.site.admission import Admission
from bluebellhub.site.state import Site
from bluebellhub.usage import Usage

__all__ = [
    'BufferedResponse',
    'DutyWork',
    'Proxy',
    'RequestContext',
    'ResponseProgress',
    'make_request_context',
]


class DutyWork(NamedTuple):
    """What this VM collects for the duties that the settings name.

    Through ``report_requests`` a report of usage is asked for at once, and
    ``reports_due`` is where its sender is told.
    """

    names: frozenset[str]
    usage: Usage
    scaling: Scaling
    report_requests: trio.MemorySendChannel[None]
    reports_due: trio.MemoryReceiveChannel[None]


class Proxy(NamedTuple):
    """The root: the VM's runtime and site state, and open connections.

    ``idle_connections`` lead to upstreams; ``caller_connections`` are keyed
    by the `id` of the connection.  ``logged_at_s`` holds when kinds of lines
    were logged that are logged rarely.  ``duty_work`` is ``None`` if the
    settings name no duty.
    """

    node: Node
    site: Site
    idle_connections: IdleConnections
    caller_connections: dict[int, CallerConnection]
    logged_at_s: dict[str, float]
    duty_work: DutyWork | None = None


class BufferedResponse(NamedTuple):
    """A complete response of ``upstream`` that was not forwarded yet."""

    status: int
    headers: Headers
    body: bytes
    upstream: str


class ResponseProgress(TypedDict):
    """How much of a response was received and forwarded.

    ``has_begun`` is set once the head was written to the caller, and
    ``position`` is that of the last event forwarded.  ``tokens`` counts the
    tokens received, and ``first_at_s`` is when the first event or unstreamed
    success arrived.  ``is_error`` is set if the status of the response that was
    forwarded states an error, and ``held`` is an upstream's error response,
    forwarded if no other attempt succeeds.  ``upstream`` names that of the
    latest attempt, and ``outcome`` is empty until the request ends.
    ``forwarding`` tells whether another VM may have got the request; it is
    empty if none was asked.  ``was_sent`` is set if an upstream may have got it
    before that.
    """

    has_begun: bool
    position: StreamPosition
    tokens: int
    first_at_s: float | None
    is_error: bool
    held: BufferedResponse | None
    upstream: str
    outcome: str
    forwarding: Literal['', 'unsent', 'sent']
    was_sent: bool


class RequestContext(NamedTuple):
    """A request, its admission, its connection and its progress."""

    received: ReceivedRequest
    admission: Admission
    connection: CallerConnection
    exchange: Exchange
    progress: ResponseProgress


def make_request_context(
    received: ReceivedRequest,
    admission: Admission,
    connection: CallerConnection,
    exchange: Exchange,
) -> RequestContext:
    """Create the context of a request that was not sent yet."""
    progress: ResponseProgress = {
        'has_begun': False,
        'position': StreamPosition(read_id(received.head.resume_after or b'')),
        'tokens': 0,
        'first_at_s': None,
        'is_error': False,
        'held': None,
        'upstream': '',
        'outcome': '',
        'forwarding': '',
        'was_sent': False,
    }
    return RequestContext(received, admission, connection, exchange, progress)
