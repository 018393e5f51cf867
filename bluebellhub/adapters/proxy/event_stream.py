"""Splits a stream of server-sent events, so that no truncated one is sent."""

import re
from typing import Final, NamedTuple

from bluebellhub.errors import HubError

__all__ = [
    'EventIdError',
    'EventTooLargeError',
    'EventTruncatedError',
    'NewEvents',
    'NoEventError',
    'StreamPosition',
    'check_complete',
    'check_ids',
    'check_resumed',
    'read_id',
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
    """An event has no id, or none that may follow the last one forwarded."""

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


class NoEventError(HubError):
    """A stream without a length has ended before its first event."""

    def __init__(self) -> None:
        super().__init__('the connection ended before the first event')


class StreamPosition(NamedTuple):
    """The id of the last event that was forwarded, and how ids have risen.

    ``step`` is the difference between all ids so far, or ``None`` if it is not
    known or differs.
    """

    last_id: int | None = None
    step: int | None = None
    is_even: bool = True


class NewEvents(NamedTuple):
    """Events to forward, and the position in the stream after them.

    The ``error`` is set if what follows them is no event of this stream.
    """

    events: list[bytes]
    position: StreamPosition
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
    """Return the number in an event's id, or ``None`` if it has not just one.

    Two ids are those of two events that lack the empty line between them.
    """
    ids = [
        line[len(ID_FIELD) :]
        for line in event.splitlines()
        if line.startswith(ID_FIELD)
    ]
    return read_id(ids[0].strip()) if len(ids) == 1 else None


def read_id(digits: bytes) -> int | None:
    """Decode the id of an event; ``None`` if it is no number of usual size."""
    is_number = digits.isdigit() and len(digits) <= ID_MAX_DIGITS
    return int(digits) if is_number else None


def _is_comment(event: bytes) -> bool:
    """Return whether an event has only comment lines, as a keep-alive has."""
    return all(line.startswith(COMMENT) for line in event.splitlines() if line)


def _skip_forwarded(events: list[bytes], last_id: int) -> list[bytes]:
    """Drop the events up to id ``last_id``, which the caller has received."""
    return [
        event
        for event in events
        if (number := event_id(event)) is None or number > last_id
    ]


def check_ids(events: list[bytes], position: StreamPosition) -> NewEvents:
    """Return the events that go on after ``position``, where ids increase.

    A faulty upstream may write bytes between its events that are no event of
    the stream: the result ends before them and has the error.
    """
    found: list[bytes] = []
    for event in events:
        number = event_id(event)
        if number is not None and _is_after(position, number):
            position = _advance(position, number)
        elif number is not None or not _is_comment(event):
            error = EventIdError(number, position.last_id)
            return NewEvents(found, position, error)
        found.append(event)
    return NewEvents(found, position, None)


def check_resumed(events: list[bytes], position: StreamPosition) -> NewEvents:
    """Return the events with which another attempt goes on after ``position``.

    Those that were forwarded already are left out.  If the ids have risen
    evenly, the first new one does too; else an event would be missing between
    the two attempts.

    >>> position = StreamPosition(last_id=4, step=2)
    >>> check_resumed([b'id: 8\n\n'], position).error
    EventIdError('got the event id 8 after 4')
    """
    last_id = -1 if position.last_id is None else position.last_id
    new = _skip_forwarded(events, last_id)
    first_id = next(filter(None, map(event_id, new)), None)
    if position.step and first_id not in {None, last_id + position.step}:
        error = EventIdError(first_id, position.last_id)
        return NewEvents([], position, error)
    return check_ids(new, position)


def _is_after(position: StreamPosition, number: int) -> bool:
    return position.last_id is None or number > position.last_id


def _advance(position: StreamPosition, number: int) -> StreamPosition:
    """Return the position after the event with id ``number``."""
    if position.last_id is None:
        return position._replace(last_id=number)
    step = number - position.last_id
    is_even = position.is_even and position.step in {None, step}
    return StreamPosition(number, step if is_even else None, is_even)
