"""Reports what has arrived of a response to the scheduler."""

from collections.abc import Callable

from bluebellhub.adapters.node import execute_events
from bluebellhub.adapters.proxy.response_checks import is_success
from bluebellhub.adapters.proxy.state import Proxy, RequestContext
from bluebellhub.adapters.proxy.upstream_connection import UpstreamConnection
from bluebellhub.clock import now_s
from bluebellhub.reachability import record_contact
from bluebellhub.request.heads import ERROR_STATUS_MIN, ResponseHead
from bluebellhub.scheduler import tokens_arrived

__all__ = ['record_event', 'record_unstreamed']


def record_event(
    proxy: Proxy,
    context: RequestContext,
    connection: UpstreamConnection,
    count_once: Callable[[], None],
) -> None:
    """Report an event to the scheduler; count the start of the request."""
    count_once()
    _record_progress(proxy, context, connection)


def record_unstreamed(
    proxy: Proxy,
    context: RequestContext,
    connection: UpstreamConnection,
    response: ResponseHead,
) -> None:
    """Report a complete unstreamed response to the scheduler.

    Only a success has tokens: any other response says nothing of how long the
    upstream takes for a prompt, and not that it can process it.
    """
    context.progress['is_error'] = response.status >= ERROR_STATUS_MIN
    if is_success(response):
        _record_progress(proxy, context, connection)


def _record_progress(
    proxy: Proxy, context: RequestContext, connection: UpstreamConnection
) -> None:
    """Report an event or an unstreamed response to the scheduler."""
    node = proxy.node
    record_contact(node.scheduler.links, now_s())
    token_count = connection.spec.tokens_per_event
    if context.progress['first_at_s'] is None:
        context.progress['first_at_s'] = now_s()
    events = tokens_arrived(
        node.scheduler,
        context.admission.request.request_id,
        context.progress['tokens'],
        token_count,
        now_s(),
    )
    context.progress['tokens'] += token_count
    execute_events(node, events)
