"""Forwards requests to other VMs while this one is cut off from upstreams.

A request is forwarded once: the VM that takes it never forwards it again, and
another VM is tried only if this one has certainly not run it.
"""

from functools import partial

import logbook

from bluebellhub.adapters.proxy.http_exchange import (
    CALLER_GONE,
    AttemptError,
    read_head,
    request_events,
    send_and_receive,
)
from bluebellhub.adapters.proxy.peer_heads import (
    PeerRefusal,
    attempts_header,
    read_refusal,
    read_upstream,
    without_peer_headers,
)
from bluebellhub.adapters.proxy.response_checks import (
    belongs_to_request,
    is_stream,
    is_success,
)
from bluebellhub.adapters.proxy.response_forwarding import (
    forward_events,
    forward_response,
    read_response,
    send_buffered,
)
from bluebellhub.adapters.proxy.state import Proxy, RequestContext
from bluebellhub.adapters.proxy.statements import apply_needs
from bluebellhub.adapters.proxy.upstream_connection import (
    ConnectError,
    UpstreamConnection,
    connect,
    release,
)
from bluebellhub.adapters.sockets import has_disconnected
from bluebellhub.clock import now_s
from bluebellhub.platform.headers import relayed_headers
from bluebellhub.request import AttemptFailure, RefusalError
from bluebellhub.request.heads import Headers, ResponseHead
from bluebellhub.request.refusal import CutOffError, UpstreamFailedError
from bluebellhub.site.helper_pauses import (
    record_helper_failure,
    record_helper_response,
)
from bluebellhub.site.peer_choice import choose_helper, may_offer_again
from bluebellhub.upstream import UpstreamSpec

__all__ = ['forward_to_peer']

log = logbook.Logger('bluebellhub.forwarding')


async def forward_to_peer(
    proxy: Proxy, context: RequestContext, error: CutOffError
) -> RefusalError | None:
    """Forward a request; return the refusal if no VM has answered it.

    Raises `CallerGoneError`.
    """
    tried: list[str] = []
    while helper := choose_helper(proxy.site, tried, now_s()):
        tried.append(helper)
        failure = await _forward(proxy, context, helper, error.attempts_left)
        _record_result(proxy, context, helper, failure)
        if failure is None:
            return None
        if failure.kind == CALLER_GONE:
            context.progress['outcome'] = CALLER_GONE
            return None
        if context.progress['forwarding'] == 'sent':
            return UpstreamFailedError(
                f'{helper}: {failure.kind}', run='unknown'
            )
    return error


def _record_result(
    proxy: Proxy,
    context: RequestContext,
    helper: str,
    failure: AttemptFailure | None,
) -> None:
    """Log how a VM has served, and avoid it for a while if it failed."""
    outcome = 'answered' if failure is None else failure.kind
    proxy.node.scheduler.counters['forwarded', outcome] += 1
    if failure is None:
        record_helper_response(proxy.site.helpers, helper)
    elif failure.kind != CALLER_GONE:
        record_helper_failure(proxy.site.helpers, helper, now_s())
    log.info(
        'forwarded',
        extra={
            'request': context.received.head.request_id,
            'helper': helper,
            'outcome': outcome,
            'detail': failure.detail if failure else '',
        },
    )


async def _forward(
    proxy: Proxy, context: RequestContext, helper: str, attempts_left: int
) -> AttemptFailure | None:
    """Forward to one VM; return how that failed, if it did."""
    location = proxy.site.vms.get(helper)
    if location is None:
        return AttemptFailure('connect_failed', 'gone')
    request = context.admission.request
    spec = UpstreamSpec(
        helper,
        location.forward_address,
        (request.target,),
        location.domain,
    )
    context.progress['forwarding'] = 'unsent'
    try:
        async with connect(
            proxy.idle_connections, spec, force_new=not request.idempotent
        ) as connection:
            return await _exchange(proxy, context, connection, attempts_left)
    except ConnectError as error:
        return AttemptFailure('connect_failed', str(error))


async def _exchange(
    proxy: Proxy,
    context: RequestContext,
    connection: UpstreamConnection,
    attempts_left: int,
) -> AttemptFailure | None:
    """Send the request and forward the response, concurrently."""
    if has_disconnected(context.connection.stream):
        return AttemptFailure(CALLER_GONE, 'left before the attempt')
    context.progress['forwarding'] = 'sent'
    return await send_and_receive(
        connection,
        request_events(context.received, _headers(context, attempts_left)),
        partial(_read_and_forward, proxy, context, connection),
    )


def _headers(context: RequestContext, attempts_left: int) -> Headers:
    """Return the headers of the request, as the caller sent them."""
    last_id = context.progress['position'].last_id
    relayed = relayed_headers(
        context.received.head,
        context.admission.request.ends_at_s - now_s(),
        None if last_id is None else b'%d' % last_id,
    )
    return (*relayed, attempts_header(attempts_left))


async def _read_and_forward(
    proxy: Proxy, context: RequestContext, connection: UpstreamConnection
) -> AttemptFailure | None:
    response = await read_head(connection)
    headers = response.forwarded_headers
    refusal = read_refusal(headers)
    upstream = read_upstream(headers)
    response = response._replace(
        forwarded_headers=without_peer_headers(headers)
    )
    if refusal is not None:
        return await _apply_refusal(context, connection, response, refusal)
    if not belongs_to_request(context, connection, response):
        return AttemptFailure('mismatch', 'not the response to this request')
    if upstream:
        apply_needs(proxy, upstream, response)
    await _forward_body(context, connection, response)
    release(proxy.idle_connections, connection, response.idle_s)
    return None


async def _apply_refusal(
    context: RequestContext,
    connection: UpstreamConnection,
    response: ResponseHead,
    refusal: PeerRefusal,
) -> AttemptFailure | None:
    """Pass a refusal on, unless another VM may still take the request."""
    buffered = await read_response(context, connection, response)
    if refusal.is_unsent and may_offer_again(refusal.reason):
        context.progress['forwarding'] = 'unsent'
        return AttemptFailure('refused', refusal.reason)
    if context.progress['has_begun']:
        return AttemptFailure('refused', refusal.reason)
    context.progress['outcome'] = refusal.reason
    await send_buffered(context, buffered)
    return None


async def _forward_body(
    context: RequestContext,
    connection: UpstreamConnection,
    response: ResponseHead,
) -> None:
    """Forward a response to the caller, in order and no faster than it reads.

    Raises `AttemptError` for one that cannot go on with a begun stream.
    """
    if context.progress['has_begun'] and not is_stream(response):
        failure = AttemptFailure('mismatch', f'status {response.status}')
        raise AttemptError(failure)

    def record_first() -> None:
        if context.progress['first_at_s'] is None:
            context.progress['first_at_s'] = now_s()

    if is_stream(response):
        await forward_events(context, connection, response, record_first)
    else:
        await forward_response(context, connection, response, record_first)
    is_answered = is_success(response)
    context.progress['outcome'] = (
        'answered' if is_answered else 'failure_passed'
    )
