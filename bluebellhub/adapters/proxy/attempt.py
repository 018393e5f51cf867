"""One attempt at one upstream, from connecting to the response's end."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

import h11
import trio

from bluebellhub.adapters.memory import MemoryExhaustedError
from bluebellhub.adapters.node import execute_events
from bluebellhub.adapters.proxy.caller_connection import CallerGoneError
from bluebellhub.adapters.proxy.event_stream import (
    EventIdError,
    EventTooLargeError,
    EventTruncatedError,
    NoEventError,
)
from bluebellhub.adapters.proxy.response_checks import (
    belongs_to_request,
    find_failure,
    is_error,
    is_stream,
)
from bluebellhub.adapters.proxy.response_forwarding import (
    ErrorTooLargeError,
    forward_events,
    forward_response,
    read_response,
)
from bluebellhub.adapters.proxy.response_progress import (
    record_event,
    record_unstreamed,
)
from bluebellhub.adapters.proxy.started_requests import (
    counts_at_response,
    make_start_counter,
)
from bluebellhub.adapters.proxy.state import Proxy, RequestContext
from bluebellhub.adapters.proxy.statements import (
    apply_load,
    apply_needs,
)
from bluebellhub.adapters.proxy.upstream_connection import (
    ConnectError,
    UnsentRequestError,
    UpstreamConnection,
    connect,
    encode_events,
    read_event,
    release,
    send_parts,
)
from bluebellhub.adapters.sockets import has_disconnected
from bluebellhub.clock import now_s
from bluebellhub.errors import HubError
from bluebellhub.platform.headers import attempt_headers, read_response_head
from bluebellhub.platform.responses import NOT_EXECUTED_STATUSES
from bluebellhub.reachability import record_contact
from bluebellhub.request import AttemptFailure
from bluebellhub.request.heads import ResponseHead
from bluebellhub.scheduler import connection_opened, request_sent
from bluebellhub.scheduler.leaving import record_connect
from bluebellhub.scheduler.state import asks_to_wait
from bluebellhub.site.upstreams import apply_response_status
from bluebellhub.upstream import UpstreamSpec

__all__ = [
    'CALLER_GONE',
    'FAILURE_ERRORS',
    'FAILURE_KINDS',
    'AttemptError',
    'read_head',
    'run_attempt',
]

CALLER_GONE: Final = 'caller_gone'
CUT: Final = 'cut'
# Share of the remaining time that an idempotent request waits for the
# response head of one upstream.
FIRST_BYTE_SHARE: Final = 0.35
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


class AttemptError(HubError):
    """An attempt failed; ``failure`` states how."""

    def __init__(self, failure: AttemptFailure) -> None:
        super().__init__(f'{failure.kind}: {failure.detail}')
        self.failure = failure


async def run_attempt(
    proxy: Proxy, context: RequestContext, spec: UpstreamSpec
) -> AttemptFailure | None:
    """Send the request to an upstream and forward the response.

    Returns ``None``, or how the attempt failed.
    """
    force_new = not context.admission.request.idempotent
    started_s = now_s()
    try:
        async with connect(
            proxy.idle_connections, spec, force_new=force_new
        ) as connection:
            if not connection.is_reused:
                _record_connect(proxy, spec, now_s() - started_s)
            return await _exchange(proxy, context, connection)
    except ConnectError as error:
        return AttemptFailure('connect_failed', str(error))


def _record_connect(proxy: Proxy, spec: UpstreamSpec, elapsed_s: float) -> None:
    """Record that the upstream has accepted a connection."""
    node = proxy.node
    record_connect(node.scheduler, spec, elapsed_s)
    execute_events(node, connection_opened(node.scheduler, now_s()))


async def _exchange(
    proxy: Proxy, context: RequestContext, connection: UpstreamConnection
) -> AttemptFailure | None:
    """Send the request and read the response concurrently.

    An upstream may respond before it has read the complete request.  Nothing
    is sent for a caller that has closed its connection, even if the task that
    watches it has not run yet.
    """
    if has_disconnected(context.connection.stream):
        return AttemptFailure(CALLER_GONE, 'left before the attempt')
    if _is_asked_to_wait(proxy, connection.spec.name):
        return AttemptFailure('refused', 'asked to wait while connecting')
    request_sent(proxy.node.scheduler, context.admission.request.request_id)
    parts = encode_events(connection, _request_events(context, connection))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_parts, connection, parts)
        failure = await _receive_response(proxy, context, connection)
        nursery.cancel_scope.cancel()
    return failure


def _is_asked_to_wait(proxy: Proxy, name: str) -> bool:
    """Return whether the upstream has asked this VM to wait meanwhile."""
    scheduler = proxy.node.scheduler
    upstream = scheduler.upstreams.get(name)
    return upstream is not None and asks_to_wait(scheduler, upstream, now_s())


def _request_events(
    context: RequestContext, connection: UpstreamConnection
) -> list[Any]:
    """Return the request as events for the protocol state."""
    request = context.admission.request
    head = context.received.head
    last_event = context.progress['position'].last_id
    headers = list(
        attempt_headers(
            head,
            connection.spec.name,
            request.account,
            request.ends_at_s - now_s(),
            None if last_event is None else b'%d' % last_event,
        )
    )
    body = context.received.body
    if body or head.method not in {b'GET', b'HEAD'}:
        headers.append((b'content-length', b'%d' % len(body)))
    head_event = h11.Request(
        method=head.method, target=head.target, headers=headers
    )
    return [head_event, h11.Data(data=body), h11.EndOfMessage()]


async def _receive_response(
    proxy: Proxy, context: RequestContext, connection: UpstreamConnection
) -> AttemptFailure | None:
    """Forward the response; return how the attempt failed, if it did."""
    try:
        await _read_and_forward(proxy, context, connection)
    except AttemptError as error:
        return error.failure
    except FAILURE_ERRORS as error:
        kind = FAILURE_KINDS[type(error)]
        return AttemptFailure(kind, f'{type(error).__name__} {error}')
    return None


async def _read_and_forward(
    proxy: Proxy, context: RequestContext, connection: UpstreamConnection
) -> None:
    """Read and check the response head, then forward the response."""
    request = context.admission.request
    first_byte_timeout_s = request.ends_at_s - now_s()
    if request.idempotent:
        first_byte_timeout_s *= FIRST_BYTE_SHARE
    with trio.fail_after(max(0.0, first_byte_timeout_s)):
        response = await read_head(connection)
    record_contact(proxy.node.scheduler.links, now_s())
    _apply_statements(proxy, context, connection, response)
    count_once = make_start_counter(proxy, context)
    if counts_at_response(context, connection, response):
        count_once()
    await _check_response(context, connection, response)
    if is_stream(response):
        await forward_events(
            context,
            connection,
            response,
            lambda: record_event(proxy, context, connection, count_once),
        )
    else:
        await forward_response(
            context,
            connection,
            response,
            lambda: record_unstreamed(proxy, context, connection, response),
        )
    release(proxy.idle_connections, connection, response.idle_s)


def _apply_statements(
    proxy: Proxy,
    context: RequestContext,
    connection: UpstreamConnection,
    response: ResponseHead,
) -> None:
    """Apply what the upstream states about itself in the response head."""
    name = connection.spec.name
    apply_load(proxy, name, response)
    apply_response_status(proxy.site, name, is_error=is_error(response))
    if belongs_to_request(context, connection, response):
        apply_needs(proxy, name, response)


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


async def _check_response(
    context: RequestContext,
    connection: UpstreamConnection,
    response: ResponseHead,
) -> None:
    """Raise `AttemptError` unless the response may be forwarded.

    An error response is buffered; the caller receives it if no other attempt
    is allowed or succeeds.
    """
    failure = find_failure(context, connection, response)
    if failure is None:
        return
    if (
        failure.kind == 'answered_error'
        and response.status not in NOT_EXECUTED_STATUSES
    ):
        context.progress['held'] = await read_response(
            context, connection, response
        )
    raise AttemptError(failure)
