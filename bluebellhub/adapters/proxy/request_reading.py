"""Reads requests from a caller's connection, within the limits on callers."""

from functools import partial
from typing import Any, Final

import h11
import trio

from bluebellhub.adapters.memory import MemoryExhaustedError, reserve_memory
from bluebellhub.adapters.protocol_events import next_event
from bluebellhub.adapters.proxy.caller_connection import (
    CallerConnection,
    ReceivedRequest,
    receive_bytes,
    send_continue,
)
from bluebellhub.adapters.sockets import has_unread_bytes
from bluebellhub.clock import now_s
from bluebellhub.platform.headers import read_request_head
from bluebellhub.request import RefusalError
from bluebellhub.request.refusal import (
    BadRequestError,
    BodyTooLargeError,
    HeaderTooLargeError,
    ShedError,
    SlowRequestError,
)

__all__ = ['read_request']

HEADER_TOO_LARGE: Final = 431
BODY_TIMEOUT_S: Final = 15.0
BODY_RETRY_AFTER_S: Final = 1.0
# Colon, space and CRLF of a header line.
HEADER_LINE_BYTES: Final = 4


async def read_request(caller: CallerConnection) -> ReceivedRequest | None:
    """Read the next request; return ``None`` at the end of the connection.

    Raises a `RefusalError` for a malformed, too large or too slow one.
    """
    try:
        return await _read_request(caller)
    except h11.RemoteProtocolError as error:
        raise _protocol_refusal(error) from None


async def _read_request(caller: CallerConnection) -> ReceivedRequest | None:
    request = await _read_head(caller)
    if request is None:
        return None
    _check_size(caller, request)
    _check_framing(request)
    head = read_request_head(request.method, request.target, request.headers)
    limit_s = head.time_limit_s
    started_at_s = now_s()
    body = await _read_body(
        caller, BODY_TIMEOUT_S if limit_s is None else limit_s
    )
    if body is None:
        return None
    began_at_s = caller.state['began_at_s']
    return ReceivedRequest(head, body, now_s() - started_at_s, began_at_s)


async def _read_head(caller: CallerConnection) -> h11.Request | None:
    """Wait for the first byte of a request, then read its head.

    Bytes that crossed the end of the wait are read: a request that was sent in
    time is answered, not dropped.
    """
    caller.state['is_idle'] = True
    with trio.move_on_after(caller.limits.idle_timeout_s) as scope:
        caller.state['idle_scope'] = scope
        while not caller.protocol.trailing_data[0]:
            if not await receive_bytes(caller):
                return None
        caller.state['is_idle'] = False
    caller.state['idle_scope'] = None
    if caller.state['is_idle'] and not has_unread_bytes(caller.stream):
        return None
    caller.state['is_idle'] = False
    caller.state['began_at_s'] = now_s()
    with trio.move_on_after(caller.limits.header_timeout_s):
        event = await _read_event(caller)
        return event if isinstance(event, h11.Request) else None
    raise SlowRequestError('the request head did not arrive in time')


async def _read_body(
    caller: CallerConnection, timeout_s: float
) -> bytes | None:
    await send_continue(caller)
    body = bytearray()
    with trio.move_on_after(timeout_s):
        while True:
            event = await _read_event(caller)
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                return None
            body += event.data
            _check_body(caller, len(body))
    raise SlowRequestError('the request body did not arrive in time')


def _check_body(caller: CallerConnection, size: int) -> None:
    """Refuse a body that is too large, or for which no memory is left."""
    if size > caller.limits.body_max_bytes:
        raise BodyTooLargeError(
            f'the limit is {caller.limits.body_max_bytes} bytes'
        )
    try:
        reserve_memory(caller.reservation, size)
    except MemoryExhaustedError as error:
        raise ShedError(
            f'request body: {error}', retry_after_s=BODY_RETRY_AFTER_S
        ) from None


async def _read_event(caller: CallerConnection) -> Any:
    return await next_event(caller.protocol, partial(receive_bytes, caller))


def _check_size(caller: CallerConnection, request: h11.Request) -> None:
    """Check a head that arrived at once; h11 bounds one in several parts."""
    size = len(request.target) + sum(
        len(name) + len(field) + HEADER_LINE_BYTES
        for name, field in request.headers
    )
    if size > caller.limits.header_max_bytes:
        raise HeaderTooLargeError(
            f'got {size} bytes, limit {caller.limits.header_max_bytes}'
        )


def _check_framing(request: h11.Request) -> None:
    """Refuse a request whose length is ambiguous."""
    names = [name for name, _ in request.headers]
    if b'transfer-encoding' in names and b'content-length' in names:
        raise BadRequestError('got both Content-Length and Transfer-Encoding')


def _protocol_refusal(error: h11.RemoteProtocolError) -> RefusalError:
    """Return the refusal of a request that violates HTTP/1.1."""
    if error.error_status_hint == HEADER_TOO_LARGE:
        return HeaderTooLargeError('the request head is too large')
    return BadRequestError(f'malformed HTTP/1.1 request: {error}')
