"""Limits on their rejections that upstreams state, known to all VMs of a site.

An upstream in need fails if it has to reject more requests per second than it
states.  Then the VMs fill it less, and requests wait at the VMs.
"""

from bluebellhub.backpressure import (
    StatedLimit,
    forget_statements,
    merge_statement,
    record_statement,
)
from bluebellhub.site.reports import RejectionLimitReport, ReportedLimit
from bluebellhub.site.state import Site
from bluebellhub.site.stated_limits import LimitsSent, take_due

__all__ = [
    'apply_rejection_report',
    'apply_stated_rejections',
    'assume_rejection_limit',
    'make_rejection_report',
]


def apply_stated_rejections(
    site: Site, name: str, per_s: float | None, now_s: float
) -> bool:
    """Apply the rejection limit that an upstream states in a response, if any.

    Returns whether it differs from what this VM knew or assumed.
    """
    upstream = site.scheduler.upstreams.get(name)
    if upstream is None:
        return False
    stated = StatedLimit(upstream.incarnation, per_s, now_s)
    record_statement(site.rejection_limits, name, stated)
    if upstream.rejections_per_s == per_s:
        return False
    _set_limit(site, name, per_s)
    return True


def apply_rejection_report(
    site: Site, report: RejectionLimitReport, now_s: float
) -> list[ReportedLimit]:
    """Apply what another VM reports; return what is news here."""
    news = [
        entry
        for entry in report.limits
        if merge_statement(
            site.rejection_limits,
            entry.upstream,
            StatedLimit(entry.incarnation, entry.per_s, now_s - entry.age_s),
        )
    ]
    for entry in news:
        _set_limit(site, entry.upstream, entry.per_s)
    return news


def assume_rejection_limit(site: Site, name: str) -> None:
    """Assume for a new upstream what another of its service states.

    That holds until its next response.  Without it, an upstream that has
    failed would get requests from all VMs at once when it is back.
    """
    upstreams = site.scheduler.upstreams
    for target in upstreams[name].spec.targets:
        for peer in site.scheduler.by_target[target]:
            stated = site.rejection_limits.get(peer)
            if stated is not None and stated.per_s is not None:
                _replace_limit(site, name, stated.per_s)
                return


def make_rejection_report(
    site: Site, sent: LimitsSent, now_s: float
) -> RejectionLimitReport | None:
    """Return a report of the limits that are due, or ``None`` if none is."""
    forget_statements(site.rejection_limits, site.registrations.entries)
    entries = take_due(site.rejection_limits, sent.rejection_limits, now_s)
    return RejectionLimitReport(entries) if entries else None


def _set_limit(site: Site, name: str, per_s: float | None) -> None:
    """Set an upstream's limit, and assume it for others of its service.

    They are in need together.  Those that have stated a limit keep theirs.
    """
    if name not in site.scheduler.upstreams:
        return
    _replace_limit(site, name, per_s)
    if per_s is None:
        return
    for target in site.scheduler.upstreams[name].spec.targets:
        for peer in site.scheduler.by_target[target]:
            if peer not in site.rejection_limits:
                _replace_limit(site, peer, per_s)


def _replace_limit(site: Site, name: str, per_s: float | None) -> None:
    upstreams = site.scheduler.upstreams
    upstreams[name] = upstreams[name]._replace(rejections_per_s=per_s)
