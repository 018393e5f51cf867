"""Which VM takes over the duties, and from when on it may."""

from math import inf
from typing import Final

import xxhash

from bluebellhub.duty.duty import LEASE_S, Duty
from bluebellhub.duty.entry import DutyEntry, FoundEntry
from bluebellhub.duty.tokens import token_era

__all__ = [
    'OBSERVATION_S',
    'READ_INTERVAL_S',
    'candidate_rank',
    'silent_until_s',
    'takeover_at_s',
]

# A holder whose object has not changed for this long has no lease any more.
# The difference covers clocks that run at slightly different rates.
OBSERVATION_S: Final = LEASE_S + 0.5
READ_INTERVAL_S: Final = 2.0
# The holder reports every second.
SILENCE_S: Final = 1.5
# Each further candidate waits longer, in case the one before it is stopping or
# does not reach the store.
RANK_DELAY_S: Final = 2.0
RANK_MAX: Final = 3
# A VM that has released the lease is ending or does not reach the API.
STEP_ASIDE_S: Final = 10.0


def candidate_rank(duty: Duty, live_vms: list[str], now_s: float) -> int | None:
    """Return this VM's place among the candidates, or ``None``."""
    if now_s < duty.observed['reclaim_until_s']:
        return 0
    excluded = _excluded_vms(duty, now_s)
    eligible = [name for name in live_vms if name not in excluded] or live_vms
    ranked = sorted(set(eligible), key=_rendezvous_hash)
    if duty.vm not in ranked[: RANK_MAX + 1]:
        return None
    return ranked.index(duty.vm)


def _rendezvous_hash(vm: str) -> int:
    return xxhash.xxh64_intdigest(f'duties/{vm}'.encode())


def _excluded_vms(duty: Duty, now_s: float) -> set[str]:
    """Return the VMs that stand back for others."""
    excluded: set[str] = set()
    announced = duty.observed['announced']
    if announced is not None and announced.report.is_released:
        excluded.update(announced.report.unreached)
        if now_s < announced.received_at_s + STEP_ASIDE_S:
            excluded.add(announced.report.holder)
    found = duty.observed['found']
    if found is None or found.entry is None:
        return excluded
    excluded.update(found.entry.unreached)
    is_recent = now_s < duty.observed['found_at_s'] + STEP_ASIDE_S
    if found.entry.is_released and is_recent:
        excluded.add(found.entry.holder)
    return excluded


def silent_until_s(duty: Duty, rank: int, now_s: float) -> float:
    """Return until when a candidate waits for a report of the holder."""
    if now_s < duty.observed['reclaim_until_s']:
        return -inf
    delay_s = RANK_DELAY_S * rank
    announced = duty.observed['announced']
    if announced is None:
        return duty.started_at_s + SILENCE_S + delay_s
    if announced.report.is_released:
        return announced.received_at_s + delay_s
    return announced.received_at_s + SILENCE_S + delay_s


def takeover_at_s(duty: Duty, found: FoundEntry, now_s: float) -> float:
    """Return from when on no other VM can hold the lease.

    After a restore of the store, a VM may hold it that the object does not
    name; only the VM that has held it until then need not wait.
    """
    entry = found.entry
    is_old = entry is None or token_era(entry.token) < found.era
    if is_old and now_s < duty.observed['reclaim_until_s']:
        return now_s
    free_at_s = (
        _announced_until_s(duty)
        if entry is None
        else _free_at_s(duty, entry, found)
    )
    return max(free_at_s, duty.observed['era_rose_at_s'] + OBSERVATION_S)


def _free_at_s(duty: Duty, entry: DutyEntry, found: FoundEntry) -> float:
    is_of_this_era = token_era(entry.token) == found.era
    if is_of_this_era and (entry.is_released or entry.holder == duty.vm):
        return -inf
    unchanged_at_s = duty.observed['found_at_s'] + OBSERVATION_S
    announced = duty.observed['announced']
    if announced is None or not is_of_this_era:
        return unchanged_at_s
    report = announced.report
    if (report.token, report.revision) != (entry.token, found.revision):
        return unchanged_at_s
    return min(unchanged_at_s, announced.until_s)


def _announced_until_s(duty: Duty) -> float:
    """Return until when an announced lease lasts, if the object is missing."""
    announced = duty.observed['announced']
    if announced is None or announced.report.is_released:
        return -inf
    return announced.until_s
