"""Client accounts of the configuration and their limits."""

from typing import NamedTuple

__all__ = ['Account', 'is_limited', 'request_cost']


class Account(NamedTuple):
    """A client account and its limit over the whole fleet.

    ``rate_per_s`` and ``burst`` count tokens if ``counts_tokens``, else
    requests; a rate of 0 means no limit. A request that states no tokens counts
    as ``default_tokens``. ``rank`` takes precedence over the route's.
    """

    name: str
    rate_per_s: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    default_tokens: int = 0
    rank: int | None = None


def is_limited(account: Account) -> bool:
    """Return whether the account has a rate limit."""
    return account.rate_per_s > 0


def request_cost(account: Account, tokens: int | None) -> float:
    """Return the cost of a request in the unit of the account's limit.

    >>> request_cost(Account('a', counts_tokens=True, default_tokens=200), None)
    200.0
    """
    if not account.counts_tokens:
        return 1.0
    return float(account.default_tokens if tokens is None else tokens)
