"""What a new holder waits for, and which reports it must not make."""

from math import inf
from typing import Final

from bluebellhub.duty.duty import CALL_TIMEOUT_S, Duty
from bluebellhub.duty.entry import DutyEntry
from bluebellhub.duty.reports import resend_stored
from bluebellhub.duty.steps import LATE_CALL_S
from bluebellhub.duty.tokens import token_era

__all__ = ['begin_holding']

# Holders do not alternate within the time that the platform states; the
# margin covers the travel of the calls.
ALTERNATION_MARGIN_S: Final = 0.5


def begin_holding(duty: Duty, entry: DutyEntry, now_s: float) -> None:
    """Set when the first call may be made, and resend the stored reports."""
    may_act_at_s = max(now_s, _alternation_end_s(duty))
    if not duty.bounds.is_fenced:
        may_act_at_s = max(
            may_act_at_s, _late_calls_end_s(duty, entry.token, now_s)
        )
    duty.calls.update(
        {'may_act_at_s': may_act_at_s, 'unanswered': 0, 'busy': 0}
    )
    duty.lease.update(
        {
            'held_since_s': now_s,
            'is_ending': False,
            'unreached': entry.unreached,
        }
    )
    duty.reports['may_be_lost'] = _may_have_lost_reports(
        duty, entry.token, now_s
    )
    duty.observed.update({'found': None, 'reclaim_until_s': now_s})
    resend_stored(duty)


def _was_restored(duty: Duty, token: int) -> bool:
    """Return whether the object is from before a restore of the store.

    ``token`` is the one with which this VM took it.
    """
    previous = duty.observed['previous']
    if previous is None:
        return duty.observed['era_rose_at_s'] > -inf
    return token_era(previous.token) < token_era(token)


def _may_have_lost_reports(duty: Duty, token: int, now_s: float) -> bool:
    """Return whether a restore may have lost reports that were sent.

    Only the holder of that time knows all of them; a VM that received them
    shortly before the restore may still have missed its last one.
    """
    is_reclaimed = now_s < duty.observed['reclaim_until_s']
    return not is_reclaimed and _was_restored(duty, token)


def _alternation_end_s(duty: Duty) -> float:
    """Return when this VM may act again after another has.

    Before its start an earlier process of this VM may have acted.
    """
    previous = duty.observed['previous']
    if previous is None or previous.holder == duty.vm:
        return -inf
    last_s = max(duty.started_at_s, duty.calls['acted_at_s'])
    return last_s + duty.bounds.lease_s + ALTERNATION_MARGIN_S


def _late_calls_end_s(duty: Duty, token: int, now_s: float) -> float:
    """Return when no call with an earlier token is executed any more.

    A holder that did not release the lease made no call in the last second of
    it; one of this VM's earlier processes may have made one until now.
    """
    previous = duty.observed['previous']
    own_end_s = duty.calls['unanswered_at_s'] + LATE_CALL_S
    others_end_s = max(own_end_s, now_s + LATE_CALL_S - CALL_TIMEOUT_S)
    if _was_restored(duty, token):
        return others_end_s
    if previous is None or previous.is_released:
        return own_end_s
    if previous.holder != duty.vm:
        return others_end_s
    if previous.start_id != duty.start_id:
        return now_s + LATE_CALL_S
    return own_end_s
