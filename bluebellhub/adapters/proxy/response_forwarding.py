"""Forwards complete responses and event streams to the caller."""

from collections.abc import Callable, Iterator
from typing import Final

import h11

from bluebellhub.adapters.memory import MemoryExhaustedError, reserve_memory
from bluebellhub.adapters.proxy.caller_connection import (
    end_response,
    send_chunk,
    send_response_head,
)
from bluebellhub.adapters.proxy.event_stream import (
    NewEvents,
    NoEventError,
    check_complete,
    check_ids,
    check_resumed,
    split_events,
)
from bluebellhub.adapters.proxy.peer_heads import upstream_header
from bluebellhub.adapters.proxy.state import BufferedResponse, RequestContext
from bluebellhub.adapters.proxy.upstream_connection import (
    UpstreamConnection,
    read_event,
)
from bluebellhub.errors import HubError
from bluebellhub.request.heads import Headers, ResponseHead

__all__ = [
    'ErrorTooLargeError',
    'forward_events',
    'forward_response',
    'read_response',
    'send_buffered',
]

# Larger responses are forwarded as they arrive instead of being buffered.
BUFFER_MAX_BYTES: Final = 1_048_576
PART_BYTES: Final = 65_536
# An error response is buffered as a whole, until the next attempt has failed.
ERROR_MAX_BYTES: Final = 8_388_608
# One read may hold thousands of small events.
BATCH_EVENTS: Final = 64


class ErrorTooLargeError(HubError):
    """The body of an error response exceeds `ERROR_MAX_BYTES`."""

    def __init__(self) -> None:
        super().__init__(f'expected at most {ERROR_MAX_BYTES} bytes')


async def read_response(
    context: RequestContext,
    connection: UpstreamConnection,
    response: ResponseHead,
) -> BufferedResponse:
    """Read an error response to its end.

    Raises `ErrorTooLargeError` and `MemoryExhaustedError`.
    """
    body = bytearray()
    while True:
        event = await read_event(connection)
        if isinstance(event, h11.Data):
            body += event.data
        if len(body) > ERROR_MAX_BYTES:
            raise ErrorTooLargeError
        _reserve(context, len(body))
        if isinstance(event, h11.EndOfMessage):
            return BufferedResponse(
                response.status,
                response.forwarded_headers,
                bytes(body),
                connection.spec.name,
            )


def _reserve(context: RequestContext, buffered: int) -> None:
    """Reserve memory for the request's body and the bytes buffered for it.

    Raises `MemoryExhaustedError`.
    """
    size = len(context.received.body) + buffered
    reserve_memory(context.connection.reservation, size)


def _may_buffer(context: RequestContext, size: int) -> bool:
    """Return whether a response may be buffered at ``size`` bytes."""
    if size > BUFFER_MAX_BYTES:
        return False
    try:
        _reserve(context, size)
    except MemoryExhaustedError:
        return False
    return True


async def send_buffered(
    context: RequestContext, buffered: BufferedResponse
) -> None:
    """Write a buffered response to the caller."""
    context.progress['has_begun'] = True
    await send_response_head(
        context.connection,
        buffered.status,
        _headers_for(context, buffered.headers, buffered.upstream),
        len(buffered.body),
    )
    await send_chunk(context.connection, buffered.body)
    await end_response(context.connection)


def _headers_for(
    context: RequestContext, headers: Headers, upstream: str
) -> Headers:
    """Return the response headers; another VM learns the upstream's name."""
    if not context.connection.is_peer:
        return headers
    return (*headers, upstream_header(upstream))


async def forward_response(
    context: RequestContext,
    connection: UpstreamConnection,
    response: ResponseHead,
    on_complete: Callable[[], None],
) -> None:
    """Forward a response once it is complete.

    A response above `BUFFER_MAX_BYTES`, or for which no memory is left, is
    forwarded as it arrives.  ``on_complete`` is called when its last byte was
    received.
    """
    body = bytearray()
    event = await read_event(connection)
    while not isinstance(event, h11.EndOfMessage):
        body += event.data
        if not _may_buffer(context, len(body)):
            await _forward_large(context, connection, response, body)
            on_complete()
            return
        event = await read_event(connection)
    on_complete()
    buffered = BufferedResponse(
        response.status,
        response.forwarded_headers,
        bytes(body),
        connection.spec.name,
    )
    body.clear()
    await send_buffered(context, buffered)


