"""The way from an upstream's answer to the caller that waits for it."""

from typing import NamedTuple

import trio

from bluebellhub.request.refusal import RefusalError

__all__ = ['Exchange', 'Finished', 'Head', 'Item', 'make_exchange']

BUFFERED_ITEMS = 64


class Head(NamedTuple):
    """Status and content type of a plain service's answer."""

    status: int
    content_type: str


class Finished(NamedTuple):
    """The whole answer went before this item."""


Item = bytes | Head | Finished | RefusalError


class Exchange(NamedTuple):
    """One caller's request: what to send and where the answer goes.

    ``headers`` and ``method`` and ``path`` are used for plain services.
    """

    request_id: str
    body: bytes
    outgoing: trio.MemorySendChannel[Item]
    incoming: trio.MemoryReceiveChannel[Item]
    method: str = 'POST'
    path: str = ''
    content_type: str = 'application/json'


def make_exchange(request_id: str, body: bytes, **fields: str) -> Exchange:
    """Create an exchange with an empty channel."""
    outgoing, incoming = trio.open_memory_channel[Item](BUFFERED_ITEMS)
    return Exchange(request_id, body, outgoing, incoming, **fields)
