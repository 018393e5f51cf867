"""Requests: deadlines, attempts, complete responses and refusals."""

from bluebellhub.request.refusal import RefusalError, refusal_reasons
from bluebellhub.request.retry import (
    NOT_EXECUTED_KINDS,
    AttemptFailure,
    may_retry,
    retry_rules,
)
from bluebellhub.request.state import (
    Attempt,
    Request,
    RequestState,
    begin_attempt,
    end_attempt,
    execution_status,
    make_request,
    make_request_state,
    record_sent,
    record_tokens,
)

__all__ = [
    'NOT_EXECUTED_KINDS',
    'Attempt',
    'AttemptFailure',
    'RefusalError',
    'Request',
    'RequestState',
    'begin_attempt',
    'end_attempt',
    'execution_status',
    'make_request',
    'make_request_state',
    'may_retry',
    'record_sent',
    'record_tokens',
    'refusal_reasons',
    'retry_rules',
]
