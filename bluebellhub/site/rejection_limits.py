"""Limits on their rejections that upstreams state, known to all VMs of a site.

An upstream in need fails if it has to reject more requests per second than it
states.  Then the VMs fill it less, and requests wait at the VMs.  The upstreams
of a service are in need together: one that has not responded since counts like
the others.
"""

from collections.abc import Iterable

from bluebellhub.backpressure import (
    StatedLimit,
    forget_statements,
    merge_statement,
    record_statement,
)
from bluebellhub.scheduler.state import upstreams_for
from bluebellhub.site.reports import RejectionLimitReport, ReportedLimit
from bluebellhub.site.state import Site
from bluebellhub.site.stated_limits import LimitsSent, collect_due
from bluebellhub.upstream import Upstream

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
    statements = site.rejection_limits
    if statements:
        # That it states none ends what was assumed.
        statements.setdefault(name, stated)
    record_statement(statements, name, stated)
    if upstream.rejections_per_s == per_s:
        return False
    _update_services(site, [name])
    return True


def apply_rejection_report(
    site: Site, report: RejectionLimitReport, now_s: float
) -> list[ReportedLimit]:
    """Apply what another VM reports; return what has changed here."""
    changed = [
        entry
        for entry in report.limits
        if merge_statement(
            site.rejection_limits,
            entry.upstream,
            StatedLimit(entry.incarnation, entry.per_s, now_s - entry.age_s),
        )
    ]
    _update_services(site, [entry.upstream for entry in report.limits])
    return changed


def assume_rejection_limit(site: Site, name: str) -> None:
    """Assume for a new upstream what others of its service state.

    Without it, an upstream that has failed would get requests from all VMs at
    once when it is back.
    """
    if site.rejection_limits:
        _update_services(site, [name])


def make_rejection_report(
    site: Site, sent: LimitsSent, now_s: float
) -> RejectionLimitReport | None:
    """Return a report of the limits that are due, or ``None`` if none is."""
    if forget_statements(site.rejection_limits, site.registrations.entries):
        _update_services(site, site.scheduler.upstreams)
    entries = collect_due(site.rejection_limits, sent.rejection_limits, now_s)
    return RejectionLimitReport(entries) if entries else None


def _update_services(site: Site, names: Iterable[str]) -> None:
    """Set the limits of all upstreams that serve what these do."""
    upstreams = site.scheduler.upstreams
    targets = {
        target
        for name in names
        if name in upstreams
        for target in upstreams[name].spec.targets
    }
    for target in targets:
        peers = upstreams_for(site.scheduler, target)
        assumed = min(_stated_limits(site, peers), default=None)
        for peer in peers:
            _update_limit(site, peer, assumed)


def _stated_limits(site: Site, peers: Iterable[Upstream]) -> list[float]:
    statements = site.rejection_limits
    stated = [statements.get(peer.spec.name) for peer in peers]
    return [
        each.per_s
        for each in stated
        if each is not None and each.per_s is not None
    ]


def _update_limit(
    site: Site, upstream: Upstream, assumed: float | None
) -> None:
    """Set what an upstream states, or what is assumed until it responds.

    After a new start, what it stated before still counts as assumed.
    """
    name = upstream.spec.name
    stated = site.rejection_limits.get(name)
    per_s = assumed
    if stated is not None and stated.incarnation >= upstream.incarnation:
        per_s = stated.per_s
    if upstream.rejections_per_s != per_s:
        site.scheduler.upstreams[name] = upstream._replace(
            rejections_per_s=per_s
        )
