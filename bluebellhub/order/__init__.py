"""Orders: non-idempotent requests, dispatched at most once per key."""

from bluebellhub.order.ledger import (
    Ledger,
    ShardWrite,
    begin_write,
    confirm_write,
    forget_claim,
    make_ledger,
    needs_read,
    queue_claim,
    queue_outcome,
    queue_release,
    reconcile,
    shard_of,
)
from bluebellhub.order.messages import Claim, ClaimAnswer, OrderOutcome
from bluebellhub.order.record import OrderRecord

__all__ = [
    'Claim',
    'ClaimAnswer',
    'Ledger',
    'OrderOutcome',
    'OrderRecord',
    'ShardWrite',
    'begin_write',
    'confirm_write',
    'forget_claim',
    'make_ledger',
    'needs_read',
    'queue_claim',
    'queue_outcome',
    'queue_release',
    'reconcile',
    'shard_of',
]
