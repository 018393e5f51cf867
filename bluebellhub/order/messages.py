"""Messages between VMs about orders."""

from typing import Literal, NamedTuple

from bluebellhub.order.record import OrderRecord
from bluebellhub.peer_messages import message_types

__all__ = ['Claim', 'ClaimAnswer', 'ClaimState', 'OrderOutcome']

ClaimState = Literal['granted', 'done', 'unknown', 'reused', 'full']


@message_types.register('Claim')
class Claim(NamedTuple):
    """A request to dispatch the order with ``key``; claim ids are unique."""

    claim_id: str
    key: str
    body_hash: str


@message_types.register('ClaimAnswer')
class ClaimAnswer(NamedTuple):
    """The result of a claim; ``record`` is that of an earlier claim."""

    claim_id: str
    state: ClaimState
    record: OrderRecord | None = None


@message_types.register('Outcome')
class OrderOutcome(NamedTuple):
    """The response to a dispatched order."""

    claim_id: str
    key: str
    status: int
    content_type: str
    body: str
