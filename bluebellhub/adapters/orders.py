"""The order desk: claims keys in the platform's store, in groups."""

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
    KeyReuseError,
    LedgerUnavailableError,
    OrderUnknownError,
    RefusalError,
)

__all__ = [
    'OrderDesk',
    'deliver_answer',
    'make_desk',
    'place_order',
    'take_claim',
    'take_outcome',
]

KIND: Final = 'order_shard'
GATHER_S: Final = 0.005
CLAIM_TIMEOUT_S: Final = 2.0
RETRY_S: Final = 0.1
FORWARD_TIMEOUT_S: Final = 0.3

log = logbook.Logger('bluebellhub.orders')
Answer = tuple[Head, bytes]
Result = Answer | RefusalError
Forward = Callable[[str, Claim | OrderOutcome], bool]
Reply = Callable[[ClaimAnswer], None]


class OrderDesk(NamedTuple):
    """The root: ledgers by shard and the claims that wait for an answer.

    ``forward`` sends a claim or outcome to the shard's owner and returns
    false when this VM is the owner or the owner cannot be reached;
    ``wakers`` wakes the writer of a shard.
    """

    platform: Platform | None
    nursery: trio.Nursery
    ledgers: dict[str, Ledger]
    wakers: dict[str, trio.Event]
    waiting: dict[str, trio.MemorySendChannel[ClaimAnswer]]
    forward: Forward
    reply: Reply


def make_desk(
    platform: Platform | None,
    nursery: trio.Nursery,
    forward: Forward | None = None,
    reply: Reply | None = None,
) -> OrderDesk:
    """Create a desk; without a platform it refuses keyed orders."""
    return OrderDesk(
        platform,
        nursery,
        {},
        {},
        {},
        forward or _keep_here,
        reply or _drop_reply,
    )


def _keep_here(_shard: str, _message: Claim | OrderOutcome) -> bool:
    return False


def _drop_reply(answer: ClaimAnswer) -> None:
    log.info('nobody waits for claim {}', answer.claim_id)


async def place_order(
    desk: OrderDesk,
    key: str,
    exchange: Exchange,
    call: Callable[[], Awaitable[Answer]],
) -> Answer:
    """Dispatch an order at most once, or return the first one's answer.

    Raises `KeyReuseError`, `OrderUnknownError`, `LedgerUnavailableError`
    and the refusals of ``call``.
    """
    hashed = hashlib.sha256(f'{exchange.method} {exchange.path}\n'.encode())
    hashed.update(exchange.body)
    claim = Claim(uuid4().hex, key, hashed.hexdigest())
    answer = await _claim(desk, claim)
    if answer.state != 'granted':
        return _earlier_answer(answer)
    outgoing, incoming = trio.open_memory_channel[Result](1)
    desk.nursery.start_soon(_dispatch, desk, claim, call, outgoing)
    result = await incoming.receive()
    if isinstance(result, RefusalError):
        raise result
    return result


async def _dispatch(
    desk: OrderDesk,
    claim: Claim,
    call: Callable[[], Awaitable[Answer]],
    outgoing: trio.MemorySendChannel[Result],
) -> None:
    """Run a claimed order to its end, also when its caller goes away."""
    try:
        head, body = await call()
    except RefusalError as error:
        if error.run == 'no':
            _release(desk, claim)
        outgoing.send_nowait(error)
        return
    outgoing.send_nowait((head, body))
    outcome = OrderOutcome(
        claim.claim_id,
        claim.key,
        head.status,
        head.content_type,
        body.decode('utf-8', errors='replace'),
    )
    if not desk.forward(shard_of(claim.key), outcome):
        take_outcome(desk, outcome)


def _earlier_answer(answer: ClaimAnswer) -> Answer:
    """Answer from the record of the key's first claim."""
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


