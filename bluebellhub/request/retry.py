"""Rules that decide whether a failed attempt is followed by another."""

from collections.abc import Callable
from typing import Final, NamedTuple

from bluebellhub.registry import Registry, make_registry
from bluebellhub.request.state import RequestState

__all__ = ['NOT_EXECUTED_KINDS', 'AttemptFailure', 'may_retry', 'retry_rules']

ATTEMPTS_MAX = 4
# Failures after which the upstream is known not to have run the request.
NOT_EXECUTED_KINDS: Final = frozenset(
    ('connect_failed', 'refused', 'misdirected')
)


class AttemptFailure(NamedTuple):
    """How an attempt failed; ``kind`` names the rule that judges it."""

    kind: str
    detail: str = ''


Rule = Callable[[RequestState], bool]

retry_rules: Registry[Rule] = make_registry('retry rule')


@retry_rules.register('connect_failed')
def retry_unsent(state: RequestState) -> bool:
    """No byte left this VM, so every request may try again."""
    return True


@retry_rules.register('not_run')
def retry_not_run(state: RequestState) -> bool:
    """The upstream stated that it did not start the request.

    Bytes have left this VM, so only an idempotent request tries again.
    """
    return state.request.idempotent


@retry_rules.register('refused')
def retry_refused(state: RequestState) -> bool:
    """The upstream promised that the request never runs there."""
    return True


@retry_rules.register('misdirected')
def retry_misdirected(state: RequestState) -> bool:
    """Another upstream has the address and did not run the request."""
    return True


@retry_rules.register('answered_error')
def retry_answered_error(state: RequestState) -> bool:
    """The upstream ran the request and answered with a failure."""
    return state.request.idempotent


@retry_rules.register('cut')
def retry_truncated(state: RequestState) -> bool:
    """The stream ended early: it is resumed if the call is idempotent."""
    return state.request.idempotent


@retry_rules.register('silent')
def retry_silent(state: RequestState) -> bool:
    """No byte came in time: another upstream may answer."""
    return state.request.idempotent


@retry_rules.register('mismatch')
def retry_mismatch(state: RequestState) -> bool:
    """The bytes belonged to another request and were dropped."""
    return state.request.idempotent


@retry_rules.register('upstream_error')
def retry_upstream_error(state: RequestState) -> bool:
    """The upstream answered with an error of its own."""
    return state.request.idempotent


@retry_rules.register('preempted')
def retry_preempted(state: RequestState) -> bool:
    """A higher tier took the place."""
    return state.request.idempotent


def may_retry(
    state: RequestState, failure: AttemptFailure, now_s: float
) -> bool:
    """Tell whether the rules allow another attempt at ``now_s``.

    A request that has sent no token yet is not tried after its deadline.
    """
    if state.attempts >= ATTEMPTS_MAX and failure.kind != 'preempted':
        return False
    if state.executions >= state.request.executions_max:
        return False
    awaits_first_token = state.first_token_at_s is None
    if awaits_first_token and now_s >= state.request.ends_at_s:
        return False
    return retry_rules.find(failure.kind)(state)
