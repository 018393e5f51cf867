"""The ledger of one shard of idempotency keys.

A key is claimed by a conditional update of the shard's object in the store
before the order is dispatched.  Claims that arrive together are written in
one update.  Any VM may write a shard, because the condition makes that safe;
the shard's owner only reduces conflicts between writers.
"""

from typing import Any, Final, NamedTuple, TypedDict

from xxhash import xxh3_64_intdigest

from bluebellhub.errors import ConflictError
from bluebellhub.invariants import check_invariant
from bluebellhub.order.messages import (
    Claim,
    ClaimAnswer,
    ClaimState,
    OrderOutcome,
)
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
    'Ledger',
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

SHARD_COUNT: Final = 64


class ShardWrite(NamedTuple):
    """A conditional update in progress; ``version`` is the expected one."""

    version: int
    spec: dict[str, Any]
    records: Records
    claims: dict[str, Claim]
    outcomes: dict[str, OrderOutcome]
    releases: dict[str, str]


class LedgerState(TypedDict):
    """Mutable state: the newest known version and the update in progress.

    ``version`` is ``None`` until the shard has been read.
    """

    version: int | None
    write: ShardWrite | None


class Ledger(NamedTuple):
    """Aggregate root: known records and the changes still to be written.

    ``claims`` and ``outcomes`` are by claim id.  ``releases`` maps claim ids
    to keys that were claimed but not dispatched.
    """

    shard: str
    state: LedgerState
    records: Records
    claims: dict[str, Claim]
    outcomes: dict[str, OrderOutcome]
    releases: dict[str, str]


def shard_of(key: str) -> str:
    """Return the name of the shard that a key belongs to."""
    return f'{xxh3_64_intdigest(key.encode()) % SHARD_COUNT:03d}'


def make_ledger(shard: str) -> Ledger:
    """Return the ledger of a shard that has not been read."""
    state: LedgerState = {'version': None, 'write': None}
    return Ledger(shard, state, {}, {}, {}, {})


def queue_claim(ledger: Ledger, claim: Claim) -> None:
    """Add a claim to the next write."""
    ledger.claims[claim.claim_id] = claim


def queue_outcome(ledger: Ledger, outcome: OrderOutcome) -> None:
    """Add an outcome to the next write."""
    ledger.outcomes[outcome.claim_id] = outcome


def queue_release(ledger: Ledger, claim_id: str, key: str) -> None:
    """Release a claim whose order was certainly not dispatched."""
    ledger.claims.pop(claim_id, None)
    ledger.releases[claim_id] = key


def forget_claim(ledger: Ledger, claim_id: str) -> None:
    """Remove a claim that has not been written yet."""
    ledger.claims.pop(claim_id, None)


def needs_read(ledger: Ledger) -> bool:
    """Return whether the shard must be read before the next write.

    This is the case if it was never read, if the last update got no
    response, or if a key is claimed whose outcome may be known by now.
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
    """Combine the pending changes into one conditional update.

    Returns the update, or ``None`` if there is nothing to write, and the
    answers to claims of keys that are already claimed.  The shard must have
    been read.  Asserts that no other update is in progress.
    """
    check_invariant(
        'one_ledger_write_at_a_time',
        holds=ledger.state['write'] is None,
        detail=ledger.shard,
    )
    records = drop_expired(ledger.records, now_epoch_s)
    answers = _answer_claimed_keys(ledger, records)
    _apply_outcomes(ledger, records)
    _apply_releases(ledger, records)
    claims_written = _apply_claims(ledger, records, answers, now_epoch_s)
    if not (claims_written or ledger.outcomes or ledger.releases):
        return None, answers
    write = ShardWrite(
        ledger.state['version'] or 0,
        encode_records(records),
        records,
        claims_written,
        dict(ledger.outcomes),
        dict(ledger.releases),
    )
    ledger.state['write'] = write
    return write, answers


def _answer_claimed_keys(ledger: Ledger, records: Records) -> list[ClaimAnswer]:
    """Remove the pending claims whose keys have a record; returns answers."""
    answers = []
    for claim in list(ledger.claims.values()):
        record = records.get(claim.key)
        if record is not None:
            answers.append(_compare_claim(claim, record))
            ledger.claims.pop(claim.claim_id)
    return answers


def _compare_claim(claim: Claim, record: OrderRecord) -> ClaimAnswer:
    """Return the answer to a claim, given the record of its key."""
    if record.claim_id == claim.claim_id:
        return ClaimAnswer(claim.claim_id, 'granted')
    if record.body_hash != claim.body_hash:
        return ClaimAnswer(claim.claim_id, 'reused', record)
    state: ClaimState = 'done' if record.state == 'done' else 'unknown'
    return ClaimAnswer(claim.claim_id, state, record)


def _apply_outcomes(ledger: Ledger, records: Records) -> None:
    for outcome in ledger.outcomes.values():
        record = records.get(outcome.key)
        if record is None or record.claim_id != outcome.claim_id:
            continue
        is_short = len(outcome.body.encode()) <= BODY_MAX_BYTES
        records[outcome.key] = record._replace(
            state='done',
            status=outcome.status,
            content_type=outcome.content_type,
            body=outcome.body if is_short else None,
        )


def _apply_releases(ledger: Ledger, records: Records) -> None:
    for claim_id, key in ledger.releases.items():
        record = records.get(key)
        if record is None or record.claim_id != claim_id:
            continue
        if record.state == 'claimed':
            records.pop(key)


def _apply_claims(
    ledger: Ledger,
    records: Records,
    answers: list[ClaimAnswer],
    now_epoch_s: float,
) -> dict[str, Claim]:
    """Add records for the pending claims that fit; returns these claims."""
    claims_written: dict[str, Claim] = {}
    for claim in list(ledger.claims.values()):
        if len(records) >= RECORDS_MAX:
            answers.append(ClaimAnswer(claim.claim_id, 'full'))
            ledger.claims.pop(claim.claim_id)
        elif claim.key not in records:
            records[claim.key] = OrderRecord(
                claim.body_hash, claim.claim_id, now_epoch_s
            )
            claims_written[claim.claim_id] = claim
    return claims_written


def confirm_write(ledger: Ledger, version: int) -> list[ClaimAnswer]:
    """Apply the confirmed update; returns the answers to its claims.

    Raises `ConflictError` if no update is in progress.
    """
    write = ledger.state['write']
    if write is None:
        raise ConflictError(ledger.shard, version, version)
    ledger.state['write'] = None
    ledger.state['version'] = version
    _replace_records(ledger, write.records)
    _remove_written(ledger, write)
    return [ClaimAnswer(claim_id, 'granted') for claim_id in write.claims]


def reconcile(
    ledger: Ledger, version: int, spec: dict[str, Any] | None
) -> list[ClaimAnswer]:
    """Apply a fresh read of the shard after a conflict or a lost response.

    Claims of the last update are granted if the store holds their claim id;
    others are answered from the record of their key, or stay queued.
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
            answers.append(_compare_claim(claim, record))
            ledger.claims.pop(claim_id, None)
    return answers


def _replace_records(ledger: Ledger, records: Records) -> None:
    copied = dict(records)
    ledger.records.clear()
    ledger.records.update(copied)


def _remove_written(ledger: Ledger, write: ShardWrite) -> None:
    """Remove the changes that the confirmed update has written."""
    for claim_id in write.claims:
        ledger.claims.pop(claim_id, None)
    for claim_id in write.outcomes:
        ledger.outcomes.pop(claim_id, None)
    for claim_id in write.releases:
        ledger.releases.pop(claim_id, None)
