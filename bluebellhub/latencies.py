"""Latency histograms of requests, for the metrics."""

from typing import Final, NamedTuple

from aioprometheus.collectors import Histogram, Registry

__all__ = [
    'Latencies',
    'make_latencies',
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
    """Seconds since a request's arrival, by model or service and outcome.

    ``first_piece`` is the time to the first part of a response, ``request``
    the time to its end or to the refusal.
    """

    first_piece: Histogram
    request: Histogram


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


def register_latencies(registry: Registry, latencies: Latencies) -> None:
    """Add the histograms to a registry, so that it renders them."""
    for histogram in latencies:
        registry.register(histogram)
