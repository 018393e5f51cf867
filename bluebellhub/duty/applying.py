"""Applies what the store and the cloud API tell of the duties."""

from typing import Final

from bluebellhub.duty.duty import (
    LEASE_S,
    Announced,
    Duty,
    end_lease,
    is_holding,
)
from bluebellhub.duty.entry import DutyEntry, FoundEntry
from bluebellhub.duty.messages import DutyReport
from bluebellhub.duty.reports import apply_stored_reports
from bluebellhub.duty.steps import Acquire, Release, Write
from bluebellhub.duty.takeover import begin_holding
from bluebellhub.duty.tokens import token_era

__all__ = [
    'apply_conflict',
    'apply_entry',
    'apply_era',
    'apply_read_failure',
    'apply_refused',
    'apply_unknown',
    'apply_written',
]

RETRY_S: Final = 0.2
# Candidates read less and less often from a store that does not respond.
READ_RETRY_MIN_S: Final = 2.0
READ_RETRY_MAX_S: Final = 8.0
REFUSED_RETRY_S: Final = 0.5
REFUSED_RETRY_MAX_S: Final = 8.0
# The previous holder reads the object at once; later, others may take over.
RECLAIM_S: Final = 5.0


def apply_era(duty: Duty, era: int, now_s: float) -> None:
    """Apply the era of the store; a risen one ends the lease.

    What was read before says nothing about the restored store.
    """
    observed = duty.observed
    known = observed['era']
    if known is not None and era <= known:
        return
    observed['era'] = era
    if known is None:
        return
    observed.update({'era_rose_at_s': now_s, 'read_due_s': now_s})
    if is_holding(duty, now_s):
        observed['reclaim_until_s'] = now_s + RECLAIM_S
    end_lease(duty)


def apply_entry(duty: Duty, found: FoundEntry, now_s: float) -> None:
    """Apply the object as it was read, or as a conflict returned it."""
    apply_era(duty, found.era, now_s)
    duty.observed['failures'] = 0
    if found.era < (duty.observed['era'] or 0):
        return
    duty.lease['must_read'] = False
    if found.entry is not None and _is_own(duty, found.entry, found.era):
        _confirm(duty, found, found.entry, now_s)
    else:
        _lose(duty)
        _observe(duty, found, now_s)


def _is_own(duty: Duty, entry: DutyEntry, era: int) -> bool:
    """Return whether this process wrote the object to hold the lease."""
    if (entry.holder, entry.start_id) != (duty.vm, duty.start_id):
        return False
    lease = duty.lease
    tokens = {lease['token'], lease['unknown_token']} - {0}
    is_valid = entry.token in tokens and token_era(entry.token) == era
    return is_valid and not entry.is_released


def _confirm(
    duty: Duty, found: FoundEntry, entry: DutyEntry, now_s: float
) -> None:
    """Apply an object with this VM's own token.

    Either a write with unknown outcome has taken effect, and the lease counts
    from when the first of these was sent; or none has yet.
    """
    lease = duty.lease
    if lease['token'] and found.revision == lease['revision']:
        lease['unknown_token'] = 0
        return
    since_s = lease['unknown_since_s']
    if since_s is None:
        _lose(duty)
        _observe(duty, found, now_s)
        return
    _hold(duty, found, entry, since_s, now_s)


def apply_written(
    duty: Duty, write: Write, found: FoundEntry, sent_at_s: float, now_s: float
) -> None:
    """Apply the store's response to a successful write.

    ``sent_at_s`` is when it began to be sent.  A write that took effect only in
    a restored store gives no lease, as its token is of the earlier era.
    """
    apply_era(duty, found.era, now_s)
    token = write.entry.token
    if isinstance(write, Release):
        _observe(duty, found, now_s)
        _record_release(duty, write.entry, found, now_s)
        return
    is_current = isinstance(write, Acquire) or _has_token(duty, token)
    eras = {token_era(token), found.era, duty.observed['era']}
    if is_current and len(eras) == 1:
        _hold(duty, found, write.entry, sent_at_s, now_s)
        return
    _lose(duty)
    _observe(duty, found, now_s)


