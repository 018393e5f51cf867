"""Rate limits that upstreams state in their responses, for all VMs together.

An upstream in need states how many requests per second it takes, for as long
as it does so. A VM that gets such a response tells the others, so that a limit
is kept also by VMs that have had no response from there since. Each VM sends
no more than its share of the limit.
"""

from collections.abc import Callable, Collection
from typing import Final, NamedTuple

from bluebellhub.backpressure.rate_share import (
    RateShare,
    TokenBucket,
    has_token,
    make_bucket,
    rate_share,
    spend_token,
)

__all__ = [
    'RateLimits',
    'ShareOf',
    'StatedLimit',
    'forget_limits',
    'is_within_limit',
    'make_rate_limits',
    'merge_limit',
    'record_limited_send',
    'record_stated_limit',
    'refresh_shares',
]

# What other VMs were told seems newer than it is by the time on the way. So the
# end of a limit counts only if it is newer by more than that.
TRANSFER_MAX_S: Final = 1.0

ShareOf = Callable[[str, float], RateShare]


class StatedLimit(NamedTuple):
    """What an upstream stated last, at ``at_s``.

    ``per_s`` is ``None`` if it stated no limit. ``incarnation`` is that of the
    upstream, a later one is greater: after a new start, the limit does not
    apply any more.
    """

    incarnation: str
    per_s: float | None
    at_s: float


class RateLimits(NamedTuple):
    """The root: the newest statement of each upstream that had a limit.

    ``share_of`` returns this VM's share of the limit of an upstream; what is
    left of it is in ``buckets``.
    """

    share_of: ShareOf
    stated: dict[str, StatedLimit]
    buckets: dict[str, TokenBucket]


def whole_limit(upstream: str, limit_per_s: float) -> RateShare:
    """Return all of a limit, for a VM that is alone."""
    return rate_share(upstream, limit_per_s, '', ())


def make_rate_limits(share_of: ShareOf = whole_limit) -> RateLimits:
    """Create the state of a VM that knows no limits."""
    return RateLimits(share_of, {}, {})


def record_stated_limit(
    limits: RateLimits, upstream: str, stated: StatedLimit
) -> bool:
    """Record what a response to this VM states; return whether it is news.

    Responses without a limit are recorded only after one with a limit.
    """
    known = limits.stated.get(upstream)
    if known is None and stated.per_s is None:
        return False
    if known is not None and stated.incarnation < known.incarnation:
        return False
    return _store(limits, upstream, stated)


def merge_limit(limits: RateLimits, upstream: str, stated: StatedLimit) -> bool:
    """Record what another VM was told; return whether it is news here.

    Of two statements the newer one counts, and when in doubt the limit.
    """
    known = limits.stated.get(upstream)
    if known is not None and not _is_newer(stated, known):
        return False
    return _store(limits, upstream, stated)


def forget_limits(limits: RateLimits, registered: Collection[str]) -> None:
    """Remove the limits of upstreams that are no longer registered."""
    for name in limits.stated.keys() - set(registered):
        limits.stated.pop(name)
        limits.buckets.pop(name, None)


def refresh_shares(limits: RateLimits) -> None:
    """Compute the shares anew, after the VMs have changed."""
    for name, bucket in limits.buckets.items():
        per_s = limits.stated[name].per_s
        if per_s is not None:
            share = limits.share_of(name, per_s)
            limits.buckets[name] = bucket._replace(share=share)


def is_within_limit(
    limits: RateLimits, upstream: str, incarnation: str, now_s: float
) -> bool:
    """Return whether this VM may send a request to the upstream now."""
    bucket = limits.buckets.get(upstream)
    if bucket is None or limits.stated[upstream].incarnation < incarnation:
        return True
    return has_token(bucket, now_s)


def record_limited_send(
    limits: RateLimits, upstream: str, now_s: float
) -> None:
    """Count a request that is sent now."""
    bucket = limits.buckets.get(upstream)
    if bucket is not None:
        limits.buckets[upstream] = spend_token(bucket, now_s)


def _store(limits: RateLimits, upstream: str, stated: StatedLimit) -> bool:
    """Store a statement; return whether it differs from the one before.

    The tokens that are left stay when a limit changes.
    """
    known = limits.stated.get(upstream)
    limits.stated[upstream] = stated
    if known is not None and known._replace(at_s=stated.at_s) == stated:
        return False
    if stated.per_s is None:
        limits.buckets.pop(upstream, None)
        return known is not None and known.per_s is not None
    share = limits.share_of(upstream, stated.per_s)
    bucket = limits.buckets.get(upstream) or make_bucket(share, stated.at_s)
    limits.buckets[upstream] = bucket._replace(share=share)
    return True


def _is_newer(stated: StatedLimit, known: StatedLimit) -> bool:
    if stated.incarnation != known.incarnation:
        return stated.incarnation > known.incarnation
    is_lifted = stated.per_s is None and known.per_s is not None
    margin_s = TRANSFER_MAX_S if is_lifted else 0.0
    return stated.at_s > known.at_s + margin_s
