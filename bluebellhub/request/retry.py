"""Rules that decide whether a failed attempt is retried."""

from collections.abc import Callable
from typing import Final, NamedTuple

from bluebellhub.registry import Registry, make_registry
from bluebellhub.request.state import RequestState

__all__ = ['NOT_EXECUTED_KINDS', 'AttemptFailure', 'may_retry', 'retry_rules']

ATTEMPTS_MAX = 4
# Failures after which the request is known not to have been executed.
NOT_EXECUTED_KINDS: Final = frozenset(
    ('connect_failed', 'refused', 'misdirected')
)


class AttemptFailure(NamedTuple):
    """How an attempt failed; ``kind`` is the name of its retry rule."""

    kind: str
    detail: str = ''


RetryRule = Callable[[RequestState], bool]

retry_rules: Registry[RetryRule] = make_registry('retry rule')


@retry_rules.register('connect_failed')
def retry_unsent(state: RequestState) -> bool:
    """No byte has left this VM, so any request may be retried."""
    return True


@retry_rules.register('not_run')
def retry_not_run(state: RequestState) -> bool:
    """The upstream stated that it did not start the request.

    Bytes have left this VM, so only an idempotent request is retried.
    """
    return state.request.idempotent


@retry_rules.register('refused')
def retry_refused(state: RequestState) -> bool:
    """The upstream guarantees that it never executes the request."""
    return True


@retry_rules.register('misdirected')
def retry_misdirected(state: RequestState) -> bool:
    """Another upstream has the address; it did not execute the request."""
    return True


@retry_rules.register('answered_error')
def retry_answered_error(state: RequestState) -> bool:
    """The upstream executed the request and responded with an error."""
    return state.request.idempotent


@retry_rules.register('cut')
def retry_truncated(state: RequestState) -> bool:
    """The stream was truncated; an idempotent request is resumed."""
    return state.request.idempotent


@retry_rules.register('silent')
def retry_silent(state: RequestState) -> bool:
    """No byte arrived in time; another upstream may still respond."""
    return state.request.idempotent


@retry_rules.register('mismatch')
def retry_mismatch(state: RequestState) -> bool:
    """The bytes belonged to another request and were discarded."""
    return state.request.idempotent


@retry_rules.register('upstream_error')
def retry_upstream_error(state: RequestState) -> bool:
    """The upstream itself responded with an error."""
    return state.request.idempotent


@retry_rules.register('preempted')
def retry_preempted(state: RequestState) -> bool:
    """A higher tier preempted the request."""
    return state.request.idempotent


def may_retry(
    state: RequestState, failure: AttemptFailure, now_s: float
) -> bool:
    """Return whether the rules allow another attempt at ``now_s``.

    Without a first token, a request is not retried once a response would be
    of no use to the caller.
    """
    if state.attempts >= ATTEMPTS_MAX and failure.kind != 'preempted':
        return False
    if state.executions >= state.request.executions_max:
        return False
    awaits_first_token = state.first_token_at_s is None
    if awaits_first_token and now_s >= state.request.ends_at_s:
        return False
    return retry_rules.find(failure.kind)(state)
