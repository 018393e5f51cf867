"""Whole events of a stream; the start of a cut event is never passed on."""

from typing import Final, NamedTuple

__all__ = ['Cut', 'EventIdError', 'cut_events', 'event_id', 'keep_new']

from bluebellhub.errors import HubError

SEPARATOR: Final = b'\n\n'
ID_FIELD: Final = b'id:'


class EventIdError(HubError):
    """A resumed stream does not go on where the one before ended."""


class Cut(NamedTuple):
    """Whole events, and the bytes of the one that has not ended."""

    events: list[bytes]
    rest: bytes


def cut_events(received: bytes) -> Cut:
    """Split bytes into whole events and the start of the next one."""
    *whole, rest = received.split(SEPARATOR)
    return Cut([event + SEPARATOR for event in whole], rest)


def event_id(event: bytes) -> int | None:
    """Return an event's id, or ``None`` if it has no number."""
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            digits = line[len(ID_FIELD) :].strip()
            return int(digits) if digits.isdigit() else None
    return None


def keep_new(events: list[bytes], last: int | None) -> list[bytes]:
    """Drop the events up to id ``last``, which the caller has.

    Raises `EventIdError` if the first new one leaves a gap.
    """
    if last is None:
        return events
    kept = [event for event in events if (event_id(event) or 0) > last]
    if kept and event_id(kept[0]) != last + 1:
        raise EventIdError(f'got event {event_id(kept[0])} after {last}')
    return kept
