"""The ledger of one shard of idempotency keys.

A key is claimed by a conditional update of the shard's object before the
order is dispatched.  Claims that arrive together are written together.  Any
VM may write a shard: the condition makes it safe, and the shard's owner
only keeps writers from meeting each other.
"""

from typing import Any, Final, Literal, NamedTuple, TypedDict

from xxhash import xxh3_64_intdigest

from bluebellhub.errors import ConflictError
from bluebellhub.invariants import check_invariant
from bluebellhub.order.record import (
    BODY_MAX_BYTES,
    RECORDS_MAX,
    OrderRecord,
    Records,
    decode_records,
    drop_expired,
    encode_records,
)

__all__ = [
    'Claim',
    'ClaimAnswer',
    'Ledger',
    'OrderOutcome',
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

SHARDS: Final = 64
ClaimState = Literal['granted', 'done', 'unknown', 'reused', 'full']


class Claim(NamedTuple):
    """A wish to dispatch the order with ``key``; the id is used once."""

    claim_id: str
    key: str
    body_hash: str


class ClaimAnswer(NamedTuple):
    """What became of a claim; ``record`` is an earlier claim's."""

    claim_id: str
    state: ClaimState
    record: OrderRecord | None = None


class OrderOutcome(NamedTuple):
    """The answer to a dispatched order."""

    claim_id: str
    key: str
    status: int
    content_type: str
    body: str


class ShardWrite(NamedTuple):
    """A conditional update on the way; ``version`` is the expected one."""

    version: int
    spec: dict[str, Any]
    records: Records
    claims: dict[str, Claim]
    outcomes: dict[str, OrderOutcome]
    releases: dict[str, str]


class LedgerState(TypedDict):
    """The newest known version, and the update on the way if there is one.

    ``version`` is ``None`` until the shard has been read.
    """

    version: int | None
    write: ShardWrite | None


class Ledger(NamedTuple):
    """The root: known records and what waits to be written.

    ``releases`` maps claim ids to keys that were claimed but not
    dispatched.
    """

    shard: str
    state: LedgerState
    records: Records
    claims: dict[str, Claim]
    outcomes: dict[str, OrderOutcome]
    releases: dict[str, str]


def shard_of(key: str) -> str:
    """Return the name of the shard that keeps a key."""
    return f'{xxh3_64_intdigest(key.encode()) % SHARDS:03d}'


def make_ledger(shard: str) -> Ledger:
    """Create the ledger of a shard that has not been read."""
    state: LedgerState = {'version': None, 'write': None}
    return Ledger(shard, state, {}, {}, {}, {})


def queue_claim(ledger: Ledger, claim: Claim) -> None:
    """Add a claim to the next write."""
    ledger.claims[claim.claim_id] = claim


def queue_outcome(ledger: Ledger, outcome: OrderOutcome) -> None:
    """Add an outcome to the next write."""
    ledger.outcomes[outcome.claim_id] = outcome


def queue_release(ledger: Ledger, claim_id: str, key: str) -> None:
    """Give back a claim whose order was certainly not dispatched."""
    ledger.claims.pop(claim_id, None)
    ledger.releases[claim_id] = key


def forget_claim(ledger: Ledger, claim_id: str) -> None:
    """Drop a claim that was not written yet."""
    ledger.claims.pop(claim_id, None)


def needs_read(ledger: Ledger) -> bool:
    """Tell whether the shard has to be read before the next write.

    It has to if it was never read, if the last update's answer is missing,
    or if a claim meets a record whose outcome may be known by now.
    """
    if ledger.state['version'] is None or ledger.state['write'] is not None:
        return True
    records = ledger.records
    return any(
        claim.key in records and records[claim.key].state == 'claimed'
        for claim in ledger.claims.values()
    )


def begin_write(
    ledger: Ledger, now_epoch_s: float
) -> tuple[ShardWrite | None, list[ClaimAnswer]]:
    """Put what waits into one conditional update.

    Returns the update, or ``None`` if there is nothing to write, and
    answers to claims whose key is taken already.  The shard has to have
    been read, and no update may be on the way.
    """
    check_invariant(
        'one_ledger_write_at_a_time',
        holds=ledger.state['write'] is None,
        detail=ledger.shard,
    )
    records = drop_expired(ledger.records, now_epoch_s)
    answers = _answer_taken(ledger, records)
    _add_outcomes(ledger, records)
    _drop_released(ledger, records)
    written = _add_claims(ledger, records, answers, now_epoch_s)
    if not (written or ledger.outcomes or ledger.releases):
        return None, answers
    write = ShardWrite(
        ledger.state['version'] or 0,
        encode_records(records),
        records,
        written,
        dict(ledger.outcomes),
        dict(ledger.releases),
    )
    ledger.state['write'] = write
    return write, answers


def _answer_taken(ledger: Ledger, records: Records) -> list[ClaimAnswer]:
    answers = []
    for claim in list(ledger.claims.values()):
        record = records.get(claim.key)
        if record is not None:
            answers.append(_judge(claim, record))
            ledger.claims.pop(claim.claim_id)
    return answers


def _judge(claim: Claim, record: OrderRecord) -> ClaimAnswer:
    """Answer a claim from the record that the store holds for its key."""
    if record.claim_id == claim.claim_id:
        return ClaimAnswer(claim.claim_id, 'granted')
    if record.body_hash != claim.body_hash:
        return ClaimAnswer(claim.claim_id, 'reused', record)
    state: ClaimState = 'done' if record.state == 'done' else 'unknown'
    return ClaimAnswer(claim.claim_id, state, record)


def _add_outcomes(ledger: Ledger, records: Records) -> None:
    for outcome in ledger.outcomes.values():
        record = records.get(outcome.key)
        if record is None or record.claim_id != outcome.claim_id:
            continue
        short = len(outcome.body.encode()) <= BODY_MAX_BYTES
        records[outcome.key] = record._replace(
            state='done',
            status=outcome.status,
            content_type=outcome.content_type,
            body=outcome.body if short else None,
        )


def _drop_released(ledger: Ledger, records: Records) -> None:
    for claim_id, key in ledger.releases.items():
        record = records.get(key)
        if record is None or record.claim_id != claim_id:
            continue
        if record.state == 'claimed':
            records.pop(key)


def _add_claims(
    ledger: Ledger,
    records: Records,
    answers: list[ClaimAnswer],
    now_epoch_s: float,
) -> dict[str, Claim]:
    written: dict[str, Claim] = {}
    for claim in list(ledger.claims.values()):
        if len(records) >= RECORDS_MAX:
            answers.append(ClaimAnswer(claim.claim_id, 'full'))
            ledger.claims.pop(claim.claim_id)
        elif claim.key not in records:
            records[claim.key] = OrderRecord(
                claim.body_hash, claim.claim_id, now_epoch_s
            )
            written[claim.claim_id] = claim
    return written


def confirm_write(ledger: Ledger, version: int) -> list[ClaimAnswer]:
    """Take the store's word that the update has taken effect."""
    write = ledger.state['write']
    if write is None:
        raise ConflictError(ledger.shard, version, version)
    ledger.state['write'] = None
    ledger.state['version'] = version
    _replace_records(ledger, write.records)
    _settle(ledger, write)
    return [ClaimAnswer(claim_id, 'granted') for claim_id in write.claims]


def reconcile(
    ledger: Ledger, version: int, spec: dict[str, Any] | None
) -> list[ClaimAnswer]:
    """Take a fresh read after a conflict or a lost answer.

    Claims of the last update whose mark the store holds are granted; all
    others are judged by the records read or stay queued.
    """
    write = ledger.state['write']
    ledger.state['write'] = None
    ledger.state['version'] = version
    _replace_records(ledger, decode_records(spec))
    if write is None:
        return []
    answers = []
    for claim_id, claim in write.claims.items():
        record = ledger.records.get(claim.key)
        if record is not None:
            answers.append(_judge(claim, record))
            ledger.claims.pop(claim_id, None)
    return answers


def _replace_records(ledger: Ledger, records: Records) -> None:
    fresh = dict(records)
    ledger.records.clear()
    ledger.records.update(fresh)


def _settle(ledger: Ledger, write: ShardWrite) -> None:
    """Forget what the confirmed update has written."""
    for claim_id in write.claims:
        ledger.claims.pop(claim_id, None)
    for claim_id in write.outcomes:
        ledger.outcomes.pop(claim_id, None)
    for claim_id in write.releases:
        ledger.releases.pop(claim_id, None)
