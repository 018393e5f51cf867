"""Counts of requests by window and client account, for the usage reports."""

from bluebellhub.usage.due import due_window, record_closed
from bluebellhub.usage.holding import (
    collectors,
    end_holding,
    is_holding,
    record_claim,
    record_holding,
)
from bluebellhub.usage.reports import UsageReport, WindowCounts
from bluebellhub.usage.true_time import true_time_s
from bluebellhub.usage.usage import (
    Usage,
    UsageBounds,
    apply_usage_report,
    count_start,
    local_true_s,
    make_usage,
    make_usage_report,
    queued_requests,
)
from bluebellhub.usage.windows import is_sendable

__all__ = [
    'Usage',
    'UsageBounds',
    'UsageReport',
    'WindowCounts',
    'apply_usage_report',
    'collectors',
    'count_start',
    'due_window',
    'end_holding',
    'is_holding',
    'is_sendable',
    'local_true_s',
    'make_usage',
    'make_usage_report',
    'queued_requests',
    'record_claim',
    'record_closed',
    'record_holding',
    'true_time_s',
]
