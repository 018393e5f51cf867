"""What upstreams state in their responses about the load that they take."""

from bluebellhub.backpressure.rate_limit import (
    RateLimits,
    ShareOf,
    StatedLimit,
    forget_limits,
    is_within_limit,
    make_rate_limits,
    merge_limit,
    record_limited_send,
    record_stated_limit,
    refresh_shares,
)
from bluebellhub.backpressure.rate_share import RateShare, rate_share

__all__ = [
    'RateLimits',
    'RateShare',
    'ShareOf',
    'StatedLimit',
    'forget_limits',
    'is_within_limit',
    'make_rate_limits',
    'merge_limit',
    'rate_share',
    'record_limited_send',
    'record_stated_limit',
    'refresh_shares',
]
