"""Metrics of requests that have ended."""

import pytest

from bluebellhub.latencies import (
    make_latencies,
    record_decision,
    record_loop_lag,
    record_report_delay,
    record_request,
)
from bluebellhub.metrics import render_metrics
from bluebellhub.scheduler import make_scheduler
from bluebellhub.scheduler.capacity import full_window_slots
from bluebellhub.scheduler.options import SchedulerOptions

LABELS = 'outcome="answered",target="plans"'


def _render(*ends):
    latencies = make_latencies()
    for request_s, first_s in ends:
        record_request(latencies, 'plans', 'answered', request_s, first_s)
    scheduler = make_scheduler(SchedulerOptions(), full_window_slots)
    return render_metrics(scheduler, latencies)[0].decode()


@pytest.mark.parametrize(
    ('name', 'bound', 'count'),
    [
        ('request', '0.4', 1),
        ('request', '1.6', 2),
        ('request', '+Inf', 3),
        ('first_piece', '0.1', 1),
        ('first_piece', '+Inf', 2),
    ],
)
def test_histogram_counts_by_bucket(name, bound, count):
    text = _render((0.3, 0.05), (1.5, 0.9), (99.0, None))
    line = (
        f'bluebellhub_{name}_seconds_bucket{{le="{bound}",{LABELS}}} {count}.0'
    )
    assert line in text.splitlines()


@pytest.mark.parametrize(
    ('record', 'arguments', 'name', 'labels'),
    [
        (record_loop_lag, (0.3,), 'loop_lag', ''),
        (record_decision, ('sent', 0.3), 'decision', 'decision="sent",'),
        (record_report_delay, (0.3,), 'report_delay', ''),
    ],
)
def test_a_slow_vm_shows_in_the_metrics(record, arguments, name, labels):
    latencies = make_latencies()
    record(latencies, *arguments)
    scheduler = make_scheduler(SchedulerOptions(), full_window_slots)
    lines = render_metrics(scheduler, latencies)[0].decode().splitlines()
    bucket = f'bluebellhub_{name}_seconds_bucket{{{labels}le='
    assert f'{bucket}"0.2"}} 0.0' in lines
    assert f'{bucket}"0.4"}} 1.0' in lines


def test_metrics_can_be_rendered_repeatedly():
    assert _render() == _render()
