"""Shards of the order ledger, which one VM writes to the store in batches."""

import time
from collections.abc import Callable
from typing import Final, NamedTuple

import logbook
import trio

from bluebellhub.adapters.platform import Platform, get_object, put_object
from bluebellhub.errors import ConflictError, StoreError
from bluebellhub.faults import isolate_fault
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

__all__ = [
    'OrderCoordinator',
    'deliver_claim_answer',
    'enqueue_claim',
    'enqueue_outcome',
    'enqueue_release',
    'make_order_coordinator',
]

SHARD_KIND: Final = 'order_shard'
BATCH_DELAY_S: Final = 0.005
RETRY_DELAY_S: Final = 0.1

log = logbook.Logger('bluebellhub.orders')
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


def enqueue_claim(orders: OrderCoordinator, claim: Claim) -> None:
    """Queue a claim for the local writer of the shard."""
    queue_claim(_get_ledger(orders, claim.key), claim)
    _wake(orders, shard_of(claim.key))


def enqueue_outcome(orders: OrderCoordinator, outcome: OrderOutcome) -> None:
    """Queue an outcome for the local writer of the shard."""
    queue_outcome(_get_ledger(orders, outcome.key), outcome)
    _wake(orders, shard_of(outcome.key))


def enqueue_release(orders: OrderCoordinator, claim: Claim) -> None:
    """Queue the release of a claim for the local writer of the shard."""
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
