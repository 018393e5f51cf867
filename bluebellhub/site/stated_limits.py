"""Rate limits that upstreams state, and their reports among the VMs of a site.

Every VM passes on what it has received, so a limit reaches the VMs that it does
not send to directly.
"""

from math import inf
from typing import Final, NamedTuple

from bluebellhub.backpressure import (
    StatedLimit,
    Statements,
    forget_limits,
    merge_limit,
    record_stated_limit,
)
from bluebellhub.site.reports import LimitReport, ReportedLimit
from bluebellhub.site.state import Site

__all__ = [
    'LimitsSent',
    'SentLimits',
    'apply_limit_report',
    'apply_stated_limit',
    'make_limit_report',
    'make_limits_sent',
    'collect_due',
]

# Limits without changes are sent again after this time, for VMs that missed
# them or have started since.
REFRESH_INTERVAL_S: Final = 3.0
# The end of a limit is repeated for this time; then all VMs know it.
LIFTED_REPEAT_S: Final = 12.0
REPORTED_LIMITS_MAX: Final = 32


class SentLimit(NamedTuple):
    """What was sent of an upstream, first and last at these times."""

    incarnation: str
    per_s: float | None
    first_at_s: float
    last_at_s: float


# What was sent last of each upstream.
SentLimits = dict[str, SentLimit]


class LimitsSent(NamedTuple):
    """The limits that the other VMs have."""

    limits: SentLimits
    rejection_limits: SentLimits


def make_limits_sent() -> LimitsSent:
    """Create the state of a VM that has sent no limits."""
    return LimitsSent({}, {})


def apply_stated_limit(
    site: Site, name: str, per_s: float | None, now_s: float
) -> bool:
    """Apply the rate limit that an upstream states in a response, if any.

    Returns whether it differs from what this VM knew.
    """
    upstream = site.scheduler.upstreams.get(name)
    if upstream is None:
        return False
    stated = StatedLimit(upstream.incarnation, per_s, now_s)
    return record_stated_limit(site.scheduler.rate_limits, name, stated)


def apply_limit_report(
    site: Site, report: LimitReport, now_s: float
) -> list[ReportedLimit]:
    """Apply what another VM reports; return what has changed here."""
    limits = site.scheduler.rate_limits
    return [
        entry
        for entry in report.limits
        if merge_limit(
            limits,
            entry.upstream,
            StatedLimit(entry.incarnation, entry.per_s, now_s - entry.age_s),
        )
    ]


def make_limit_report(
    site: Site, sent: LimitsSent, now_s: float
) -> LimitReport | None:
    """Return a report of the limits that are due, or ``None`` if none is."""
    limits = site.scheduler.rate_limits
    forget_limits(limits, site.registrations.entries)
    entries = collect_due(limits.stated, sent.limits, now_s)
    return LimitReport(entries) if entries else None


def collect_due(
    statements: Statements, sent: SentLimits, now_s: float
) -> list[ReportedLimit]:
    """Return the limits that are due, and record that they are sent.

    New ones go first, then those that were sent the longest ago.
    """
    for gone in sent.keys() - statements.keys():
        sent.pop(gone)
    due = [
        name
        for name, stated in statements.items()
        if _is_due(sent.get(name), stated, now_s)
    ]
    due.sort(key=lambda name: _last_sent_s(sent, name))
    reported = due[:REPORTED_LIMITS_MAX]
    for name in reported:
        _record_sent(sent, name, statements[name], now_s)
    return [_reported_limit(name, statements[name], now_s) for name in reported]


def _reported_limit(
    name: str, stated: StatedLimit, now_s: float
) -> ReportedLimit:
    return ReportedLimit(
        name, stated.incarnation, stated.per_s, now_s - stated.at_s
    )


def _is_due(sent: SentLimit | None, stated: StatedLimit, now_s: float) -> bool:
    """Return whether a limit is new or was not sent for a while."""
    if sent is None or not _is_same(sent, stated):
        return True
    is_over = stated.per_s is None
    if is_over and now_s - sent.first_at_s > LIFTED_REPEAT_S:
        return False
    return now_s - sent.last_at_s >= REFRESH_INTERVAL_S


def _is_same(sent: SentLimit, stated: StatedLimit) -> bool:
    return sent.incarnation == stated.incarnation and sent.per_s == stated.per_s


def _last_sent_s(sent: SentLimits, name: str) -> float:
    known = sent.get(name)
    return -inf if known is None else known.last_at_s


def _record_sent(
    sent: SentLimits, name: str, stated: StatedLimit, now_s: float
) -> None:
    known = sent.get(name)
    first_at_s = now_s
    if known is not None and _is_same(known, stated):
        first_at_s = known.first_at_s
    sent[name] = SentLimit(stated.incarnation, stated.per_s, first_at_s, now_s)
