"""Slowdowns that upstreams state, as VMs report them to each other."""

from collections.abc import Mapping
from heapq import nsmallest
from typing import Final

from bluebellhub.site.reports import ReportedSlowdown
from bluebellhub.site.state import Site
from bluebellhub.upstream.slowdown import (
    FRESH_S,
    Slowdown,
    bounded_ratio,
    newer_slowdown,
)

__all__ = ['apply_slowdowns', 'make_slowdowns', 'older_slowdowns']

# Bounds the size of a report; the newest are sent.
REPORTED_MAX: Final = 32


def make_slowdowns(
    site: Site, now_s: float, *, own_only: bool = False
) -> dict[str, ReportedSlowdown]:
    """Return the newest slowdowns that upstreams have stated.

    With ``own_only``, those that other VMs reported are left out.
    """
    stated = [
        (now_s - upstream.slowdown.at_s, name, upstream.slowdown.ratio)
        for name, upstream in site.scheduler.upstreams.items()
        if upstream.slowdown.at_s and (upstream.slowdown.is_own or not own_only)
    ]
    return {
        name: ReportedSlowdown(ratio, max(0.0, age_s))
        for age_s, name, ratio in nsmallest(REPORTED_MAX, stated)
        if age_s < FRESH_S
    }


def older_slowdowns(
    reported: Mapping[str, ReportedSlowdown], by_s: float
) -> dict[str, ReportedSlowdown]:
    """Return those still fresh ``by_s`` seconds after they were reported."""
    return {
        name: stated._replace(age_s=stated.age_s + by_s)
        for name, stated in reported.items()
        if stated.age_s + by_s < FRESH_S
    }


def apply_slowdowns(
    site: Site, reported: Mapping[str, ReportedSlowdown], now_s: float
) -> None:
    """Apply slowdowns that another VM reports; older ones are dropped."""
    upstreams = site.scheduler.upstreams
    for name, stated in reported.items():
        upstream = upstreams.get(name)
        if upstream is None or not 0 <= stated.age_s < FRESH_S:
            continue
        slowdown = Slowdown(bounded_ratio(stated.ratio), now_s - stated.age_s)
        upstreams[name] = upstream._replace(
            slowdown=newer_slowdown(upstream.slowdown, slowdown)
        )
