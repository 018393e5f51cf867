"""Reads HTTP/1.1 events from the connections that h11 serves."""

from collections.abc import Awaitable, Callable
from typing import Any

import h11
import trio

__all__ = ['next_event']


async def next_event(
    protocol: h11.Connection, receive: Callable[[], Awaitable[object]]
) -> Any:
    """Return the next event; call ``receive`` while its bytes are missing.

    One read may complete thousands of events, such as the chunks of a body, so
    other tasks run before each event that needs no further read.  Raises
    `h11.RemoteProtocolError`, and what ``receive`` raises.
    """
    event = protocol.next_event()
    if event is not h11.NEED_DATA:
        await trio.lowlevel.checkpoint()
        return event
    while event is h11.NEED_DATA:
        await receive()
        event = protocol.next_event()
    return event
