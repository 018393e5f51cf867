"""Limits on the whole fleet that VMs enforce with few messages or none."""

from bluebellhub.rates.chosen_vms import chosen_vms
from bluebellhub.rates.cold_rate import (
    ColdBounds,
    ColdRate,
    cold_share_per_s,
    cold_wait_s,
    record_cold_send,
)
from bluebellhub.rates.quota import (
    JoinedVms,
    QuotaBounds,
    QuotaDemand,
    Quotas,
    adopt_level,
    bucket_levels,
    charge_peer_usage,
    consume_quota,
    make_quotas,
    merge_start,
    refund_quota,
)
from bluebellhub.rates.retry_budget import (
    RetryBounds,
    RetryBudget,
    consume_retry,
    count_request,
    make_retry_budget,
    request_rate_per_s,
)

__all__ = [
    'ColdBounds',
    'ColdRate',
    'JoinedVms',
    'QuotaBounds',
    'QuotaDemand',
    'Quotas',
    'RetryBounds',
    'RetryBudget',
    'adopt_level',
    'bucket_levels',
    'charge_peer_usage',
    'chosen_vms',
    'cold_share_per_s',
    'cold_wait_s',
    'consume_quota',
    'consume_retry',
    'count_request',
    'make_quotas',
    'make_retry_budget',
    'merge_start',
    'record_cold_send',
    'refund_quota',
    'request_rate_per_s',
]
