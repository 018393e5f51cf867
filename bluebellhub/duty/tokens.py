"""Fencing tokens: the era of the store and a counter of holdings.

A store that was restored from an older copy holds an older counter, which is
counted up again.  The era, which rises then, keeps the tokens unique.
"""

from collections.abc import Iterable
from typing import Final

__all__ = ['make_token', 'next_token', 'token_era']

COUNTER_BITS: Final = 20


def make_token(era: int, counter: int) -> int:
    """Return the token of a holding.

    >>> make_token(3, 7) == 3 * 2**20 + 7
    True
    """
    return (era << COUNTER_BITS) + counter


def token_era(token: int) -> int:
    """Return the era of the store in which the token was made."""
    return token >> COUNTER_BITS


def next_token(era: int, known_tokens: Iterable[int]) -> int:
    """Return the token after all known ones, in the given era.

    >>> next_token(3, [make_token(2, 9), 5]) == make_token(3, 10)
    True
    """
    counters = [token % (1 << COUNTER_BITS) for token in known_tokens]
    return make_token(era, 1 + max(counters, default=0))
