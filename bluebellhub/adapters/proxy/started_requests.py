"""Counts the requests that an upstream began to run, by client account."""

from collections.abc import Callable
from typing import Final

from bluebellhub.adapters.proxy.response_checks import (
    find_failure,
    is_stream,
)
from bluebellhub.adapters.proxy.state import Proxy, RequestContext
from bluebellhub.adapters.proxy.upstream_connection import UpstreamConnection
from bluebellhub.clock import now_epoch_s, now_s
from bluebellhub.request.heads import ERROR_STATUS_MIN, ResponseHead
from bluebellhub.usage import count_start, local_true_s

__all__ = ['USAGE_DUTY', 'counts_at_response', 'make_start_counter']

USAGE_DUTY: Final = 'usage_report'
# The failure of an upstream that has executed the request.
EXECUTED: Final = 'answered_error'


def counts_at_response(
    context: RequestContext,
    connection: UpstreamConnection,
    response: ResponseHead,
) -> bool:
    """Return whether a response shows that the request began to run.

    One of a plain service does whatever its status, unless it states that the
    request was not executed. A model engine has begun with the first token, so
    its errors do not show it; a stream counts with its first event.
    """
    failure = find_failure(context, connection, response)
    if failure is not None and failure.kind != EXECUTED:
        return False
    if is_stream(response):
        return False
    is_engine = connection.spec.kind == 'engine'
    return not is_engine or response.status < ERROR_STATUS_MIN


def make_start_counter(
    proxy: Proxy, context: RequestContext
) -> Callable[[], None]:
    """Return a function that counts the start of an attempt, once.

    Requests without a client account are not counted, and none if no VM
    reports usage.
    """
    work = proxy.duty_work
    account = context.admission.request.account
    uncounted = []
    if work is not None and USAGE_DUTY in work.names and account:
        uncounted.append(work.usage)

    def count_once() -> None:
        while uncounted:
            usage = uncounted.pop()
            true_s = local_true_s(usage, now_s(), now_epoch_s())
            count_start(usage, account, true_s)

    return count_once
