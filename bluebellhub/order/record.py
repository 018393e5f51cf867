"""Records of claimed idempotency keys, as they are kept in the store."""

from typing import Any, Final, Literal, NamedTuple

import msgspec

from bluebellhub.errors import StoreError

__all__ = [
    'BODY_MAX_BYTES',
    'KEEP_S',
    'OrderRecord',
    'RECORDS_MAX',
    'decode_records',
    'encode_records',
]

KEEP_S: Final = 86_400.0
BODY_MAX_BYTES: Final = 512
RECORDS_MAX: Final = 1200


class OrderRecord(NamedTuple):
    """One key: who claimed it, for which body, and the outcome if known.

    ``claimed_at`` is in seconds since the epoch.  ``body`` is kept up to
    512 bytes; a longer one is kept as ``None``.
    """

    body_hash: str
    claim_id: str
    claimed_at: float
    state: Literal['claimed', 'done'] = 'claimed'
    status: int = 0
    content_type: str = ''
    body: str | None = None


Records = dict[str, OrderRecord]


def decode_records(spec: dict[str, Any] | None) -> Records:
    """Read a shard object's fields; raises `StoreError`."""
    if spec is None:
        return {}
    try:
        return msgspec.convert(spec['records'], Records)
    except (KeyError, msgspec.ValidationError) as error:
        raise StoreError(f'order shard: {error}') from None


def encode_records(records: Records) -> dict[str, Any]:
    """Return a shard object's fields."""
    return {'records': msgspec.to_builtins(records)}


def drop_expired(records: Records, now_epoch_s: float) -> Records:
    """Return the records that are younger than the retention time."""
    oldest = now_epoch_s - KEEP_S
    return {
        key: record
        for key, record in records.items()
        if record.claimed_at >= oldest
    }
