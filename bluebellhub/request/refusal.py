"""Refusals: a type for each reason not to serve a request.

A refusal states whether the request may have been executed.  ``run`` is
``'no'`` only if no byte of the request can have reached an upstream;
otherwise it is ``'unknown'``.
"""

from typing import ClassVar, Literal

from bluebellhub.errors import HubError
from bluebellhub.registry import Registry, make_registry

__all__ = [
    'AnswerMismatchError',
    'AnswerTimeoutError',
    'BadRequestError',
    'BodyTooLargeError',
    'ConcurrencyLimitError',
    'CutOffError',
    'DeadlineError',
    'DrainingError',
    'ExecutionStatus',
    'HeaderTooLargeError',
    'InternalError',
    'IsolatedError',
    'KeyReuseError',
    'LedgerUnavailableError',
    'NoUpstreamError',
    'NotAllowedError',
    'OrderUnknownError',
    'PromptQuarantinedError',
    'QuotaError',
    'RateLimitError',
    'RefusalError',
    'ShedError',
    'SlowRequestError',
    'TooManyTokensError',
    'UnauthenticatedError',
    'UnknownTargetError',
    'UpstreamFailedError',
    'refusal_reasons',
]

ExecutionStatus = Literal['no', 'unknown']


class RefusalError(HubError):
    """Base class of refusals; its text is sent to callers as ``message``.

    ``status`` is the HTTP status of the reason.  ``retry_after_s`` is the
    number of seconds after which a retry makes sense, or ``None``.
    ``counted`` states whether the scheduler has counted the refusal.
    """

    reason: ClassVar[str] = 'refused'
    status: ClassVar[int] = 503

    def __init__(
        self,
        detail: str,
        *,
        run: ExecutionStatus = 'no',
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.run = run
        self.counted = False
        self.retry_after_s = retry_after_s


refusal_reasons: Registry[type[RefusalError]] = make_registry('refusal reason')


def _register_reason(name: str, status: int):
    """Return a decorator that registers a refusal with its HTTP status."""

    def decorate(refusal: type[RefusalError]) -> type[RefusalError]:
        refusal.reason = name
        refusal.status = status
        return refusal_reasons.register(name)(refusal)

    return decorate


@_register_reason('bad_request', 400)
class BadRequestError(RefusalError):
    """The request is malformed; the text states what was expected."""


@_register_reason('body_too_large', 413)
class BodyTooLargeError(RefusalError):
    """The body is larger than the limit in the settings."""


@_register_reason('header_too_large', 431)
class HeaderTooLargeError(RefusalError):
    """The header is larger than the limit in the settings."""


@_register_reason('unauthenticated', 401)
class UnauthenticatedError(RefusalError):
    """The key does not belong to a client account."""


@_register_reason('not_allowed', 403)
class NotAllowedError(RefusalError):
    """The contract does not allow the tier, model or service."""


@_register_reason('unknown_target', 404)
class UnknownTargetError(RefusalError):
    """No upstream serves the model or service."""


@_register_reason('too_many_tokens', 400)
class TooManyTokensError(RefusalError):
    """The prompt or the requested output exceeds the contract's limit."""

    def __init__(self, part: str, got: int, limit: int) -> None:
        super().__init__(f'{part}: got {got} tokens, expected at most {limit}')


@_register_reason('rate_limit', 429)
class RateLimitError(RefusalError):
    """The account has exceeded its request rate."""

    def __init__(self, rate_per_s: float, retry_after_s: float) -> None:
        super().__init__(
            f'more than {rate_per_s:g} requests a second on this VM',
            retry_after_s=retry_after_s,
        )


@_register_reason('quota', 429)
class QuotaError(RefusalError):
    """The account has used up its quota, which all VMs share."""

    def __init__(
        self, account: str, need: float, level: float, retry_after_s: float
    ) -> None:
        super().__init__(
            f'{account}: needs {need:g}, the bucket holds {level:.0f}',
            retry_after_s=retry_after_s,
        )


@_register_reason('concurrency_limit', 429)
class ConcurrencyLimitError(RefusalError):
    """The account has too many requests in progress."""

    def __init__(self, in_progress: int, limit: int) -> None:
        super().__init__(
            f'{in_progress} requests in progress, limit {limit} on this VM',
            retry_after_s=1.0,
        )


@_register_reason('deadline', 503)
class DeadlineError(RefusalError):
    """Even an idle upstream could not meet the tier's latency limit."""


@_register_reason('shed', 503)
class ShedError(RefusalError):
    """The upstreams have no capacity left for the tier."""


@_register_reason('no_upstream', 503)
class NoUpstreamError(RefusalError):
    """No upstream of the model or service accepts requests now."""


@_register_reason('prompt_quarantined', 503)
class PromptQuarantinedError(RefusalError):
    """Upstreams have crashed while they processed a part of the prompt."""

    def __init__(self, part: str, retry_after_s: float) -> None:
        super().__init__(
            f'upstreams have crashed at the part {part} of the prompt',
            retry_after_s=retry_after_s,
        )


@_register_reason('draining', 503)
class DrainingError(RefusalError):
    """The VM is shutting down."""


@_register_reason('isolated', 503)
class IsolatedError(RefusalError):
    """The VM has lost contact with the object API and the other VMs."""


@_register_reason('cut_off', 503)
class CutOffError(RefusalError):
    """The VM has lost its links to all upstreams.

    Another VM may run the request on ``attempts_left`` upstreams.
    """

    def __init__(
        self,
        detail: str,
        *,
        run: ExecutionStatus = 'no',
        retry_after_s: float | None = None,
        attempts_left: int = 1,
    ) -> None:
        super().__init__(detail, run=run, retry_after_s=retry_after_s)
        self.attempts_left = attempts_left


@_register_reason('key_reuse', 422)
class KeyReuseError(RefusalError):
    """The idempotency key was used before with a different request."""


@_register_reason('order_unknown', 409)
class OrderUnknownError(RefusalError):
    """A request with the same key was sent, and its outcome is unknown."""


@_register_reason('ledger_unavailable', 503)
class LedgerUnavailableError(RefusalError):
    """The idempotency key could not be claimed in the object API."""


@_register_reason('upstream_failed', 502)
class UpstreamFailedError(RefusalError):
    """The upstream failed and the request must not be retried."""


@_register_reason('answer_mismatch', 502)
class AnswerMismatchError(RefusalError):
    """The upstream sent a part of the response to another request."""


@_register_reason('internal', 502)
class InternalError(RefusalError):
    """An error of the program over this request; the log has its cause."""


@_register_reason('slow_request', 408)
class SlowRequestError(RefusalError):
    """The caller took too long to send the request."""


@_register_reason('timeout', 504)
class AnswerTimeoutError(RefusalError):
    """The upstream has not responded within the request's time limit."""
