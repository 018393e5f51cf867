"""Connections to upstreams; idle ones are kept for a moment."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Final, NamedTuple, TypedDict

import h11
import trio

from bluebellhub.adapters.sockets import is_reusable, open_stream
from bluebellhub.clock import now_s
from bluebellhub.errors import HubError
from bluebellhub.upstream import UpstreamSpec

__all__ = [
    'ConnectError',
    'KeptLinks',
    'UpstreamLink',
    'close_expired',
    'connect',
    'keep',
    'next_event',
    'send_events',
]

CONNECT_TIMEOUT_S: Final = 1.0
READ_BYTES: Final = 65_536
KEPT_MAX_S: Final = 3.0
KEPT_MARGIN_S: Final = 0.5
KEPT_MAX: Final = 8


class ConnectError(HubError):
    """No connection, so no byte of a request was sent."""


class KeptLink(NamedTuple):
    """An idle connection that may be used until ``until_s``."""

    stream: trio.SocketStream
    until_s: float


KeptLinks = dict[tuple[str, str], list[KeptLink]]


class LinkState(TypedDict):
    """Whether the connection was kept, and is no longer this request's."""

    is_kept: bool


class UpstreamLink(NamedTuple):
    """A connection that carries one request."""

    spec: UpstreamSpec
    stream: trio.SocketStream
    protocol: h11.Connection
    state: LinkState


@asynccontextmanager
async def connect(
    kept: KeptLinks, spec: UpstreamSpec, *, fresh: bool
) -> AsyncIterator[UpstreamLink]:
    """Take an idle connection, or open one; raises `ConnectError`.

    The connection is closed at the end unless it was kept.
    """
    stream = None if fresh else _take_kept(kept, spec)
    if stream is None:
        stream = await _open(spec)
    protocol = h11.Connection(h11.CLIENT)
    link = UpstreamLink(spec, stream, protocol, {'is_kept': False})
    try:
        yield link
    finally:
        if not link.state['is_kept']:
            await trio.aclose_forcefully(stream)


async def _open(spec: UpstreamSpec) -> trio.SocketStream:
    try:
        return await open_stream(spec.address, CONNECT_TIMEOUT_S)
    except (OSError, trio.TooSlowError) as error:
        raise ConnectError(type(error).__name__) from None


def _take_kept(kept: KeptLinks, spec: UpstreamSpec) -> trio.SocketStream | None:
    """Return an idle connection on which nothing has arrived."""
    idle = kept.get((spec.name, spec.address), [])
    while idle:
        found = idle.pop()
        if now_s() < found.until_s and is_reusable(found.stream):
            return found.stream
        found.stream.socket.close()
    return None


def keep(kept: KeptLinks, link: UpstreamLink, idle_s: float) -> None:
    """Keep a connection whose answer is complete, if it may be used again."""
    protocol = link.protocol
    ended = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
    idle_s = min(idle_s, KEPT_MAX_S) - KEPT_MARGIN_S
    if not ended or protocol.trailing_data[0] or idle_s <= 0:
        return
    idle = kept.setdefault((link.spec.name, link.spec.address), [])
    if len(idle) < KEPT_MAX:
        idle.append(KeptLink(link.stream, now_s() + idle_s))
        link.state['is_kept'] = True


async def close_expired(kept: KeptLinks) -> None:
    """Close connections that were not used again, until cancelled."""
    while True:
        for idle in kept.values():
            expired = [link for link in idle if now_s() >= link.until_s]
            for link in expired:
                idle.remove(link)
                link.stream.socket.close()
        await trio.sleep(KEPT_MAX_S)


async def send_events(link: UpstreamLink, events: list[Any]) -> None:
    """Send a request; an upstream that stops reading ends it quietly."""
    encoded = b''.join(link.protocol.send(event) or b'' for event in events)
    try:
        await link.stream.send_all(encoded)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        # The answer, or its absence, tells what became of the request.
        return


async def next_event(link: UpstreamLink) -> Any:
    """Return the next part of the answer.

    Raises `h11.RemoteProtocolError` and `trio.BrokenResourceError`.
    """
    while True:
        event = link.protocol.next_event()
        if event is not h11.NEED_DATA:
            return event
        received = await link.stream.receive_some(READ_BYTES)
        link.protocol.receive_data(received)
