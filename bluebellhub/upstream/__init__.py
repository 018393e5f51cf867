"""Upstreams: settings, speed, window, load reports, requests in progress."""

from bluebellhub.upstream.fill_ratio import fill_ratio
from bluebellhub.upstream.speed import Speed, make_speed, observe_prefill
from bluebellhub.upstream.straggler import is_straggler
from bluebellhub.upstream.upstream import (
    LoadReport,
    Upstream,
    UpstreamSpec,
    Work,
    add_work,
    backlog_tokens,
    finish_prefill,
    is_cold,
    make_upstream,
    mark_cold,
    pending_tokens,
    predict_first_token_s,
    predict_step_s,
    prefill_rate,
    record_failure,
    record_load_report,
    remove_work,
)
from bluebellhub.upstream.window import (
    Window,
    make_window,
    observe_late,
    observe_on_time,
    restart,
)

__all__ = [
    'LoadReport',
    'Speed',
    'Upstream',
    'UpstreamSpec',
    'Window',
    'Work',
    'add_work',
    'backlog_tokens',
    'fill_ratio',
    'finish_prefill',
    'is_cold',
    'is_straggler',
    'make_speed',
    'make_upstream',
    'make_window',
    'mark_cold',
    'observe_late',
    'observe_on_time',
    'observe_prefill',
    'pending_tokens',
    'predict_first_token_s',
    'predict_step_s',
    'prefill_rate',
    'record_failure',
    'record_load_report',
    'remove_work',
    'restart',
]
