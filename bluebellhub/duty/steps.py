"""The next call of the store: what the holder or a candidate does."""

from typing import Final, NamedTuple

from bluebellhub.duty.calls import UNANSWERED_MAX
from bluebellhub.duty.candidacy import (
    READ_INTERVAL_S,
    candidate_rank,
    silent_until_s,
    takeover_at_s,
)
from bluebellhub.duty.duty import Duty, end_lease
from bluebellhub.duty.entry import DutyEntry, FoundEntry
from bluebellhub.duty.reports import merged_reports, reports_to_write
from bluebellhub.duty.tokens import next_token

__all__ = ['Acquire', 'Read', 'Release', 'Renew', 'Step', 'Write', 'next_step']

# A renewal that fails can be repeated before the lease ends.  With a usage
# report every 5 s, which is a renewal too, this makes 24 writes a minute; at
# 2.5 s a report that comes late by a little would make 36, and at 3 s the
# handovers while the cloud API is down exceed the limit of 30.
RENEWAL_INTERVAL_S: Final = 3.4
# A lease that is to be released is renewed only if it would expire before.
ENDING_LEFT_MIN_S: Final = 1.5
# Without enforced fencing, a call without a response may still be executed
# for this long; the lease is released only then.
LATE_CALL_S: Final = 2.0
# If the calls of so many VMs in turn got no response, the API is down for
# all, and the next holder keeps the lease longer: a change of the holder costs
# three calls of the store.
UNREACHED_MAX: Final = 2
UNREACHED_HOLD_S: Final = 60.0


class Read(NamedTuple):
    """Read the object."""


class Acquire(NamedTuple):
    """Write the object to become the holder."""

    entry: DutyEntry
    found: FoundEntry


class Renew(NamedTuple):
    """Write the object to keep the lease, or with a new usage report."""

    entry: DutyEntry
    found: FoundEntry


class Release(NamedTuple):
    """Write the object as released; the lease has ended with this decision."""

    entry: DutyEntry
    found: FoundEntry


Write = Acquire | Renew | Release
Step = Read | Write


def next_step(duty: Duty, live_vms: list[str], now_s: float) -> Step | None:
    """Return the next call of the store, or ``None`` if none is due.

    ``live_vms`` are the VMs that may hold the duties, the same ones on all VMs
    as far as these agree on which are live.  An expired lease ends here.
    """
    lease = duty.lease
    if lease['token'] and now_s >= lease['until_s']:
        end_lease(duty)
    if now_s < duty.observed['store_due_s']:
        return None
    if lease['must_read']:
        return Read()
    if lease['token']:
        return _holder_step(duty, live_vms, now_s)
    return _candidate_step(duty, live_vms, now_s)


def _holder_step(duty: Duty, live_vms: list[str], now_s: float) -> Step | None:
    lease = duty.lease
    if lease['is_leaving'] or _is_unreached(duty, live_vms, now_s):
        lease['is_ending'] = True
    if lease['is_ending'] and _may_release(duty, now_s):
        release = Release(_own_entry(duty, is_released=True), _held(duty))
        end_lease(duty)
        return release
    if _is_renewal_due(duty, now_s):
        return Renew(_own_entry(duty, is_released=False), _held(duty))
    return None


def _is_renewal_due(duty: Duty, now_s: float) -> bool:
    lease = duty.lease
    if lease['is_ending']:
        return lease['until_s'] - now_s < ENDING_LEFT_MIN_S
    if duty.reports['unsaved'] is not None:
        return True
    return now_s - lease['written_at_s'] >= RENEWAL_INTERVAL_S


def _held(duty: Duty) -> FoundEntry:
    """Return the object as this VM wrote it last, to be replaced."""
    return FoundEntry(None, duty.lease['revision'], duty.observed['era'] or 0)


def _own_entry(duty: Duty, *, is_released: bool) -> DutyEntry:
    lease = duty.lease
    unreached = lease['unreached']
    if is_released and duty.calls['unanswered'] >= UNANSWERED_MAX:
        others = unreached if len(unreached) < UNREACHED_MAX else ()
        unreached = (*others, duty.vm)
    return DutyEntry(
        duty.vm,
        duty.start_id,
        lease['token'],
        lease['sequence'] + 1,
        is_released,
        reports_to_write(duty),
        unreached,
    )


def _is_unreached(duty: Duty, live_vms: list[str], now_s: float) -> bool:
    """Return whether another VM may fare better with the API."""
    if duty.calls['unanswered'] < UNANSWERED_MAX:
        return False
    unreached = duty.lease['unreached']
    if set(live_vms) <= {duty.vm, *unreached}:
        return False
    held_s = now_s - duty.lease['held_since_s']
    return len(unreached) < UNREACHED_MAX or held_s >= UNREACHED_HOLD_S


def _may_release(duty: Duty, now_s: float) -> bool:
    """Return whether no call can be executed after the next holder's.

    That includes the previous holder's calls, if this VM waits for their end.
    """
    if duty.calls['is_running']:
        return False
    if duty.bounds.is_fenced:
        return True
    late_end_s = duty.calls['unanswered_at_s'] + LATE_CALL_S
    return now_s >= max(late_end_s, duty.calls['may_act_at_s'])


def _candidate_step(
    duty: Duty, live_vms: list[str], now_s: float
) -> Step | None:
    rank = candidate_rank(duty, live_vms, now_s)
    if rank is None or duty.lease['is_leaving']:
        return None
    if now_s < silent_until_s(duty, rank, now_s):
        return None
    found = duty.observed['found']
    if found is None:
        return _read_when_due(duty, now_s)
    if now_s < takeover_at_s(duty, found, now_s):
        return None
    duty.observed['previous'] = found.entry
    return Acquire(_acquired_entry(duty, found), found)


def _read_when_due(duty: Duty, now_s: float) -> Step | None:
    if now_s < duty.observed['read_due_s']:
        return None
    duty.observed['read_due_s'] = now_s + READ_INTERVAL_S
    return Read()


def _acquired_entry(duty: Duty, found: FoundEntry) -> DutyEntry:
    entry = found.entry or DutyEntry('', 0, 0)
    announced = duty.observed['announced']
    announced_token = 0 if announced is None else announced.report.token
    return DutyEntry(
        duty.vm,
        duty.start_id,
        next_token(found.era, (entry.token, announced_token)),
        entry.sequence + 1,
        reports=merged_reports(duty, entry.reports),
        unreached=entry.unreached,
    )
