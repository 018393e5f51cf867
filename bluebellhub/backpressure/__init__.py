"""What upstreams state in their responses about the load that they take."""

from bluebellhub.backpressure.rate_limit import (
    RateLimits,
    StatedLimit,
    make_rate_limits,
    record_stated_limit,
    stated_limit_per_s,
)

__all__ = [
    'RateLimits',
    'StatedLimit',
    'make_rate_limits',
    'record_stated_limit',
    'stated_limit_per_s',
]
