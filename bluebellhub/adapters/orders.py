"""Idempotent orders: each key is claimed in the store before its dispatch."""

import hashlib
from collections.abc import Awaitable, Callable
from typing import Final
from uuid import uuid4

import trio

from bluebellhub.adapters.exchange import Exchange, Head
from bluebellhub.adapters.order_shards import (
    OrderCoordinator,
    enqueue_claim,
    enqueue_outcome,
    enqueue_release,
)
from bluebellhub.faults import report_fault
from bluebellhub.order import Claim, ClaimAnswer, OrderOutcome, shard_of
from bluebellhub.request.refusal import (
    InternalError,
    KeyReuseError,
    LedgerUnavailableError,
    OrderUnknownError,
    RefusalError,
)

__all__ = ['place_order']

CLAIM_TIMEOUT_S: Final = 2.0
FORWARD_TIMEOUT_S: Final = 0.3

OrderResponse = tuple[Head, bytes]
Result = OrderResponse | RefusalError


async def place_order(
    orders: OrderCoordinator,
    key: str,
    exchange: Exchange,
    call: Callable[[], Awaitable[OrderResponse]],
) -> OrderResponse:
    """Dispatch an order at most once for each key.

    Returns the response of ``call``, or the recorded one if the key was
    used before.  Raises `KeyReuseError`, `OrderUnknownError`,
    `LedgerUnavailableError` and the refusals that ``call`` raises.
    """
    hashed = hashlib.sha256(f'{exchange.method} {exchange.path}\n'.encode())
    hashed.update(exchange.body)
    claim = Claim(uuid4().hex, key, hashed.hexdigest())
    answer = await _claim(orders, claim)
    if answer.state != 'granted':
        return _recorded_response(answer)
    sender, receiver = trio.open_memory_channel[Result](1)
    orders.nursery.start_soon(_run_order, orders, claim, call, sender)
    result = await receiver.receive()
    if isinstance(result, RefusalError):
        raise result
    return result


async def _run_order(
    orders: OrderCoordinator,
    claim: Claim,
    call: Callable[[], Awaitable[OrderResponse]],
    sender: trio.MemorySendChannel[Result],
) -> None:
    """Run a claimed order to its end, even if its caller disconnects."""
    try:
        head, body = await call()
    except RefusalError as error:
        if error.run == 'no':
            enqueue_release(orders, claim)
        sender.send_nowait(error)
        return
    except Exception as error:
        sender.send_nowait(InternalError('unexpected error', run='unknown'))
        report_fault(error, 'order', claim=claim.claim_id)
        return
    sender.send_nowait((head, body))
    outcome = OrderOutcome(
        claim.claim_id,
        claim.key,
        head.status,
        head.content_type,
        body.decode('utf-8', errors='replace'),
    )
    if not orders.forward(shard_of(claim.key), outcome):
        enqueue_outcome(orders, outcome)


def _recorded_response(answer: ClaimAnswer) -> OrderResponse:
    """Return the recorded response to the key's first claim, or refuse."""
    record = answer.record
    if answer.state == 'reused':
        raise KeyReuseError('the key was used with another request')
    if answer.state == 'full':
        raise LedgerUnavailableError(
            'the ledger shard is full', retry_after_s=60.0
        )
    if record is None or record.state != 'done':
        raise OrderUnknownError(
            'an order with this key was dispatched', run='unknown'
        )
    if record.body is None:
        raise OrderUnknownError(
            f'done with status {record.status}; the answer was not kept',
            run='unknown',
        )
    return Head(record.status, record.content_type), record.body.encode()


async def _claim(orders: OrderCoordinator, claim: Claim) -> ClaimAnswer:
    """Claim a key; on a timeout release it and refuse the order."""
    if orders.platform is None:
        raise LedgerUnavailableError('no platform is set')
    sender, receiver = trio.open_memory_channel[ClaimAnswer](1)
    orders.pending[claim.claim_id] = sender
    try:
        with trio.move_on_after(CLAIM_TIMEOUT_S):
            return await _await_claim_answer(orders, claim, receiver)
    finally:
        orders.pending.pop(claim.claim_id, None)
    enqueue_release(orders, claim)
    raise LedgerUnavailableError(
        'the object API gave no answer in time', retry_after_s=2.0
    )


async def _await_claim_answer(
    orders: OrderCoordinator,
    claim: Claim,
    receiver: trio.MemoryReceiveChannel[ClaimAnswer],
) -> ClaimAnswer:
    """Send the claim to the shard's owner; claim locally if it is silent."""
    if orders.forward(shard_of(claim.key), claim):
        with trio.move_on_after(FORWARD_TIMEOUT_S):
            return await receiver.receive()
    enqueue_claim(orders, claim)
    return await receiver.receive()
