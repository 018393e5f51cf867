"""Idempotent orders: their keys are claimed in the store, in batches."""

import hashlib
import time
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple
from uuid import uuid4

import logbook
import trio

from bluebellhub.adapters.exchange import Exchange, Head
from bluebellhub.adapters.platform import Platform, get_object, put_object
from bluebellhub.errors import ConflictError, StoreError
from bluebellhub.faults import isolate_fault, report_fault
from bluebellhub.order import (
    Claim,
    ClaimAnswer,
    Ledger,
    OrderOutcome,
    begin_write,
    confirm_write,
    make_ledger,
    needs_read,
    queue_claim,
    queue_outcome,
    queue_release,
    reconcile,
    shard_of,
)
from bluebellhub.request.refusal import (
    InternalError,
    KeyReuseError,
    LedgerUnavailableError,
    OrderUnknownError,
    RefusalError,
)

__all__ = [
    'OrderCoordinator',
    'deliver_claim_answer',
    'enqueue_claim',
    'enqueue_outcome',
    'make_order_coordinator',
    'place_order',
]

SHARD_KIND: Final = 'order_shard'
BATCH_DELAY_S: Final = 0.005
CLAIM_TIMEOUT_S: Final = 2.0
RETRY_DELAY_S: Final = 0.1
FORWARD_TIMEOUT_S: Final = 0.3

log = logbook.Logger('bluebellhub.orders')
OrderResponse = tuple[Head, bytes]
Result = OrderResponse | RefusalError
Forward = Callable[[str, Claim | OrderOutcome], bool]
Reply = Callable[[ClaimAnswer], None]


class OrderCoordinator(NamedTuple):
    """Root of the aggregate: ledgers by shard and unanswered claims.

    ``wakeups`` holds the event that wakes each shard's writer and
    ``pending`` the channels of claims without an answer.  ``forward`` sends
    to the shard's owner and returns false when this VM is the owner or the
    owner cannot be reached; ``reply`` answers a claim of another VM.
    """

    platform: Platform | None
    nursery: trio.Nursery
    ledgers: dict[str, Ledger]
    wakeups: dict[str, trio.Event]
    pending: dict[str, trio.MemorySendChannel[ClaimAnswer]]
    forward: Forward
    reply: Reply


def make_order_coordinator(
    platform: Platform | None,
    nursery: trio.Nursery,
    forward: Forward | None = None,
    reply: Reply | None = None,
) -> OrderCoordinator:
    """Create a coordinator; without a platform it refuses keyed orders."""
    return OrderCoordinator(
        platform,
        nursery,
        {},
        {},
        {},
        forward or _process_locally,
        reply or _log_unclaimed_reply,
    )


def _process_locally(_shard: str, _message: Claim | OrderOutcome) -> bool:
    return False


def _log_unclaimed_reply(answer: ClaimAnswer) -> None:
    log.info('no request is waiting for claim {}', answer.claim_id)


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
            _release(orders, claim)
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
    _release(orders, claim)
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


def enqueue_claim(orders: OrderCoordinator, claim: Claim) -> None:
    """Queue a claim for the local writer of the shard."""
    queue_claim(_get_ledger(orders, claim.key), claim)
    _wake(orders, shard_of(claim.key))


def enqueue_outcome(orders: OrderCoordinator, outcome: OrderOutcome) -> None:
    """Queue an outcome for the local writer of the shard."""
    queue_outcome(_get_ledger(orders, outcome.key), outcome)
    _wake(orders, shard_of(outcome.key))


def _release(orders: OrderCoordinator, claim: Claim) -> None:
    queue_release(_get_ledger(orders, claim.key), claim.claim_id, claim.key)
    _wake(orders, shard_of(claim.key))


def _get_ledger(orders: OrderCoordinator, key: str) -> Ledger:
    shard = shard_of(key)
    ledger = orders.ledgers.get(shard)
    if ledger is None:
        ledger = make_ledger(shard)
        orders.ledgers[shard] = ledger
    return ledger


def _wake(orders: OrderCoordinator, shard: str) -> None:
    """Wake the shard's writer, which is started at first use."""
    wakeup = orders.wakeups.get(shard)
    if wakeup is None:
        orders.wakeups[shard] = trio.Event()
        orders.nursery.start_soon(
            _run_shard_writer, orders, orders.ledgers[shard]
        )
    else:
        wakeup.set()


async def _run_shard_writer(orders: OrderCoordinator, ledger: Ledger) -> None:
    """Write queued changes in batches whenever woken, until cancelled."""
    while True:
        await trio.sleep(BATCH_DELAY_S)
        orders.wakeups[ledger.shard] = trio.Event()
        is_flushed = False
        with isolate_fault('order_shard', shard=ledger.shard):
            is_flushed = await _write_or_log(orders, ledger)
        if is_flushed:
            await orders.wakeups[ledger.shard].wait()
        else:
            await trio.sleep(RETRY_DELAY_S)


async def _write_or_log(orders: OrderCoordinator, ledger: Ledger) -> bool:
    """Write once; return whether nothing is left to write."""
    try:
        return await _write_once(orders, ledger)
    except StoreError as error:
        log.warning('order shard {}, retrying: {}', ledger.shard, error)
    return False


async def _write_once(orders: OrderCoordinator, ledger: Ledger) -> bool:
    """Read the shard if needed and write once.

    Returns whether nothing is left to write.
    """
    platform = orders.platform
    if platform is None:
        return True
    if needs_read(ledger):
        stored = await get_object(platform, SHARD_KIND, ledger.shard)
        _deliver_all(orders, reconcile(ledger, stored.version, stored.spec))
    write, answers = begin_write(ledger, time.time())
    _deliver_all(orders, answers)
    if write is None:
        return True
    try:
        stored = await put_object(
            platform, SHARD_KIND, ledger.shard, write.spec, write.version
        )
    except ConflictError:
        return False
    _deliver_all(orders, confirm_write(ledger, stored.version))
    return not (ledger.claims or ledger.outcomes or ledger.releases)


def _deliver_all(orders: OrderCoordinator, answers: list[ClaimAnswer]) -> None:
    for answer in answers:
        deliver_claim_answer(orders, answer)


def deliver_claim_answer(orders: OrderCoordinator, answer: ClaimAnswer) -> None:
    """Deliver an answer to the local task that waits for it, or reply."""
    pending = orders.pending.get(answer.claim_id)
    if pending is None:
        orders.reply(answer)
        return
    try:
        pending.send_nowait(answer)
    except trio.WouldBlock:
        log.debug('claim {} is already answered', answer.claim_id)
