"""Upstreams: windows, predictions, load reports and stragglers."""

import pytest

from bluebellhub.errors import InvariantError
from bluebellhub.invariants import violations
from bluebellhub.upstream import (
    LoadReport,
    UpstreamSpec,
    add_work,
    backlog_tokens,
    finish_prefill,
    is_straggler,
    make_upstream,
    make_window,
    observe_late,
    observe_on_time,
    predict_first_token_s,
    record_failure,
    record_load_report,
)

SPEC = UpstreamSpec(
    'u', '127.0.0.1:1', ('m',), 'd', prefill_tokens_per_s=1000.0, step_s=0.02
)


@pytest.mark.parametrize(
    ('on_time', 'late', 'slots', 'phase'),
    [
        (0, 0, 2, 'cold'),
        (4, 0, 4, 'cold'),
        (0, 3, 2, 'cold'),
        (28, 0, 16, 'warm'),
        (28, 1, 14, 'warm'),
    ],
)
def test_windows_grow_and_shrink(on_time, late, slots, phase):
    window = make_window(2, 16)
    for _ in range(on_time):
        window = observe_on_time(window)
    for number in range(late):
        window = observe_late(window, 10.0 + number, 0.5)
    assert (window.slots, window.phase) == (slots, phase)


def test_a_window_shrinks_at_most_once_per_interval():
    window = make_window(2, 20, warm=True)
    for _ in range(5):
        window = observe_late(window, 10.0, 0.5)
    assert window.slots == 18


@pytest.mark.parametrize(
    ('sent_at_s', 'report', 'now_s', 'expected'),
    [
        ([0.0], None, 0.5, 500.0),
        ([0.0], LoadReport(0.4, 'b', 1, 2000), 0.5, 1900.0),
        ([0.45], LoadReport(0.4, 'b', 1, 2000), 0.5, 2400.0),
        ([0.45], LoadReport(0.4, 'b', 1, 0), 0.5, 500.0),
        ([0.0, 0.0], LoadReport(0.4, 'b', 1, 0), 0.5, 1000.0),
    ],
)
def test_backlog_combines_load_reports_and_local_requests(
    sent_at_s, report, now_s, expected
):
    upstream = make_upstream(SPEC, warm=True)
    for number, moment_s in enumerate(sent_at_s):
        add_work(upstream, f'r{number}', 0, 500, moment_s)
    if report is not None:
        upstream = record_load_report(upstream, report)
    assert backlog_tokens(upstream, now_s) == pytest.approx(expected)


def test_predictions_include_the_prefill_backlog():
    upstream = make_upstream(SPEC, warm=True)
    assert predict_first_token_s(upstream, 100, 0.0) == pytest.approx(0.12)
    add_work(upstream, 'r', 0, 400, 0.0)
    assert predict_first_token_s(upstream, 100, 0.0) == pytest.approx(0.52)
    finish_prefill(upstream, 'r')
    assert predict_first_token_s(upstream, 100, 0.0) == pytest.approx(0.12)


def test_requests_beyond_a_cold_window_violate_an_invariant():
    upstream = make_upstream(SPEC)
    add_work(upstream, 'a', 0, 1, 0.0)
    add_work(upstream, 'b', 0, 1, 0.0)
    with pytest.raises(InvariantError, match='cold_window'):
        add_work(upstream, 'c', 0, 1, 0.0)
    violations.clear()


@pytest.mark.parametrize(
    ('old', 'new', 'phase'),
    [('b1', 'b1', 'warm'), ('b1', 'b2', 'cold')],
)
def test_a_new_boot_id_resets_the_window_to_cold(old, new, phase):
    upstream = make_upstream(SPEC, warm=True)
    upstream = record_load_report(upstream, LoadReport(1.0, old, 0, 0))
    upstream = record_load_report(upstream, LoadReport(2.0, new, 0, 0))
    assert upstream.window.phase == phase


def test_an_older_load_report_is_ignored():
    upstream = make_upstream(SPEC, warm=True)
    upstream = record_load_report(upstream, LoadReport(2.0, 'b2', 0, 7))
    upstream = record_load_report(upstream, LoadReport(1.0, 'b1', 0, 9))
    assert upstream.report.waiting_prefill_tokens == 7
    assert upstream.window.phase == 'warm'


def test_repeated_failures_pause_longer_and_a_restart_is_cold():
    upstream = make_upstream(SPEC, warm=True)
    pauses = []
    for _ in range(3):
        upstream = record_failure(upstream, 0.0, restarted=True)
        pauses.append(upstream.paused_until_s)
    assert pauses == [0.25, 0.5, 1.0]
    assert upstream.window.phase == 'cold'


@pytest.mark.parametrize(
    ('rate', 'ratio', 'observations', 'expected'),
    [
        (1000.0, 1.0, 20, False),
        (300.0, 1.0, 20, True),
        (1000.0, 4.0, 20, True),
        (300.0, 1.0, 3, False),
    ],
)
def test_slow_upstreams_are_stragglers(rate, ratio, observations, expected):
    peers = [make_upstream(SPEC, warm=True) for _ in range(3)]
    speed = peers[0].speed._replace(
        prefill_tokens_per_s=rate,
        delay_ratio=ratio,
        observations=observations,
    )
    straggler = peers[0]._replace(speed=speed)
    assert is_straggler(straggler, [straggler, *peers[1:]]) is expected
