"""Histograms of how long requests took, for the metrics."""

from typing import Final, NamedTuple

from aioprometheus.collectors import Histogram, Registry

__all__ = ['Latencies', 'make_latencies', 'note_end', 'register_latencies']

# Upper bounds in seconds; the last one takes everything.
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
    """Seconds from a request's arrival, by model or service and outcome.

    ``first`` is the time to the first piece of an answer, ``whole`` the time
    to its end or to the refusal.
    """

    first: Histogram
    whole: Histogram


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


def note_end(
    latencies: Latencies,
    target: str,
    outcome: str,
    whole_s: float,
    first_s: float | None,
) -> None:
    """Count a request that has ended."""
    labels = {'target': target, 'outcome': outcome}
    latencies.whole.observe(labels, whole_s)
    if first_s is not None:
        latencies.first.observe(labels, first_s)


def register_latencies(registry: Registry, latencies: Latencies) -> None:
    """Let a registry render the histograms."""
    for histogram in latencies:
        registry.register(histogram)
