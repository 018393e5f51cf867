"""Registrations of upstreams, and which of them are valid now."""

from collections.abc import Iterable
from math import inf
from typing import Final, Literal, NamedTuple, TypedDict

__all__ = [
    'Registration',
    'RegistrationTable',
    'current_registration',
    'current_registrations',
    'make_registration_table',
    'outage_age_s',
    'record_outage',
    'record_past_outage',
    'record_restore',
    'register',
    'release_held',
    'remove_expired',
    'replace_all',
    'unregister',
]

# After an outage of the store, upstreams whose registration expired meanwhile
# have registered again within this time.
REREGISTRATION_S: Final = 2.0
# A shorter gap between responses of the store is no outage: a lost connection
# is noticed and replaced within this time.
OUTAGE_MIN_S: Final = 3.0
# After the store was restored from a copy, upstreams have written again within
# this time, and the registrations of those that are gone have expired.
RESTORE_S: Final = 5.0
DEPARTURES_MAX: Final = 1024


class Registration(NamedTuple):
    """One incarnation of an upstream.

    ``started_at_ms`` is the Unix time of its start. The same name with another
    ``started_at_ms`` is another incarnation, which has none of the former one's
    state. For the next ``cold_s`` seconds it sustains a low rate only.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    version: str
    slots: int
    state: Literal['ready', 'draining']
    cold_s: float = 0.0
    started_at_ms: int = 0


class Outage(TypedDict):
    """Whether calls to the store fail, and when an outage ended.

    ``responded_at_s`` is when the store last responded.
    """

    is_on: bool
    ended_at_s: float
    responded_at_s: float


class Restore(TypedDict):
    """Until when registrations may be those of an older copy of the store."""

    ends_at_s: float


class RegistrationTable(NamedTuple):
    """The root: registrations by name.

    ``deadlines`` holds, by name, the time by which an upstream whose
    registration vanished around an outage of the store has to register again.
    ``departed`` holds the incarnations that were draining or removed, the
    latest last, and ``held`` the registrations that are not believed because
    they may be older than that.
    """

    entries: dict[str, Registration]
    deadlines: dict[str, float]
    outage: Outage
    departed: dict[str, int]
    held: dict[str, Registration]
    restore: Restore


def make_registration_table() -> RegistrationTable:
    """Create a table without registrations."""
    return RegistrationTable(
        {},
        {},
        {
            'is_on': False,
            'ended_at_s': -REREGISTRATION_S,
            'responded_at_s': -inf,
        },
        {},
        {},
        {'ends_at_s': 0.0},
    )


def register(registrations: RegistrationTable, entry: Registration) -> bool:
    """Store a registration; returns whether it differs from the known one.

    A registration of an earlier incarnation does not replace a later one.
    """
    known = registrations.entries.get(entry.name)
    if known is not None and entry.started_at_ms < known.started_at_ms:
        return False
    registrations.deadlines.pop(entry.name, None)
    registrations.entries[entry.name] = entry
    if entry.state == 'draining':
        _record_departure(registrations, entry)
    else:
        registrations.departed.pop(entry.name, None)
    return known != entry


def current_registration(
    registrations: RegistrationTable, entry: Registration, now_s: float
) -> Registration | None:
    """Return the entry, or what is known to be newer than it.

    Just after a restore of the store, an upstream that has left may look ready
    again: its registration is then held back.  ``None`` means that the
    upstream was removed.
    """
    registrations.held.pop(entry.name, None)
    has_departed = registrations.departed.get(entry.name) == entry.started_at_ms
    is_restoring = now_s < registrations.restore['ends_at_s']
    if is_restoring and has_departed and entry.state == 'ready':
        registrations.held[entry.name] = entry
        return registrations.entries.get(entry.name)
    return entry


def current_registrations(
    registrations: RegistrationTable,
    listed: Iterable[Registration],
    now_s: float,
) -> list[Registration]:
    """Return what `current_registration` returns for all listed entries."""
    registrations.held.clear()
    found = [
        current_registration(registrations, entry, now_s) for entry in listed
    ]
    return [entry for entry in found if entry is not None]


def release_held(
    registrations: RegistrationTable, now_s: float
) -> list[Registration]:
    """Return the entries held back that the store still has after a restore."""
    if now_s < registrations.restore['ends_at_s']:
        return []
    released = list(registrations.held.values())
    registrations.held.clear()
    return released


def record_restore(registrations: RegistrationTable, now_s: float) -> None:
    """Record that the store was restored from an older copy.

    Registrations that it lacks have the time that they have after an outage.
    """
    registrations.restore['ends_at_s'] = now_s + RESTORE_S
    registrations.outage['ended_at_s'] = now_s


def unregister(
    registrations: RegistrationTable, name: str, now_s: float
) -> bool:
    """Remove a registration; returns whether the upstream is gone at once.

    Around an outage the store expires the registrations of live upstreams. The
    removal of a ready upstream then takes effect only if it does not register
    again in time.
    """
    registrations.held.pop(name, None)
    entry = registrations.entries.get(name)
    if entry is None:
        return False
    if entry.state == 'ready' and _is_around_outage(registrations, now_s):
        registrations.deadlines.setdefault(
            name, _deadline_s(registrations, now_s)
        )
        return False
    registrations.entries.pop(name)
    registrations.deadlines.pop(name, None)
    _record_departure(registrations, entry)
    return True


def replace_all(
    registrations: RegistrationTable,
    listed: Iterable[Registration],
    now_s: float,
) -> list[str]:
    """Replace all registrations; returns the names that are gone at once."""
    found = {entry.name: entry for entry in listed}
    for entry in found.values():
        register(registrations, entry)
    missing = [name for name in registrations.entries if name not in found]
    return [name for name in missing if unregister(registrations, name, now_s)]


def remove_expired(registrations: RegistrationTable, now_s: float) -> list[str]:
    """Remove upstreams that did not register again by their deadline.

    Returns their names. During an outage of the store nothing is removed.
    """
    if registrations.outage['is_on']:
        return []
    gone = [
        name
        for name, deadline_s in registrations.deadlines.items()
        if now_s > deadline_s
    ]
    for name in gone:
        registrations.deadlines.pop(name)
        registrations.entries.pop(name, None)
    return gone


def record_outage(
    registrations: RegistrationTable, now_s: float, *, is_on: bool
) -> bool:
    """Record whether the store fails; returns whether that has changed."""
    outage = registrations.outage
    changed = outage['is_on'] != is_on
    if not is_on:
        if _has_outage(outage, now_s):
            outage['ended_at_s'] = now_s
            for name in registrations.deadlines:
                registrations.deadlines[name] = now_s + REREGISTRATION_S
        outage['responded_at_s'] = now_s
    outage['is_on'] = is_on
    return changed


def outage_age_s(
    registrations: RegistrationTable, now_s: float
) -> float | None:
    """Return how long ago the store's outage ended; 0 during one.

    Return ``None`` if removals take effect at once again.
    """
    if not _is_around_outage(registrations, now_s):
        return None
    outage = registrations.outage
    return 0.0 if outage['is_on'] else max(0.0, now_s - outage['ended_at_s'])


def record_past_outage(
    registrations: RegistrationTable, ended_at_s: float
) -> None:
    """Record an outage that another VM has seen, and when it ended."""
    outage = registrations.outage
    outage['ended_at_s'] = max(outage['ended_at_s'], ended_at_s)


def _record_departure(
    registrations: RegistrationTable, entry: Registration
) -> None:
    departed = registrations.departed
    departed.pop(entry.name, None)
    departed[entry.name] = entry.started_at_ms
    if len(departed) > DEPARTURES_MAX:
        departed.pop(next(iter(departed)))


def _is_around_outage(registrations: RegistrationTable, now_s: float) -> bool:
    """Return whether the store fails or has only just recovered."""
    outage = registrations.outage
    has_recovered = now_s - outage['ended_at_s'] <= REREGISTRATION_S
    return has_recovered or _has_outage(outage, now_s)


def _has_outage(outage: Outage, now_s: float) -> bool:
    """Return whether the store has failed for long enough."""
    return outage['is_on'] and now_s - outage['responded_at_s'] >= OUTAGE_MIN_S


def _deadline_s(registrations: RegistrationTable, now_s: float) -> float:
    """Return the time by which a vanished upstream has to register again."""
    if registrations.outage['is_on']:
        return now_s + REREGISTRATION_S
    return registrations.outage['ended_at_s'] + REREGISTRATION_S