async def _claim(desk: OrderDesk, claim: Claim) -> ClaimAnswer:
    if desk.platform is None:
        raise LedgerUnavailableError('no platform is set')
    outgoing, incoming = trio.open_memory_channel[ClaimAnswer](1)
    desk.waiting[claim.claim_id] = outgoing
    try:
        with trio.move_on_after(CLAIM_TIMEOUT_S):
            return await _first_answer(desk, claim, incoming)
    finally:
        desk.waiting.pop(claim.claim_id, None)
    _release(desk, claim)
    raise LedgerUnavailableError(
        'the object API gave no answer in time', retry_after_s=2.0
    )


async def _first_answer(
    desk: OrderDesk,
    claim: Claim,
    incoming: trio.MemoryReceiveChannel[ClaimAnswer],
) -> ClaimAnswer:
    """Ask the shard's owner first and write here if it stays silent."""
    if desk.forward(shard_of(claim.key), claim):
        with trio.move_on_after(FORWARD_TIMEOUT_S):
            return await incoming.receive()
    take_claim(desk, claim)
    return await incoming.receive()


def take_claim(desk: OrderDesk, claim: Claim) -> None:
    """Queue a claim for this VM's writer of the shard."""
    queue_claim(_ledger(desk, claim.key), claim)
    _wake(desk, shard_of(claim.key))


def take_outcome(desk: OrderDesk, outcome: OrderOutcome) -> None:
    """Queue an outcome for this VM's writer of the shard."""
    queue_outcome(_ledger(desk, outcome.key), outcome)
    _wake(desk, shard_of(outcome.key))


def _release(desk: OrderDesk, claim: Claim) -> None:
    queue_release(_ledger(desk, claim.key), claim.claim_id, claim.key)
    _wake(desk, shard_of(claim.key))


def _ledger(desk: OrderDesk, key: str) -> Ledger:
    shard = shard_of(key)
    ledger = desk.ledgers.get(shard)
    if ledger is None:
        ledger = make_ledger(shard)
        desk.ledgers[shard] = ledger
    return ledger


def _wake(desk: OrderDesk, shard: str) -> None:
    """Wake the shard's writer; start it at first use."""
    waker = desk.wakers.get(shard)
    if waker is None:
        desk.wakers[shard] = trio.Event()
        desk.nursery.start_soon(_write_shard, desk, desk.ledgers[shard])
    else:
        waker.set()


async def _write_shard(desk: OrderDesk, ledger: Ledger) -> None:
    """Write what waits whenever woken, until cancelled."""
    while True:
        await trio.sleep(GATHER_S)
        desk.wakers[ledger.shard] = trio.Event()
        try:
            settled = await _write_once(desk, ledger)
        except StoreError as error:
            log.warning('order shard {}: {}', ledger.shard, error)
            settled = False
        if settled:
            await desk.wakers[ledger.shard].wait()
        else:
            await trio.sleep(RETRY_S)


async def _write_once(desk: OrderDesk, ledger: Ledger) -> bool:
    """Do one read or write; true when nothing is left to write."""
    platform = desk.platform
    if platform is None:
        return True
    if needs_read(ledger):
        stored = await get_object(platform, KIND, ledger.shard)
        _answer(desk, reconcile(ledger, stored.version, stored.spec))
    write, answers = begin_write(ledger, time.time())
    _answer(desk, answers)
    if write is None:
        return True
    try:
        stored = await put_object(
            platform, KIND, ledger.shard, write.spec, write.version
        )
    except ConflictError:
        return False
    _answer(desk, confirm_write(ledger, stored.version))
    return not (ledger.claims or ledger.outcomes or ledger.releases)


def _answer(desk: OrderDesk, answers: list[ClaimAnswer]) -> None:
    for answer in answers:
        deliver_answer(desk, answer)


def deliver_answer(desk: OrderDesk, answer: ClaimAnswer) -> None:
    """Hand an answer to the claim that waits here, or to its VM."""
    waiting = desk.waiting.get(answer.claim_id)
    if waiting is None:
        desk.reply(answer)
        return
    try:
        waiting.send_nowait(answer)
    except trio.WouldBlock:
        log.debug('claim {} has an answer already', answer.claim_id)
