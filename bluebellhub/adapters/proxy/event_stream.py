"""Splits a stream of server-sent events, so that no truncated one is sent."""

import re
from typing import Final, NamedTuple

from bluebellhub.errors import HubError

__all__ = [
    'EventIdError',
    'EventTooLargeError',
    'EventTruncatedError',
    'NewEvents',
    'check_complete',
    'check_ids',
    'read_id',
    'skip_forwarded',
    'split_events',
]

# An empty line ends an event; a line may end in CR, LF or both.
SEPARATOR: Final = re.compile(rb'\r\n\r\n|\n\n|\r\r')
SEPARATOR_MAX_BYTES: Final = 4
LINE_ENDS: Final = b'\r\n'
ID_FIELD: Final = b'id:'
COMMENT: Final = b':'
ID_MAX_DIGITS: Final = 18
EVENT_MAX_BYTES: Final = 1_048_576


class EventIdError(HubError):
    """An event has no id, or not the one after the last event forwarded."""

    def __init__(self, got_id: int | None, last_id: int | None) -> None:
        super().__init__(f'got the event id {got_id} after {last_id}')


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


class NewEvents(NamedTuple):
    """Events to forward, the id of the last one, and what follows them.

    The ``error`` is set if that is no event of this stream.
    """

    events: list[bytes]
    last_id: int | None
    error: EventIdError | None


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
            return read_id(line[len(ID_FIELD) :].strip())
    return None


def read_id(digits: bytes) -> int | None:
    """Decode the id of an event; ``None`` if it is no number of usual size."""
    is_number = digits.isdigit() and len(digits) <= ID_MAX_DIGITS
    return int(digits) if is_number else None


def _is_comment(event: bytes) -> bool:
    """Return whether an event has only comment lines, as a keep-alive has."""
    return all(line.startswith(COMMENT) for line in event.splitlines() if line)


def skip_forwarded(events: list[bytes], last_id: int) -> list[bytes]:
    """Drop the events up to id ``last_id``, which the caller has received."""
    return [
        event
        for event in events
        if (number := event_id(event)) is None or number > last_id
    ]


def check_ids(events: list[bytes], last_id: int | None) -> NewEvents:
    """Return the events that go on after id ``last_id``.

    Their ids rise by one; after ``None`` the first may have any id.  A faulty
    upstream may write bytes between its events that are no event of the
    stream: the result ends before them and has the error.
    """
    found: list[bytes] = []
    for event in events:
        number = event_id(event)
        if number is not None and number == _next_id(last_id, number):
            last_id = number
        elif number is not None or not _is_comment(event):
            return NewEvents(found, last_id, EventIdError(number, last_id))
        found.append(event)
    return NewEvents(found, last_id, None)


def _next_id(last_id: int | None, first_id: int) -> int:
    return first_id if last_id is None else last_id + 1
