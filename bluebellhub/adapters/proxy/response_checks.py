"""Whether a response belongs to its request and may be forwarded."""

from typing import Final

from bluebellhub.adapters.proxy.state import RequestContext
from bluebellhub.adapters.proxy.upstream_connection import UpstreamConnection
from bluebellhub.platform.responses import NOT_EXECUTED_STATUSES
from bluebellhub.request import AttemptFailure
from bluebellhub.request.heads import ResponseHead

__all__ = [
    'belongs_to_request',
    'find_failure',
    'is_error',
    'is_stream',
    'is_success',
]

REDIRECT_MIN: Final = 300
SERVER_ERROR_MIN: Final = 500
# HTTP defines no higher ones; the protocol library accepts any of three digits.
STATUS_MAX: Final = 599


def is_error(response: ResponseHead) -> bool:
    """Return whether the upstream executed the request and failed."""
    is_server_error = response.status >= SERVER_ERROR_MIN
    return is_server_error and not response.not_executed


def find_failure(
    context: RequestContext,
    connection: UpstreamConnection,
    response: ResponseHead,
) -> AttemptFailure | None:
    """Return why the response is no success, or ``None`` if it is one."""
    status = f'status {response.status}'
    if not belongs_to_request(context, connection, response):
        return AttemptFailure('mismatch', 'not the response to this request')
    if response.status > STATUS_MAX:
        return AttemptFailure('mismatch', f'{status} is not one of HTTP')
    if response.is_misdirected:
        return AttemptFailure('misdirected', status)
    if response.not_executed:
        return AttemptFailure('refused', status)
    if context.progress['has_begun'] and not _may_resume(context, response):
        return AttemptFailure('mismatch', f'{status}, expected a stream')
    return _find_error(response)


def belongs_to_request(
    context: RequestContext,
    connection: UpstreamConnection,
    response: ResponseHead,
) -> bool:
    """Return whether the response is to this request, as far as it states.

    An upstream may write a former response once more. On a connection that has
    served other requests, only the request id tells it from the one expected.
    """
    if response.request_id is None:
        return not connection.is_reused
    return response.request_id == context.received.head.request_id


def _find_error(response: ResponseHead) -> AttemptFailure | None:
    """Return how an upstream failed that has executed the request."""
    if (
        response.status >= SERVER_ERROR_MIN
        or response.status in NOT_EXECUTED_STATUSES
    ):
        return AttemptFailure('answered_error', f'status {response.status}')
    if response.is_encoded or (is_success(response) and not response.is_signed):
        return AttemptFailure(
            'mismatch', 'the response is encoded or not signed'
        )
    return None


def is_success(response: ResponseHead) -> bool:
    """Return whether the response is what the request asked for."""
    return response.status < REDIRECT_MIN


def is_stream(response: ResponseHead) -> bool:
    """Return whether the response is a stream, and no error."""
    return response.is_event_stream and is_success(response)


def _may_resume(context: RequestContext, response: ResponseHead) -> bool:
    """Return whether the response may go on with a stream that has begun.

    Without the id of the last event, it would start from the beginning.
    """
    has_ids = context.progress['position'].last_id is not None
    return has_ids and is_stream(response)
