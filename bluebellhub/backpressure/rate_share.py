"""One VM's share of the rate limit that an upstream states for all VMs."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from bluebellhub.rates import chosen_vms

__all__ = [
    'RateShare',
    'TokenBucket',
    'has_token',
    'make_bucket',
    'rate_share',
    'spend_token',
]

# Over `WINDOW_S` all VMs together may exceed a stated limit by this ratio and
# this number of requests.
WINDOW_S: Final = 4.0
OVERAGE_RATIO: Final = 0.5
SLACK_REQUESTS: Final = 5.0
# Part of the slack, for requests that arrive closer together than they left.
ARRIVAL_MARGIN_REQUESTS: Final = 2.0
# An upstream that takes no requests still gets one now and then: only its
# response tells that it takes them again.
PROBE_PER_S: Final = 0.25


class RateShare(NamedTuple):
    """The requests per second of one VM, and how many it may send at once."""

    per_s: float
    burst: float


class TokenBucket(NamedTuple):
    """The tokens at ``at_s``; each request spends one."""

    share: RateShare
    tokens: float
    at_s: float


def rate_share(
    upstream: str, limit_per_s: float, vm: str, vms: Iterable[str]
) -> RateShare:
    """Return the share of ``vm`` in an upstream's limit, in requests/s.

    All VMs together send no more than the limit, but each may save up a burst.
    The slack of a window bounds the bursts, and so how many VMs use an upstream
    with a low limit; the share of the others is 0.0.

    >>> rate_share('u', 4.0, 'a', ['a', 'b'])
    RateShare(per_s=2.0, burst=5.5)
    """
    limit_per_s = max(PROBE_PER_S, limit_per_s)
    slack = SLACK_REQUESTS + OVERAGE_RATIO * limit_per_s * WINDOW_S
    bursts = slack - ARRIVAL_MARGIN_REQUESTS
    chosen = chosen_vms(upstream, [vm, *vms], int(bursts))
    if vm not in chosen:
        return RateShare(0.0, 0.0)
    return RateShare(limit_per_s / len(chosen), bursts / len(chosen))


def make_bucket(share: RateShare, now_s: float) -> TokenBucket:
    """Create a full bucket."""
    return TokenBucket(share, share.burst, now_s)


def has_token(bucket: TokenBucket, now_s: float) -> bool:
    """Return whether a request may be sent now."""
    return _tokens(bucket, now_s) >= 1.0


def spend_token(bucket: TokenBucket, now_s: float) -> TokenBucket:
    """Return the bucket after a request that is sent now."""
    return bucket._replace(tokens=_tokens(bucket, now_s) - 1.0, at_s=now_s)


def _tokens(bucket: TokenBucket, now_s: float) -> float:
    refilled = bucket.tokens + (now_s - bucket.at_s) * bucket.share.per_s
    return min(bucket.share.burst, refilled)