def _hold(
    duty: Duty,
    found: FoundEntry,
    entry: DutyEntry,
    since_s: float,
    now_s: float,
) -> None:
    """Hold the lease by a write that began to be sent at ``since_s``."""
    is_new = duty.lease['token'] != entry.token
    duty.lease.update(
        {
            'token': entry.token,
            'revision': found.revision,
            'sequence': entry.sequence,
            'until_s': since_s + LEASE_S,
            'written_at_s': since_s,
            'unknown_token': 0,
            'unknown_since_s': None,
            'must_read': False,
        }
    )
    apply_stored_reports(duty, entry.reports)
    if is_new:
        begin_holding(duty, entry, now_s)


def apply_conflict(duty: Duty, found: FoundEntry | None, now_s: float) -> None:
    """Apply that a write found another revision of the object.

    The conflict ends the lease, unless the other revision is an earlier write
    of this process whose outcome was unknown.
    """
    if found is None:
        _lose(duty)
        return
    apply_entry(duty, found, now_s)


def apply_unknown(
    duty: Duty, write: Write, sent_at_s: float, now_s: float
) -> None:
    """Apply that the outcome of a write is unknown; it may come late."""
    observed, lease = duty.observed, duty.lease
    observed['store_due_s'] = now_s + RETRY_S
    token = write.entry.token
    is_current = isinstance(write, Acquire) or _has_token(duty, token)
    if isinstance(write, Release) or not is_current:
        observed['found'] = None
        return
    first_s = lease['unknown_since_s']
    lease.update(
        {
            'unknown_token': token,
            'unknown_since_s': sent_at_s if first_s is None else first_s,
            'must_read': True,
        }
    )


def apply_read_failure(duty: Duty, now_s: float) -> None:
    """Apply that the object could not be read."""
    observed = duty.observed
    if duty.lease['token']:
        observed['store_due_s'] = now_s + 2 * RETRY_S
        return
    wait_s = READ_RETRY_MIN_S * 2 ** min(observed['failures'], 10)
    observed['failures'] += 1
    observed['store_due_s'] = now_s + min(READ_RETRY_MAX_S, wait_s)


def apply_refused(duty: Duty, token: int, now_s: float) -> None:
    """Apply that the cloud API has seen a higher token than this one.

    The VM makes no further call with it.  Unless another VM holds the lease,
    it acquires it again with a new token.
    """
    if not _has_token(duty, token):
        return
    end_lease(duty)
    observed = duty.observed
    wait_s = REFUSED_RETRY_S * 2 ** min(observed['refusals'], 10)
    observed['refusals'] += 1
    observed.update(
        {
            'store_due_s': now_s + min(REFUSED_RETRY_MAX_S, wait_s),
            'reclaim_until_s': now_s + RECLAIM_S,
        }
    )


def _has_token(duty: Duty, token: int) -> bool:
    """Return whether this VM holds the lease with this token."""
    return duty.lease['token'] == token


def _lose(duty: Duty) -> None:
    """End the lease, or the attempt to get it, for an object of another."""
    if duty.lease['token'] or duty.lease['unknown_token']:
        end_lease(duty)


def _observe(duty: Duty, found: FoundEntry, now_s: float) -> None:
    """Record the object; a new revision begins the observation anew."""
    observed = duty.observed
    if observed['found'] is None or observed['found'] != found:
        observed.update({'found': found, 'found_at_s': now_s})


def _record_release(
    duty: Duty, entry: DutyEntry, found: FoundEntry, now_s: float
) -> None:
    report = DutyReport(
        duty.vm,
        duty.start_id,
        entry.token,
        found.revision,
        0.0,
        True,
        list(entry.unreached),
    )
    duty.observed['announced'] = Announced(report, now_s, now_s)
