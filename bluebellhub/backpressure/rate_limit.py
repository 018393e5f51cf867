"""Rate limits that upstreams state in their responses, for all VMs together.

An upstream in need states how many requests per second it takes, for as long
as it does so.
"""

from typing import NamedTuple

__all__ = [
    'RateLimits',
    'StatedLimit',
    'make_rate_limits',
    'record_stated_limit',
    'stated_limit_per_s',
]


class StatedLimit(NamedTuple):
    """What an upstream stated last, at ``at_s``.

    ``per_s`` is ``None`` if it stated no limit. ``incarnation`` tells the
    starts of an upstream apart: a new one has stated nothing yet.
    """

    incarnation: str
    per_s: float | None
    at_s: float


class RateLimits(NamedTuple):
    """The root: the newest statement of each upstream that had a limit."""

    stated: dict[str, StatedLimit]


def make_rate_limits() -> RateLimits:
    """Create the state of a VM that knows no limits."""
    return RateLimits({})


def stated_limit_per_s(
    limits: RateLimits, upstream: str, incarnation: str
) -> float | None:
    """Return the limit of an upstream; ``None`` if it has none."""
    stated = limits.stated.get(upstream)
    if stated is None or stated.incarnation != incarnation:
        return None
    return stated.per_s


def record_stated_limit(
    limits: RateLimits, upstream: str, stated: StatedLimit
) -> bool:
    """Record what a response to this VM states; return whether it is news.

    Responses without a limit are recorded only after one with a limit.
    """
    known = limits.stated.get(upstream)
    if known is None and stated.per_s is None:
        return False
    limits.stated[upstream] = stated
    return known is None or not _is_same(known, stated)


def _is_same(known: StatedLimit, stated: StatedLimit) -> bool:
    """Return whether both state the same, whenever they did."""
    return known._replace(at_s=stated.at_s) == stated
