"""Answers of this VM itself: refusals and readiness."""

from typing import Final, NamedTuple

import msgspec

from bluebellhub.request import RefusalError
from bluebellhub.request.heads import Headers

__all__ = ['PROMISES', 'READY_PATH', 'OwnAnswer', 'refusal_answer']

READY_PATH: Final = '/api/ready'
# Statuses that promise that the request has not run and never will.
PROMISES: Final = frozenset((408, 421, 429, 503))
NOT_RUN_YET: Final = 503
GATEWAY_ERROR: Final = 502


class OwnAnswer(NamedTuple):
    """A whole answer that no upstream gave."""

    status: int
    headers: Headers
    body: bytes


def refusal_answer(error: RefusalError) -> OwnAnswer:
    """Encode a refusal; its status never promises what is not known."""
    status = error.status
    if error.run == 'unknown' and status in PROMISES:
        status = GATEWAY_ERROR
    if error.run == 'no' and status == GATEWAY_ERROR:
        status = NOT_RUN_YET
    headers = [(b'content-type', b'application/json')]
    if error.retry_after_s is not None and status in PROMISES:
        headers.append((b'retry-after', b'%.2f' % error.retry_after_s))
    body = msgspec.json.encode({'reason': error.reason, 'run': error.run})
    return OwnAnswer(status, tuple(headers), body)
