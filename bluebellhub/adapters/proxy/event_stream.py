"""Splits a stream of server-sent events, so that no truncated one is sent."""

import re
from typing import Final

from bluebellhub.errors import HubError

__all__ = [
    'EventIdError',
    'EventTooLargeError',
    'EventTruncatedError',
    'check_complete',
    'event_id',
    'skip_forwarded',
    'split_events',
]

# An empty line ends an event; a line may end in CR, LF or both.
SEPARATOR: Final = re.compile(rb'\r\n\r\n|\n\n|\r\r')
SEPARATOR_MAX_BYTES: Final = 4
LINE_ENDS: Final = b'\r\n'
ID_FIELD: Final = b'id:'
EVENT_MAX_BYTES: Final = 1_048_576


class EventIdError(HubError):
    """A resumed stream does not continue after the last event forwarded."""


class EventTooLargeError(HubError):
    """An event has no end within `EVENT_MAX_BYTES`."""

    def __init__(self, got_bytes: int) -> None:
        super().__init__(
            f'got {got_bytes} bytes without the end of an event, '
            f'expected at most {EVENT_MAX_BYTES}'
        )


class EventTruncatedError(HubError):
    """The stream has ended in the middle of an event."""

    def __init__(self, got_bytes: int) -> None:
        super().__init__(f'got {got_bytes} bytes of an event without its end')


def split_events(incomplete: bytearray, received: bytes) -> list[bytes]:
    r"""Return the events that ``received`` completes.

    ``incomplete`` holds the start of the next event between two calls.  Each
    byte is searched once, however small the parts are that it arrives in.
    Raises `EventTooLargeError` if the next event is too long already.

    >>> incomplete = bytearray()
    >>> split_events(incomplete, b'id: 1\n')
    []
    >>> split_events(incomplete, b'\nid: 2')
    [b'id: 1\n\n']
    """
    searched = max(0, len(incomplete) - SEPARATOR_MAX_BYTES + 1)
    incomplete += received
    complete = []
    start = 0
    for separator in SEPARATOR.finditer(incomplete, searched):
        complete.append(bytes(incomplete[start : separator.end()]))
        start = separator.end()
    if complete:
        rest = incomplete[start:]
        incomplete.clear()
        incomplete += rest
    if len(incomplete) > EVENT_MAX_BYTES:
        raise EventTooLargeError(len(incomplete))
    return complete


def check_complete(remainder: bytes | bytearray) -> None:
    """Raise `EventTruncatedError` if a stream ends in the middle of an event.

    ``remainder`` is what follows the last complete event; empty lines may.
    """
    if remainder.strip(LINE_ENDS):
        raise EventTruncatedError(len(remainder))


def event_id(event: bytes) -> int | None:
    """Return the number in an event's id, or ``None`` if it has none."""
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            digits = line[len(ID_FIELD) :].strip()
            return int(digits) if digits.isdigit() else None
    return None


def skip_forwarded(events: list[bytes], last_id: int | None) -> list[bytes]:
    """Drop the events up to id ``last_id``, which the caller has received.

    Raises `EventIdError` if the first remaining event leaves a gap.
    """
    if last_id is None:
        return events
    remaining = [event for event in events if (event_id(event) or 0) > last_id]
    if remaining and event_id(remaining[0]) != last_id + 1:
        raise EventIdError(
            f'got event {event_id(remaining[0])} after event {last_id}'
        )
    return remaining
