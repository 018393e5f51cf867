"""What upstreams state in their responses about the load that they take."""

from bluebellhub.backpressure.departure import (
    Departures,
    forget_departure,
    is_departing,
    make_departures,
    record_departure,
)
from bluebellhub.backpressure.pause import (
    PAUSE_MAX_S,
    Pauses,
    is_asked_to_wait,
    make_pauses,
    record_pause,
)
from bluebellhub.backpressure.rate_limit import (
    RateLimits,
    ShareOf,
    forget_limits,
    is_within_limit,
    make_rate_limits,
    merge_limit,
    record_limited_send,
    record_stated_limit,
    refresh_shares,
)
from bluebellhub.backpressure.rate_share import RateShare, rate_share
from bluebellhub.backpressure.statements import (
    StatedLimit,
    Statements,
    forget_statements,
    merge_statement,
    record_statement,
)

__all__ = [
    'PAUSE_MAX_S',
    'Departures',
    'Pauses',
    'RateLimits',
    'RateShare',
    'ShareOf',
    'StatedLimit',
    'Statements',
    'forget_departure',
    'forget_limits',
    'forget_statements',
    'is_asked_to_wait',
    'is_departing',
    'is_within_limit',
    'make_departures',
    'make_pauses',
    'make_rate_limits',
    'merge_limit',
    'merge_statement',
    'rate_share',
    'record_departure',
    'record_limited_send',
    'record_pause',
    'record_statement',
    'record_stated_limit',
    'refresh_shares',
]
