"""A caller's request and the channel of the scheduler's decisions on it."""

from typing import NamedTuple

import trio

from bluebellhub.request.refusal import RefusalError
from bluebellhub.scheduler import Dispatch

__all__ = ['Decision', 'Exchange', 'Head', 'make_exchange']

DECISION_BUFFER_SIZE = 16


class Head(NamedTuple):
    """Status and content type of a plain service's response."""

    status: int
    content_type: str


Decision = Dispatch | RefusalError


class Exchange(NamedTuple):
    """One caller's request and both ends of its channel of decisions.

    ``method``, ``path`` and ``content_type`` are used for plain services
    only.
    """

    request_id: str
    body: bytes
    decision_sender: trio.MemorySendChannel[Decision]
    decision_receiver: trio.MemoryReceiveChannel[Decision]
    method: str = 'POST'
    path: str = ''
    content_type: str = 'application/json'


def make_exchange(request_id: str, body: bytes, **fields: str) -> Exchange:
    """Create an exchange with an empty channel of decisions."""
    decision_sender, decision_receiver = trio.open_memory_channel[Decision](
        DECISION_BUFFER_SIZE
    )
    return Exchange(
        request_id, body, decision_sender, decision_receiver, **fields
    )