async def _forward_large(
    context: RequestContext,
    connection: UpstreamConnection,
    response: ResponseHead,
    received: bytearray,
) -> None:
    """Forward a response as it arrives; ``received`` is its start."""
    await _send_head_once(context, response)
    await _send_received(context, received)
    await _send_rest(context, connection)
    await end_response(context.connection)


async def _send_received(context: RequestContext, received: bytearray) -> None:
    """Write the start of a large response, and keep it no longer."""
    for start in range(0, len(received), PART_BYTES):
        part = bytes(received[start : start + PART_BYTES])
        await send_chunk(context.connection, part)
    received.clear()


async def _send_rest(
    context: RequestContext, connection: UpstreamConnection
) -> None:
    """Write the parts of a large response as they arrive."""
    event = await read_event(connection)
    while isinstance(event, h11.Data):
        await send_chunk(context.connection, bytes(event.data))
        event = await read_event(connection)


async def forward_events(
    context: RequestContext,
    connection: UpstreamConnection,
    response: ResponseHead,
    on_event: Callable[[], None],
) -> None:
    """Forward complete events as they arrive; call ``on_event`` for each.

    Raises `EventIdError` at the first that does not belong to the stream, and
    `EventTooLargeError`, `EventTruncatedError`, `NoEventError` and
    `MemoryExhaustedError`.
    """
    is_resumed = context.progress['position'].last_id is not None
    incomplete = bytearray()
    event = await read_event(connection)
    while not isinstance(event, h11.EndOfMessage):
        for batch in _batches(split_events(incomplete, event.data)):
            new = _select(context, batch, is_resumed=is_resumed)
            is_resumed = is_resumed and not new.events
            await _forward_new(context, response, new, on_event)
        _reserve(context, len(incomplete))
        event = await read_event(connection)
    check_complete(incomplete)
    if connection.state['has_ended'] and _awaits_first_event(context):
        raise NoEventError
    await _end_events(context, response, bytes(incomplete))


def _awaits_first_event(context: RequestContext) -> bool:
    """Return whether no event of a stream has arrived, here or before."""
    is_new = context.progress['position'].last_id is None
    return is_new and context.admission.route.is_stream


async def _end_events(
    context: RequestContext, response: ResponseHead, remainder: bytes
) -> None:
    """Write what follows the last event, and the end of the stream."""
    await _send_head_once(context, response)
    if remainder:
        await send_chunk(context.connection, remainder)
    await end_response(context.connection)


def _batches(events: list[bytes]) -> Iterator[list[bytes]]:
    """Yield the events in batches, between which other tasks run."""
    for start in range(0, len(events), BATCH_EVENTS):
        yield events[start : start + BATCH_EVENTS]


def _select(
    context: RequestContext, events: list[bytes], *, is_resumed: bool
) -> NewEvents:
    """Return what to forward of the events; only streams number theirs."""
    position = context.progress['position']
    if not context.admission.route.is_stream:
        return NewEvents(events, position, None)
    if is_resumed:
        return check_resumed(events, position)
    return check_ids(events, position)


async def _forward_new(
    context: RequestContext,
    response: ResponseHead,
    new: NewEvents,
    on_event: Callable[[], None],
) -> None:
    """Forward events; raises the error that follows them, if one does."""
    if new.events:
        await _send_head_once(context, response)
        await send_chunk(context.connection, b''.join(new.events))
        context.progress['position'] = new.position
    for _ in new.events:
        on_event()
    if new.error is not None:
        raise new.error


async def _send_head_once(
    context: RequestContext, response: ResponseHead
) -> None:
    """Write the response head unless an earlier attempt wrote it."""
    if not context.progress['has_begun']:
        context.progress['has_begun'] = True
        await send_response_head(
            context.connection,
            response.status,
            _headers_for(
                context,
                response.forwarded_headers,
                context.progress['upstream'],
            ),
            None,
        )
