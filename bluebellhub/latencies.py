"""Latency histograms of requests, for the metrics."""

from typing import Final, NamedTuple

from aioprometheus.collectors import Histogram, Registry

__all__ = [
    'Latencies',
    'make_latencies',
    'record_decision',
    'record_loop_lag',
    'record_report_delay',
    'record_request',
    'register_latencies',
]

# Upper bounds in seconds; the last bucket counts all observations.
BUCKETS_S: Final = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
    6.4,
    12.8,
    float('inf'),
)


class Latencies(NamedTuple):
    """Times in seconds.

    Since a request's arrival, by model or service and outcome: ``first_piece``
    is the time to the first part of a response, ``request`` the time to its end
    or to the refusal.

    Of a VM that has too little processor time the others rise: ``loop_lag`` is
    how late its periodic work begins, ``decision`` the time from the first byte
    of a request to the first decision on it, and ``report_delay`` how much
    longer the slowest report of another VM took than the fastest of that VM.
    """

    first_piece: Histogram
    request: Histogram
    loop_lag: Histogram
    decision: Histogram
    report_delay: Histogram


def make_latencies() -> Latencies:
    """Create histograms without observations."""
    return Latencies(
        _make_histogram(
            'bluebellhub_first_piece_seconds',
            'Time from arrival to the first piece of an answer.',
        ),
        _make_histogram(
            'bluebellhub_request_seconds',
            'Time from arrival to the end of a request.',
        ),
        _make_histogram(
            'bluebellhub_loop_lag_seconds',
            'How late the periodic work of this VM begins.',
        ),
        _make_histogram(
            'bluebellhub_decision_seconds',
            'Time from the first byte of a request to the first decision.',
        ),
        _make_histogram(
            'bluebellhub_report_delay_seconds',
            'Longest delay of the newest reports of other VMs.',
        ),
    )


def _make_histogram(name: str, meaning: str) -> Histogram:
    """Create a histogram outside the library's shared registry."""
    return Histogram(name, meaning, registry=Registry(), buckets=BUCKETS_S)


def record_request(
    latencies: Latencies,
    target: str,
    outcome: str,
    request_s: float,
    first_s: float | None,
) -> None:
    """Record the latencies of a request that has ended.

    ``first_s`` is ``None`` for a request without a response.
    """
    labels = {'target': target, 'outcome': outcome}
    latencies.request.observe(labels, request_s)
    if first_s is not None:
        latencies.first_piece.observe(labels, first_s)


def record_loop_lag(latencies: Latencies, lag_s: float) -> None:
    """Record how late the periodic work began."""
    latencies.loop_lag.observe({}, lag_s)


def record_decision(
    latencies: Latencies, decision: str, decision_s: float
) -> None:
    """Record how long a request waited for its first decision."""
    latencies.decision.observe({'decision': decision}, decision_s)


def record_report_delay(latencies: Latencies, delay_s: float) -> None:
    """Record the longest delay among the newest reports of other VMs."""
    latencies.report_delay.observe({}, delay_s)


def register_latencies(registry: Registry, latencies: Latencies) -> None:
    """Add the histograms to a registry, so that it renders them."""
    for histogram in latencies:
        registry.register(histogram)
