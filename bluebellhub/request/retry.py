"""Rules that decide whether a failed attempt is followed by another."""

from collections.abc import Callable
from typing import Final, NamedTuple

from bluebellhub.registry import Registry, make_registry
from bluebellhub.request.life import RequestState

__all__ = ['UNRUN_KINDS', 'AttemptFailure', 'may_retry', 'retry_rules']

ATTEMPTS_MAX = 4
# Failures after which the upstream is known not to have run the request.
UNRUN_KINDS: Final = frozenset(('connect_failed', 'refused', 'misdirected'))


class AttemptFailure(NamedTuple):
    """How an attempt failed; ``kind`` names the rule that judges it."""

    kind: str
    detail: str = ''


Rule = Callable[[RequestState], bool]

retry_rules: Registry[Rule] = make_registry('retry rule')


@retry_rules.register('connect_failed')
def retry_unsent(life: RequestState) -> bool:
    """No byte left this VM, so every request may try again."""
    return True


@retry_rules.register('not_run')
def retry_not_run(life: RequestState) -> bool:
    """The upstream stated that it did not start the request.

    Bytes have left this VM, so only an idempotent request tries again.
    """
    return life.ask.idempotent


@retry_rules.register('refused')
def retry_refused(life: RequestState) -> bool:
    """The upstream promised that the request never runs there."""
    return True


@retry_rules.register('misdirected')
def retry_misdirected(life: RequestState) -> bool:
    """Another upstream has the address and did not run the request."""
    return True


@retry_rules.register('answered_error')
def retry_answered_error(life: RequestState) -> bool:
    """The upstream ran the request and answered with a failure."""
    return life.ask.idempotent


@retry_rules.register('cut')
def retry_cut(life: RequestState) -> bool:
    """The stream ended early: it is resumed if the call is idempotent."""
    return life.ask.idempotent


@retry_rules.register('silent')
def retry_silent(life: RequestState) -> bool:
    """No byte came in time: another upstream may answer."""
    return life.ask.idempotent


@retry_rules.register('mismatch')
def retry_mismatch(life: RequestState) -> bool:
    """The bytes belonged to another request and were dropped."""
    return life.ask.idempotent


@retry_rules.register('upstream_error')
def retry_error(life: RequestState) -> bool:
    """The upstream answered with an error of its own."""
    return life.ask.idempotent


@retry_rules.register('preempted')
def retry_preempted(life: RequestState) -> bool:
    """A higher tier took the place."""
    return life.ask.idempotent


def may_retry(
    life: RequestState, failure: AttemptFailure, now_s: float
) -> bool:
    """Tell whether the rules allow another attempt at ``now_s``.

    A request that has sent no token yet is not tried after its deadline.
    """
    if life.attempts >= ATTEMPTS_MAX and failure.kind != 'preempted':
        return False
    if life.runs >= life.ask.runs_max:
        return False
    unstarted = life.first_token_at_s is None
    if unstarted and now_s >= life.ask.ends_at_s:
        return False
    return retry_rules.find(failure.kind)(life)
