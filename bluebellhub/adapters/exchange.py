"""What a caller waits for while its request is queued."""

from typing import NamedTuple

import trio

from bluebellhub.request.refusal import RefusalError
from bluebellhub.scheduler import Dispatch

__all__ = ['Exchange', 'Head', 'Item', 'make_exchange']

BUFFERED_ITEMS = 16


class Head(NamedTuple):
    """Status and content type of a plain service's answer."""

    status: int
    content_type: str


Item = Dispatch | RefusalError


class Exchange(NamedTuple):
    """One caller's request, and the decisions on it as they come.

    ``method``, ``path`` and ``content_type`` are used for plain services.
    """

    request_id: str
    body: bytes
    decision_sender: trio.MemorySendChannel[Item]
    decision_receiver: trio.MemoryReceiveChannel[Item]
    method: str = 'POST'
    path: str = ''
    content_type: str = 'application/json'


def make_exchange(request_id: str, body: bytes, **fields: str) -> Exchange:
    """Create an exchange without decisions."""
    decision_sender, decision_receiver = trio.open_memory_channel[Item](
        BUFFERED_ITEMS
    )
    return Exchange(
        request_id, body, decision_sender, decision_receiver, **fields
    )
