"""Responses that this VM generates: refusals and readiness."""

from typing import Final, NamedTuple

import msgspec

from bluebellhub.request import RefusalError
from bluebellhub.request.heads import Headers

__all__ = [
    'NOT_EXECUTED_STATUSES',
    'READY_PATH',
    'LocalResponse',
    'refusal_response',
]

READY_PATH: Final = '/api/ready'
# Statuses that promise that the request was not and will not be executed.
NOT_EXECUTED_STATUSES: Final = frozenset((408, 421, 429, 503))
SERVICE_UNAVAILABLE: Final = 503
BAD_GATEWAY: Final = 502


class LocalResponse(NamedTuple):
    """A complete response that no upstream sent."""

    status: int
    headers: Headers
    body: bytes


def refusal_response(error: RefusalError) -> LocalResponse:
    """Encode a refusal as a response.

    Its status promises that the request was not executed only if this is
    certain, whatever status fits the reason.
    """
    status = error.status
    if error.run == 'unknown' and status in NOT_EXECUTED_STATUSES:
        status = BAD_GATEWAY
    if error.run == 'no' and status == BAD_GATEWAY:
        status = SERVICE_UNAVAILABLE
    headers = [(b'content-type', b'application/json')]
    if error.retry_after_s is not None and status in NOT_EXECUTED_STATUSES:
        headers.append((b'retry-after', b'%.2f' % error.retry_after_s))
    body = msgspec.json.encode({'reason': error.reason, 'run': error.run})
    return LocalResponse(status, tuple(headers), body)
