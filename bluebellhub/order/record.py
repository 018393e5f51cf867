"""Records of claimed idempotency keys, as encoded in the store."""

from typing import Any, Final, Literal, NamedTuple

import msgspec

from bluebellhub.errors import StoreError

__all__ = [
    'BODY_MAX_BYTES',
    'RECORDS_MAX',
    'RETENTION_S',
    'OrderRecord',
    'decode_records',
    'encode_records',
]

RETENTION_S: Final = 86_400.0
BODY_MAX_BYTES: Final = 512
RECORDS_MAX: Final = 1200


class OrderRecord(NamedTuple):
    """A claimed key: the claim, the hash of the request body, the outcome.

    ``claimed_at`` is in seconds since the epoch.  ``status``,
    ``content_type`` and ``body`` are those of the response once the state
    is ``done``.  A response body above 512 bytes is stored as ``None``.
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
    """Decode the fields of a shard object.

    Raises `StoreError` if a field is missing or invalid.
    """
    if spec is None:
        return {}
    try:
        return msgspec.convert(spec['records'], Records)
    except (KeyError, msgspec.ValidationError) as error:
        raise StoreError(
            f'order shard: missing or invalid field: {error}'
        ) from None


def encode_records(records: Records) -> dict[str, Any]:
    """Return the fields of a shard object."""
    return {'records': msgspec.to_builtins(records)}


def drop_expired(records: Records, now_epoch_s: float) -> Records:
    """Return the records within the retention time of `RETENTION_S`."""
    oldest_kept = now_epoch_s - RETENTION_S
    return {
        key: record
        for key, record in records.items()
        if record.claimed_at >= oldest_kept
    }
