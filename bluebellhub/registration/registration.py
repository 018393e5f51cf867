"""Registrations of upstreams, and which of them are valid now."""

from collections.abc import Iterable
from typing import Final, Literal, NamedTuple, TypedDict

__all__ = [
    'Registration',
    'RegistrationTable',
    'make_registration_table',
    'record_outage',
    'register',
    'remove_expired',
    'replace_all',
    'unregister',
]

# After an outage of the store, upstreams whose registration expired meanwhile
# have registered again within this time.
REREGISTRATION_S: Final = 2.0


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
    """Whether calls to the store fail, and when they last did."""

    is_on: bool
    ended_at_s: float


class RegistrationTable(NamedTuple):
    """The root: registrations by name.

    ``deadlines`` holds, by name, the time by which an upstream whose
    registration vanished around an outage of the store has to register again.
    """

    entries: dict[str, Registration]
    deadlines: dict[str, float]
    outage: Outage


def make_registration_table() -> RegistrationTable:
    """Create a table without registrations."""
    return RegistrationTable(
        {}, {}, {'is_on': False, 'ended_at_s': -REREGISTRATION_S}
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
    return known != entry


def unregister(
    registrations: RegistrationTable, name: str, now_s: float
) -> bool:
    """Remove a registration; returns whether the upstream is gone at once.

    Around an outage the store expires the registrations of live upstreams. The
    removal of a ready upstream then takes effect only if it does not register
    again in time.
    """
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
    changed = registrations.outage['is_on'] != is_on
    if changed and not is_on:
        registrations.outage['ended_at_s'] = now_s
        for name in registrations.deadlines:
            registrations.deadlines[name] = now_s + REREGISTRATION_S
    registrations.outage['is_on'] = is_on
    return changed


def _is_around_outage(registrations: RegistrationTable, now_s: float) -> bool:
    """Return whether the store fails or has only just recovered."""
    outage = registrations.outage
    return outage['is_on'] or now_s - outage['ended_at_s'] <= REREGISTRATION_S


def _deadline_s(registrations: RegistrationTable, now_s: float) -> float:
    """Return the time by which a vanished upstream has to register again."""
    if registrations.outage['is_on']:
        return now_s + REREGISTRATION_S
    return registrations.outage['ended_at_s'] + REREGISTRATION_S
