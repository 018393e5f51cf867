"""Reports between failure domains: sums over the VMs of one domain."""

from collections import Counter
from collections.abc import Mapping
from typing import Final

from bluebellhub.rates import bucket_levels
from bluebellhub.site.contact import cut_off_vms, shortest_contact_age_s
from bluebellhub.site.demand import sum_demand
from bluebellhub.site.liveness import (
    REMOTE_LIVENESS_TIMEOUT_S,
    live_peers,
    live_share,
    live_vm_names,
)
from bluebellhub.site.peer_usage import (
    ReportContext,
    adopt_levels,
    charge_accounts,
    has_started_together,
    make_report_context,
    merge_starts,
)
from bluebellhub.site.reports import DomainReport, RemoteDomain, VmReport
from bluebellhub.site.slowdowns import apply_slowdowns, make_slowdowns
from bluebellhub.site.state import Site
from bluebellhub.site.version_moves import record_outcome_counts
from bluebellhub.site.vm_reports import (
    apply_leader_decisions,
    has_starting_peer,
    learned_speeds,
    merge_learned_speeds,
    sum_counts,
)
from bluebellhub.version_move import RouteOutcomes

__all__ = ['apply_domain_report', 'make_domain_report']

# Speeds are large and change slowly, so only every sixth report has them.
REPORTS_PER_SPEEDS: Final = 6


def make_domain_report(
    site: Site, local_report: VmReport, now_s: float
) -> DomainReport:
    """Return the report on this VM's failure domain.

    It sums up ``local_report``, which is this VM's own, and the reports of its
    live peers.
    """
    reports = [local_report, *(peer.report for peer in live_peers(site, now_s))]
    admitted = Counter(site.quotas.admitted)
    admitted.update(site.admitted_by_peers)
    location = site.vms.get(site.vm)
    first = min([site.vm, *live_vm_names(site, now_s)])
    return DomainReport(
        location.domain if location else '',
        site.vm,
        site.start_id,
        local_report.uptime_s,
        local_report.sequence,
        len(reports),
        first,
        min(report.uptime_s for report in reports),
        dict(sum_counts(report.work for report in reports)),
        dict(sum_counts(report.prefill_tokens for report in reports)),
        dict(admitted),
        _outcome_counts(site, local_report, now_s),
        local_report.decisions
        if first == site.vm
        else site.peers[first].report.decisions,
        bucket_levels(site.quotas) if has_starting_peer(site, now_s) else {},
        {}
        if local_report.sequence % REPORTS_PER_SPEEDS
        else learned_speeds(site),
        dict(sum_counts(report.queued for report in reports)),
        make_slowdowns(site, now_s),
        sum_demand(report.demand for report in reports),
        cut_off_vms(site, now_s),
        shortest_contact_age_s(site, now_s),
    )


def _outcome_counts(
    site: Site, local_report: VmReport, now_s: float
) -> dict[str, dict[str, list[RouteOutcomes]]]:
    """Return the running totals by VM; empty while there is no version move."""
    if not site.moves:
        return {}
    names = live_vm_names(site, now_s)
    return {
        site.vm: local_report.outcome_counts,
        **{name: site.peers[name].report.outcome_counts for name in names},
    }


def apply_domain_report(site: Site, report: DomainReport, now_s: float) -> None:
    """Apply the report of another failure domain, unless it is outdated.

    One VM reports for a domain. When its reports stop for the liveness timeout,
    the next report from another VM of the domain is accepted. What the domain
    admitted in between is not charged; the slack of the limits covers it.
    """
    known = site.domains.get(report.domain)
    is_live = (
        known is not None
        and now_s - known.received_at_s <= REMOTE_LIVENESS_TIMEOUT_S
    )
    if known is not None and is_live and not _is_newer(report, known.report):
        return
    share_before = live_share(site, now_s)
    site.domains[report.domain] = RemoteDomain(report, now_s)
    context = make_report_context(site, share_before, now_s)
    before = known.report if known is not None and is_live else None
    _charge_usage(site, before, report, context)
    adopt_levels(site, report.uptime_s, report.levels, context)
    merge_learned_speeds(site, report.speeds)
    apply_slowdowns(site, report.slowdowns, now_s)
    for vm, outcome_counts in report.outcome_counts.items():
        record_outcome_counts(site, vm, outcome_counts)
    apply_leader_decisions(site, report.first_vm, report.decisions, context)


def _charge_usage(
    site: Site,
    known: DomainReport | None,
    report: DomainReport,
    context: ReportContext,
) -> None:
    """Charge what a domain admitted since the report before."""
    known_count = 0
    before: Mapping[str, float] = {}
    if known is not None:
        known_count = known.vm_count
        before = known.admitted if known.start_id == report.start_id else {}
    usage = {
        account: amount - before.get(account, 0.0)
        for account, amount in report.admitted.items()
    }
    joined_count = report.vm_count - known_count
    if joined_count > 0 and has_started_together(
        site, report.uptime_s, context
    ):
        merge_starts(site, usage, joined_count, report.uptime_s, context)
    elif known is not None:
        charge_accounts(site, usage, context)


def _is_newer(report: DomainReport, known: DomainReport) -> bool:
    """Return whether a report comes from the same VM and is newer.

    After a restart of the VM the report with the shorter uptime is newer.
    """
    if report.vm != known.vm:
        return False
    if report.start_id == known.start_id:
        return report.sequence > known.sequence
    return report.uptime_s < known.uptime_s
