"""One attempt at one upstream, from connecting to the response's end."""

from functools import partial
from typing import Any, Final

import trio

from bluebellhub.adapters.node import execute_events
from bluebellhub.adapters.proxy.http_exchange import (
    CALLER_GONE,
    AttemptError,
    read_head,
    request_events,
    send_and_receive,
)
from bluebellhub.adapters.proxy.response_checks import (
    belongs_to_request,
    find_failure,
    is_error,
    is_stream,
)
from bluebellhub.adapters.proxy.response_forwarding import (
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
    UpstreamConnection,
    connect,
    release,
)
from bluebellhub.adapters.sockets import has_disconnected
from bluebellhub.clock import now_s
from bluebellhub.platform.headers import attempt_headers
from bluebellhub.platform.responses import NOT_EXECUTED_STATUSES
from bluebellhub.reachability import record_contact
from bluebellhub.request import AttemptFailure
from bluebellhub.request.heads import ResponseHead
from bluebellhub.scheduler import connection_opened, request_sent
from bluebellhub.scheduler.leaving import record_connect
from bluebellhub.scheduler.state import asks_to_wait
from bluebellhub.site.upstreams import apply_response_status
from bluebellhub.upstream import UpstreamSpec

__all__ = ['run_attempt']

# Share of the remaining time that an idempotent request waits for the
# response head of one upstream.
FIRST_BYTE_SHARE: Final = 0.35


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
    return await send_and_receive(
        connection,
        _request_events(context, connection),
        partial(_read_and_forward, proxy, context, connection),
    )


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
    headers = attempt_headers(
        head,
        connection.spec.name,
        request.account,
        request.ends_at_s - now_s(),
        None if last_event is None else b'%d' % last_event,
    )
    return request_events(context.received, headers)


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
