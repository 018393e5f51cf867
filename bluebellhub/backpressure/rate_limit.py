"""Rate limits that upstreams state in their responses, for all VMs together.

An upstream in need states how many requests per second it takes, for as long
as it does so. A VM that gets such a response tells the others, so that a limit
is kept also by VMs that have had no response from there since. Each VM sends
no more than its share of the limit.
"""

from collections.abc import Callable, Collection
from typing import NamedTuple

from bluebellhub.backpressure.rate_share import (
    RateShare,
    TokenBucket,
    has_token,
    make_bucket,
    rate_share,
    spend_token,
)
from bluebellhub.backpressure.statements import (
    StatedLimit,
    Statements,
    forget_statements,
    merge_statement,
    record_statement,
)

__all__ = [
    'RateLimits',
    'ShareOf',
    'forget_limits',
    'is_within_limit',
    'make_rate_limits',
    'merge_limit',
    'record_limited_send',
    'record_stated_limit',
    'refresh_shares',
]

ShareOf = Callable[[str, float], RateShare]


class RateLimits(NamedTuple):
    """The root: the newest statement of each upstream that had a limit.

    ``share_of`` returns this VM's share of the limit of an upstream; what is
    left of it is in ``buckets``.
    """

    share_of: ShareOf
    stated: Statements
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
    """Record what a response to this VM states; return whether it changes.

    Responses without a limit are recorded only after one with a limit.
    """
    has_changed = record_statement(limits.stated, upstream, stated)
    if has_changed:
        _update_bucket(limits, upstream, stated)
    return has_changed


def merge_limit(limits: RateLimits, upstream: str, stated: StatedLimit) -> bool:
    """Record what another VM was told; return whether it changes the limit.

    Of two statements the newer one counts, and when in doubt the limit.
    """
    has_changed = merge_statement(limits.stated, upstream, stated)
    if has_changed:
        _update_bucket(limits, upstream, stated)
    return has_changed


def forget_limits(limits: RateLimits, registered: Collection[str]) -> None:
    """Remove the limits of upstreams that are no longer registered."""
    for name in forget_statements(limits.stated, registered):
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


def _update_bucket(
    limits: RateLimits, upstream: str, stated: StatedLimit
) -> None:
    """Apply a limit that is new; the tokens that are left stay."""
    if stated.per_s is None:
        limits.buckets.pop(upstream, None)
        return
    share = limits.share_of(upstream, stated.per_s)
    bucket = limits.buckets.get(upstream) or make_bucket(share, stated.at_s)
    limits.buckets[upstream] = bucket._replace(share=share)
