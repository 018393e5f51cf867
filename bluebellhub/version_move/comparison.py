"""Evidence on a version: trials by route and a sequential test on them.

Every request to the old or the new version is a trial, bad if it failed or
was slow against the old version on like hardware.  VMs report running
totals, so that a lost or doubled report does no harm.
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
BAD_THRESHOLD: Final = log(2000.0)
GOOD_THRESHOLD: Final = log(50.0)
SUSPECT_THRESHOLD: Final = 2.0
RARE_ROUTE_SHARE: Final = 0.1


class OutcomeCounts(NamedTuple):
    """Requests and how many of them went badly."""

    requests: int = 0
    bad: int = 0


class RouteOutcomes(NamedTuple):
    """One VM's running totals for a route, of both versions."""

    route: str
    old: OutcomeCounts
    new: OutcomeCounts


class VersionComparison(NamedTuple):
    """The root: the sequential test for one route of the new version.

    ``drift`` rises with bad trials and never falls below zero, so it also
    finds a version that turns bad late; ``trust`` is the evidence for a
    good version since the last step.  Both are logarithms of likelihood
    ratios.
    """

    old: OutcomeCounts = OutcomeCounts()
    new: OutcomeCounts = OutcomeCounts()
    drift: float = 0.0
    trust: float = 0.0


def make_comparison() -> VersionComparison:
    """Create a test without trials."""
    return VersionComparison()


def add_outcomes(
    verdict: VersionComparison, old: OutcomeCounts, new: OutcomeCounts
) -> VersionComparison:
    """Take new trials of both versions in.

    The test compares a share of bad trials like the old version's with one
    that is 0.1 higher.
    """
    old_sum = _add(verdict.old, old)
    usual = max(BAD_SHARE_MIN, (old_sum.bad + 1) / (old_sum.requests + 20))
    usual = min(usual, 1 - BAD_SHARE_ADDED - BAD_SHARE_MIN)
    raised = usual + BAD_SHARE_ADDED
    fine = new.requests - new.bad
    gain = new.bad * log(raised / usual)
    gain += fine * log((1 - raised) / (1 - usual))
    return VersionComparison(
        old_sum,
        _add(verdict.new, new),
        max(0.0, verdict.drift + gain),
        verdict.trust - gain,
    )


def _add(first: OutcomeCounts, second: OutcomeCounts) -> OutcomeCounts:
    return OutcomeCounts(
        first.requests + second.requests, first.bad + second.bad
    )


def is_bad(verdict: VersionComparison) -> bool:
    """Tell whether the evidence suffices to take the version back."""
    return verdict.drift >= BAD_THRESHOLD


def is_good(verdict: VersionComparison, *, rare: bool) -> bool:
    """Tell whether the evidence suffices for the next step.

    A rare route only has to be free of suspicion.
    """
    if rare:
        return verdict.drift < SUSPECT_THRESHOLD
    return verdict.trust >= GOOD_THRESHOLD


def rare_routes(comparisons: dict[str, VersionComparison]) -> set[str]:
    """Return the routes with less than a tenth of the requests."""
    counts = {
        route: verdict.old.requests + verdict.new.requests
        for route, verdict in comparisons.items()
    }
    total = sum(counts.values())
    return {
        route
        for route, count in counts.items()
        if count < RARE_ROUTE_SHARE * total
    }
