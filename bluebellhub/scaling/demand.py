"""Demand for replicas of a service in one failure domain, and its trend.

Demand is a number of requests: those in progress and those that wait.
"""

from collections import deque
from math import sqrt
from statistics import fmean
from typing import Final, NamedTuple

__all__ = [
    'DomainDemand',
    'Sample',
    'add_sample',
    'expected_demand',
    'present_demand',
]

# Present demand is the mean over this time, the trend that over the other.
PRESENT_S: Final = 1.0
TREND_S: Final = 5.0
# A trend over less than this is not extrapolated.
TREND_MIN_S: Final = 2.0
# Demand scatters like the number of requests that arrive independently. Samples
# taken within about a second are not independent of each other.
INDEPENDENT_PER_S: Final = 1.0
# Extrapolated demand is at most this multiple of the present one: a step of the
# demand looks like a steep trend for some seconds.
GROWTH_MAX: Final = 1.5


class DomainDemand(NamedTuple):
    """What is known at one moment of a service in a failure domain.

    ``in_progress`` and ``queued`` count requests, ``replicas`` those that
    serve, with ``slots`` requests at once each; 0.0 if there is none anywhere.
    ``is_out`` tells that the domain gets no new work, ``is_moving`` that a
    version move of the service runs, and ``is_stale`` that ``replicas`` may be
    wrong because the store fails.
    """

    service: str
    domain: str
    in_progress: float
    queued: float
    replicas: int
    slots: float
    is_out: bool = False
    is_moving: bool = False
    is_stale: bool = False


class Sample(NamedTuple):
    """Demand at a moment."""

    at_s: float
    demand: float


def add_sample(samples: deque[Sample], sample: Sample) -> None:
    """Add the newest sample; drop those that are too old for a trend."""
    samples.append(sample)
    while sample.at_s - samples[0].at_s > TREND_S:
        samples.popleft()


def present_demand(samples: deque[Sample]) -> float:
    """Return the mean demand of the last second; 0.0 without a sample."""
    if not samples:
        return 0.0
    since_s = samples[-1].at_s - PRESENT_S
    return fmean(sample.demand for sample in samples if sample.at_s > since_s)


def expected_demand(samples: deque[Sample], ahead_s: float) -> float:
    """Return the highest demand that is expected within ``ahead_s``."""
    present = present_demand(samples)
    expected = present + _rise_per_s(samples) * ahead_s
    return min(expected, present * GROWTH_MAX)


def _rise_per_s(samples: deque[Sample]) -> float:
    """Return the slope of the samples' linear trend, if it rises.

    The standard error that random arrivals cause is subtracted, or else noise
    would order replicas.
    """
    if not samples or samples[-1].at_s - samples[0].at_s < TREND_MIN_S:
        return 0.0
    mean_at_s = fmean(sample.at_s for sample in samples)
    mean = fmean(sample.demand for sample in samples)
    spread = sum((sample.at_s - mean_at_s) ** 2 for sample in samples)
    covariance = sum(
        (sample.at_s - mean_at_s) * (sample.demand - mean) for sample in samples
    )
    span_s = samples[-1].at_s - samples[0].at_s
    independent = min(1.0, span_s * INDEPENDENT_PER_S / len(samples))
    error = sqrt(mean / (spread * independent))
    return max(0.0, covariance / spread - error)
