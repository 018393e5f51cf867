"""The root of the duties: the lease of this VM and what it knows of others."""

from math import inf
from typing import Final, NamedTuple, TypedDict

from bluebellhub.duty.entry import DutyEntry, FoundEntry
from bluebellhub.duty.messages import DutyReport
from bluebellhub.duty.orders import UsageOrder

__all__ = [
    'CALL_TIMEOUT_S',
    'LEASE_S',
    'Announced',
    'Calls',
    'Duty',
    'DutyBounds',
    'Lease',
    'Observed',
    'StoredReports',
    'current_token',
    'end_lease',
    'is_holding',
    'known_holder',
    'leave',
    'make_duty',
]

# From the moment when the holder begins to send its last successful write.
LEASE_S: Final = 6.0
# The time limit of a call of the cloud API.
CALL_TIMEOUT_S: Final = 1.0


class DutyBounds(NamedTuple):
    """What the platform states about the duties.

    Holders must not alternate within ``lease_s``.  ``is_fenced`` tells whether
    the API rejects tokens that are lower than one that it has seen.
    """

    lease_s: float = 3.0
    is_fenced: bool = False
    calls_per_s: float = 50.0


DEFAULT_BOUNDS: Final = DutyBounds()


class Announced(NamedTuple):
    """The newest report of a holder; its lease ends at ``until_s``."""

    report: DutyReport
    until_s: float
    received_at_s: float


class Lease(TypedDict):
    """The lease that this VM holds; without one, ``token`` is 0.

    ``written_at_s`` is when the last successful write began to be sent, and
    ``unknown_since_s`` the same for the first write after it whose outcome is
    unknown; such a write had the token ``unknown_token``.  While ``must_read``
    is set, the object has not been read since.  With ``is_ending`` no more
    calls are made and the lease is released soon.
    """

    token: int
    revision: int
    sequence: int
    until_s: float
    held_since_s: float
    written_at_s: float
    unknown_token: int
    unknown_since_s: float | None
    must_read: bool
    is_ending: bool
    is_leaving: bool
    unreached: tuple[str, ...]


class Observed(TypedDict):
    """What this VM knows of the object, the store and the holder.

    ``found_at_s`` is when the revision of ``found`` was first read, and
    ``previous`` the object that this VM last tried to take over.  Until
    ``reclaim_until_s`` the VM, which has held the lease until now, takes it
    again before others.
    """

    found: FoundEntry | None
    found_at_s: float
    previous: DutyEntry | None
    announced: Announced | None
    era: int | None
    era_rose_at_s: float
    store_due_s: float
    read_due_s: float
    failures: int
    refusals: int
    reclaim_until_s: float


class Calls(TypedDict):
    """Calls of the cloud API: when the next may begin, and the last ones.

    ``unanswered`` counts the calls without a response since the last one that
    got one.
    """

    due_s: float
    may_act_at_s: float
    acted_at_s: float
    is_running: bool
    unanswered: int
    unanswered_at_s: float
    busy: int


class StoredReports(TypedDict):
    """Usage reports: those in the object, and those to be written or sent.

    ``announced`` are the windows of those that this VM announced, and
    ``received`` the reports that other holders announced, by window.  While
    ``may_be_lost`` is set, an earlier holder may have sent reports that the
    restored store has lost; due windows are skipped then, up to ``skipped``.
    """

    stored: tuple[UsageOrder, ...]
    unsaved: UsageOrder | None
    unsent: tuple[UsageOrder, ...]
    accepted: frozenset[int]
    announced: frozenset[int]
    received: dict[int, UsageOrder]
    may_be_lost: bool
    skipped: int | None


class Duty(NamedTuple):
    """The root: a VM's part in the duties since its process started."""

    vm: str
    start_id: int
    started_at_s: float
    bounds: DutyBounds
    lease: Lease
    observed: Observed
    calls: Calls
    reports: StoredReports


def make_duty(
    vm: str,
    start_id: int,
    bounds: DutyBounds = DEFAULT_BOUNDS,
    now_s: float = 0.0,
) -> Duty:
    """Create the state of a VM that holds no lease and knows no holder."""
    lease: Lease = {
        'token': 0,
        'revision': 0,
        'sequence': 0,
        'until_s': -inf,
        'held_since_s': -inf,
        'written_at_s': -inf,
        'unknown_token': 0,
        'unknown_since_s': None,
        'must_read': False,
        'is_ending': False,
        'is_leaving': False,
        'unreached': (),
    }
    return Duty(
        vm,
        start_id,
        now_s,
        bounds,
        lease,
        _make_observed(),
        _make_calls(),
        {
            'stored': (),
            'unsaved': None,
            'unsent': (),
            'accepted': frozenset(),
            'announced': frozenset(),
            'received': {},
            'may_be_lost': False,
            'skipped': None,
        },
    )


def _make_observed() -> Observed:
    return {
        'found': None,
        'found_at_s': -inf,
        'previous': None,
        'announced': None,
        'era': None,
        'era_rose_at_s': -inf,
        'store_due_s': -inf,
        'read_due_s': -inf,
        'failures': 0,
        'refusals': 0,
        'reclaim_until_s': -inf,
    }


def _make_calls() -> Calls:
    return {
        'due_s': -inf,
        'may_act_at_s': -inf,
        'acted_at_s': -inf,
        'is_running': False,
        'unanswered': 0,
        'unanswered_at_s': -inf,
        'busy': 0,
    }


def is_holding(duty: Duty, now_s: float) -> bool:
    """Return whether this VM has a lease that has not expired."""
    return bool(duty.lease['token']) and now_s < duty.lease['until_s']


def current_token(duty: Duty, now_s: float) -> int | None:
    """Return the token to make a call with, or ``None`` if none is allowed.

    The lease lasts at least until the time limit of a call that begins now.
    """
    lease = duty.lease
    if not lease['token'] or lease['is_ending'] or lease['is_leaving']:
        return None
    if now_s + CALL_TIMEOUT_S > lease['until_s']:
        return None
    if now_s < duty.calls['may_act_at_s']:
        return None
    return lease['token']


def known_holder(duty: Duty, now_s: float) -> str | None:
    """Return the VM that holds the duties, as far as this VM knows."""
    if is_holding(duty, now_s):
        return duty.vm
    announced = duty.observed['announced']
    if announced is None or announced.report.is_released:
        return None
    if announced.report.holder == duty.vm or now_s >= announced.until_s:
        return None
    return announced.report.holder


def leave(duty: Duty) -> None:
    """Make no more calls, release the lease and take none any more."""
    duty.lease['is_leaving'] = True


def end_lease(duty: Duty) -> None:
    """Forget the lease; what was not sent is left to the next holder."""
    duty.lease.update(
        {
            'token': 0,
            'until_s': -inf,
            'unknown_token': 0,
            'unknown_since_s': None,
            'must_read': False,
            'is_ending': False,
            'unreached': (),
        }
    )
    duty.observed['found'] = None
    duty.reports.update({'unsaved': None, 'unsent': ()})
