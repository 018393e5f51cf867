"""Service tiers and their latency limits."""

from typing import Final, NamedTuple

from bluebellhub.errors import UnknownEntryError

__all__ = ['DEFAULT_TIERS', 'Tier', 'find_tier']


class Tier(NamedTuple):
    """A tier; a smaller ``rank`` is served first and shed last.

    ``first_token_s`` limits the seconds from arrival to the first token and
    ``between_tokens_s`` the mean seconds between later tokens.  ``weight``
    is a factor, without unit, of an account's fair share within the tier.
    """

    name: str
    rank: int
    first_token_s: float
    between_tokens_s: float
    weight: float = 1.0


DEFAULT_TIERS: Final = (
    Tier('check', 0, first_token_s=0.59, between_tokens_s=0.069),
    Tier('quote', 1, first_token_s=2.0, between_tokens_s=0.1),
    Tier('plan', 2, first_token_s=15.0, between_tokens_s=0.2),
    Tier('batch', 3, first_token_s=60.0, between_tokens_s=1.0),
)


def find_tier(name: str) -> Tier:
    """Return the tier called ``name``.

    Raises `UnknownEntryError` if there is none.
    """
    for tier in DEFAULT_TIERS:
        if tier.name == name:
            return tier
    known = [tier.name for tier in DEFAULT_TIERS]
    raise UnknownEntryError('tier', name, known)
