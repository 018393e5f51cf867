"""Sequential comparison of a new version with the old one, by route.

Every request to either version is an observation.  It counts as bad if it
failed or was slow compared with the old version on the same hardware.  VMs
report cumulative counts, so that lost and duplicate reports do no harm.
"""

from math import log
from typing import Final, NamedTuple

__all__ = [
    'OutcomeCounts',
    'RouteOutcomes',
    'VersionComparison',
    'add_outcomes',
    'is_bad',
    'is_good',
    'make_comparison',
    'rare_routes',
]

BAD_SHARE_ADDED: Final = 0.1
BAD_SHARE_MIN: Final = 0.02
# What is assumed before there are outcomes, and how many it counts for.
PRIOR_BAD_SHARE: Final = 0.05
PRIOR_REQUESTS: Final = 8
BAD_THRESHOLD: Final = log(2000.0)
GOOD_THRESHOLD: Final = log(50.0)
SUSPECT_THRESHOLD: Final = 2.0
RARE_ROUTE_SHARE: Final = 0.1


class OutcomeCounts(NamedTuple):
    """Number of requests, and how many of them failed or were slow."""

    requests: int = 0
    bad: int = 0


class RouteOutcomes(NamedTuple):
    """Cumulative counts of one VM for a route, for both versions."""

    route: str
    old: OutcomeCounts
    new: OutcomeCounts


class VersionComparison(NamedTuple):
    """Aggregate root: the sequential test of the new version on one route.

    ``bad_llr`` and ``good_llr`` are logarithms of likelihood ratios.
    ``bad_llr`` rises with bad outcomes and never falls below zero (a CUSUM
    statistic), so it also detects a version that degrades late.
    ``good_llr`` is the evidence for a good version since the last step.
    """

    old: OutcomeCounts = OutcomeCounts()
    new: OutcomeCounts = OutcomeCounts()
    bad_llr: float = 0.0
    good_llr: float = 0.0


def make_comparison() -> VersionComparison:
    """Return a comparison without observations."""
    return VersionComparison()


def add_outcomes(
    comparison: VersionComparison, old: OutcomeCounts, new: OutcomeCounts
) -> VersionComparison:
    """Return the comparison with new outcome counts added.

    The test compares two hypotheses: the new version's share of bad requests
    equals that of the old version, or a tenth of those that go well with the
    old version go badly as well.  A route on which all requests go badly with
    both versions therefore tells nothing.
    """
    old_total = _sum_counts(comparison.old, old)
    base_share = _expected_bad_share(old_total)
    raised_share = base_share + BAD_SHARE_ADDED * (1 - base_share)
    good = new.requests - new.bad
    gain = new.bad * log(raised_share / base_share)
    gain += good * log((1 - raised_share) / (1 - base_share))
    return VersionComparison(
        old_total,
        _sum_counts(comparison.new, new),
        max(0.0, comparison.bad_llr + gain),
        comparison.good_llr - gain,
    )


def _expected_bad_share(counts: OutcomeCounts) -> float:
    """Return the share of bad requests to expect of the old version.

    With few requests it is near `PRIOR_BAD_SHARE`.
    """
    bad = counts.bad + PRIOR_REQUESTS * PRIOR_BAD_SHARE
    return max(BAD_SHARE_MIN, bad / (counts.requests + PRIOR_REQUESTS))


def _sum_counts(first: OutcomeCounts, second: OutcomeCounts) -> OutcomeCounts:
    return OutcomeCounts(
        first.requests + second.requests, first.bad + second.bad
    )


def is_bad(comparison: VersionComparison) -> bool:
    """Return whether the evidence suffices to roll the version back."""
    return comparison.bad_llr >= BAD_THRESHOLD


def is_good(comparison: VersionComparison, *, rare: bool) -> bool:
    """Return whether the evidence suffices for the next step.

    A rare route gives too few observations; its evidence for a bad version
    only has to stay below `SUSPECT_THRESHOLD`.
    """
    if rare:
        return comparison.bad_llr < SUSPECT_THRESHOLD
    return comparison.good_llr >= GOOD_THRESHOLD


def rare_routes(comparisons: dict[str, VersionComparison]) -> set[str]:
    """Return the routes that have less than a tenth of all requests."""
    counts = {
        route: comparison.old.requests + comparison.new.requests
        for route, comparison in comparisons.items()
    }
    total = sum(counts.values())
    return {
        route
        for route, count in counts.items()
        if count < RARE_ROUTE_SHARE * total
    }
