"""Pace of the holder's calls of the cloud API."""

from collections.abc import Callable
from typing import Final

from bluebellhub.duty.duty import Duty, current_token
from bluebellhub.duty.orders import Outcome
from bluebellhub.registry import Registry, make_registry

__all__ = ['UNANSWERED_MAX', 'begin_call', 'is_call_due', 'record_call']

# The holder uses this part of the limit on calls of all VMs together, because
# the calls of its predecessor may fall into the same second.
CALL_RATE_RATIO: Final = 0.8
# After so many calls without a response another VM may fare better.
UNANSWERED_MAX: Final = 3
RETRY_MIN_S: Final = 0.5
RETRY_MAX_S: Final = 4.0
BUSY_RETRY_MIN_S: Final = 0.2
BUSY_RETRY_MAX_S: Final = 1.0

CallRecorder = Callable[[Duty, float], None]

call_recorders: Registry[CallRecorder] = make_registry('outcome of a call')


def is_call_due(duty: Duty, now_s: float) -> bool:
    """Return whether the holder may make a call now."""
    if duty.calls['is_running'] or now_s < duty.calls['due_s']:
        return False
    return current_token(duty, now_s) is not None


def begin_call(duty: Duty, now_s: float) -> None:
    """Record that a call begins."""
    spacing_s = 1.0 / (duty.bounds.calls_per_s * CALL_RATE_RATIO)
    duty.calls.update({'is_running': True, 'due_s': now_s + spacing_s})


def record_call(duty: Duty, outcome: Outcome, now_s: float) -> None:
    """Record the outcome of the call that is running."""
    duty.calls['is_running'] = False
    if outcome != 'unsent':
        duty.calls['acted_at_s'] = now_s
    call_recorders.find(outcome)(duty, now_s)


@call_recorders.register('accepted')
def _record_accepted(duty: Duty, now_s: float) -> None:
    _record_response(duty)
    duty.calls['busy'] = 0
    duty.observed['refusals'] = 0


@call_recorders.register('busy')
def _record_busy(duty: Duty, now_s: float) -> None:
    _record_response(duty)
    wait_s = min(BUSY_RETRY_MAX_S, BUSY_RETRY_MIN_S * 2 ** duty.calls['busy'])
    duty.calls['busy'] = min(duty.calls['busy'] + 1, 10)
    duty.calls['due_s'] = max(duty.calls['due_s'], now_s + wait_s)


@call_recorders.register('refused')
def _record_refused(duty: Duty, now_s: float) -> None:
    _record_response(duty)


@call_recorders.register('unanswered')
def _record_unanswered(duty: Duty, now_s: float) -> None:
    calls = duty.calls
    wait_s = min(RETRY_MAX_S, RETRY_MIN_S * 2 ** min(calls['unanswered'], 10))
    calls['unanswered'] += 1
    calls['unanswered_at_s'] = now_s
    calls['due_s'] = max(calls['due_s'], now_s + wait_s)


@call_recorders.register('unsent')
def _record_unsent(duty: Duty, now_s: float) -> None:
    """A call that was not sent tells nothing about the API."""


def _record_response(duty: Duty) -> None:
    duty.calls['unanswered'] = 0
    duty.lease['unreached'] = ()
