"""Contract of a client account and its rules."""

import hashlib
import hmac
from collections.abc import Mapping
from typing import Annotated, NamedTuple

import msgspec

from bluebellhub.contract.tier import Tier, find_tier
from bluebellhub.request.refusal import (
    NotAllowedError,
    TooManyTokensError,
    UnauthenticatedError,
)

__all__ = [
    'Contract',
    'authenticate',
    'check_request',
    'hash_key',
    'make_contract',
]

Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Digest = Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]


class Contract(NamedTuple):
    """What a client account may request, and its limits across the fleet.

    ``key_sha256`` is the hexadecimal SHA-256 digest of the secret.
    ``tiers`` lists the tiers that requests may name; the first one is the
    default.  ``models`` and ``services`` list the permitted targets.
    ``rate_per_s`` limits requests per second, ``concurrency`` the requests
    in progress.  ``weight`` is a factor of the account's fair share.
    """

    account: str
    key_sha256: Digest
    tiers: Annotated[tuple[str, ...], msgspec.Meta(min_length=1)]
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    rate_per_s: Positive = 10.0
    concurrency: Count = 50
    prompt_tokens_max: Count = 32_768
    output_tokens_max: Count = 4096
    weight: Positive = 1.0


def hash_key(secret: str) -> str:
    """Return the hexadecimal SHA-256 digest of an account's secret."""
    return hashlib.sha256(secret.encode()).hexdigest()


def make_contract(account: str, secret: str, **limits) -> Contract:
    """Create a contract from the account's secret and its limits.

    >>> make_contract('yard', 's3cret', tiers=('check',)).rate_per_s
    10.0
    """
    return Contract(account, hash_key(secret), **limits)


def authenticate(contracts: Mapping[str, Contract], presented: str) -> Contract:
    """Return the contract for a key of the form ``account.secret``.

    The digests are compared in constant time, also for an unknown account.
    Raises `UnauthenticatedError` if the account or the secret is wrong.
    """
    account, _, secret = presented.partition('.')
    contract = contracts.get(account)
    expected = contract.key_sha256 if contract else hash_key('')
    matches = hmac.compare_digest(hash_key(secret), expected)
    if contract is None or not matches:
        raise UnauthenticatedError('the key belongs to no client account')
    return contract


def check_request(
    contract: Contract,
    target: str,
    tier_name: str | None,
    prompt_tokens: int,
    output_tokens: int,
) -> Tier:
    """Check a request against the contract and return its tier.

    Without a ``tier_name``, the first tier of the contract applies.  Raises
    `NotAllowedError` for a tier, model or service that the contract does not
    list, and `TooManyTokensError` for a request above its token limits.
    """
    chosen = tier_name or contract.tiers[0]
    if chosen not in contract.tiers:
        raise NotAllowedError(f'tier {chosen!r} is not in the contract')
    if target not in contract.models and target not in contract.services:
        raise NotAllowedError(f'{target!r} is not in the contract')
    if prompt_tokens > contract.prompt_tokens_max:
        raise TooManyTokensError(
            'prompt', prompt_tokens, contract.prompt_tokens_max
        )
    if output_tokens > contract.output_tokens_max:
        raise TooManyTokensError(
            'output', output_tokens, contract.output_tokens_max
        )
    return find_tier(chosen)
