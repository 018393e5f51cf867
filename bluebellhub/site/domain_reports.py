"""What VMs of one failure domain tell those of another: sums."""

from collections import Counter
from typing import Final

from bluebellhub.rates import bucket_levels
from bluebellhub.site.liveness import (
    REMOTE_LIVENESS_TIMEOUT_S,
    live_peers,
    live_vm_names,
)
from bluebellhub.site.reports import DomainReport, RemoteDomain, VmReport
from bluebellhub.site.state import Site
from bluebellhub.site.version_moves import record_outcome_counts
from bluebellhub.site.vm_reports import (
    adopt_levels,
    apply_leader_decisions,
    charge_accounts,
    has_starting_peer,
    learned_speeds,
    make_context,
    merge_learned_speeds,
    sum_counts,
)
from bluebellhub.version_move import RouteOutcomes

__all__ = ['apply_domain_report', 'make_domain_report']

# Speeds are long and change slowly, so only some of the news tell them.
REPORTS_PER_SPEEDS: Final = 6


def make_domain_report(site: Site, own: VmReport, now_s: float) -> DomainReport:
    """Sum up what this VM knows of its failure domain.

    ``own`` are its own news.
    """
    near = [own, *(peer.report for peer in live_peers(site, now_s))]
    admitted = Counter(site.quotas.admitted)
    admitted.update(site.heard)
    place = site.vms.get(site.vm)
    first = min([site.vm, *live_vm_names(site, now_s)])
    return DomainReport(
        place.domain if place else '',
        site.vm,
        site.start_id,
        own.age_s,
        own.sequence,
        len(near),
        first,
        min(report.age_s for report in near),
        dict(sum_counts(report.work for report in near)),
        dict(sum_counts(report.prefill for report in near)),
        dict(admitted),
        _outcome_counts(site, own, now_s),
        own.decisions
        if first == site.vm
        else site.peers[first].report.decisions,
        bucket_levels(site.quotas) if has_starting_peer(site, now_s) else {},
        {} if own.sequence % REPORTS_PER_SPEEDS else learned_speeds(site),
    )


def _outcome_counts(
    site: Site, own: VmReport, now_s: float
) -> dict[str, dict[str, list[RouteOutcomes]]]:
    """Return the VMs' running totals, while there are version moves."""
    if not site.moves:
        return {}
    names = live_vm_names(site, now_s)
    return {
        site.vm: own.outcome_counts,
        **{name: site.peers[name].report.outcome_counts for name in names},
    }


def apply_domain_report(site: Site, report: DomainReport, now_s: float) -> None:
    """Take another failure domain's news.

    One VM speaks for a domain until it is silent; then another one does, and
    what was admitted in between is left to the limits' slack.
    """
    known = site.domains.get(report.domain)
    is_fresh = (
        known is not None
        and now_s - known.received_at_s <= REMOTE_LIVENESS_TIMEOUT_S
    )
    if known is not None and is_fresh and not _is_newer(report, known.report):
        return
    site.domains[report.domain] = RemoteDomain(report, now_s)
    context = make_context(site, now_s)
    if known is not None and is_fresh:
        is_same = known.report.start_id == report.start_id
        before = known.report.admitted if is_same else {}
        use = {
            account: amount - before.get(account, 0.0)
            for account, amount in report.admitted.items()
        }
        charge_accounts(site, use, context)
    adopt_levels(site, report.age_s, report.levels, context)
    merge_learned_speeds(site, report.speeds)
    for vm, outcome_counts in report.outcome_counts.items():
        record_outcome_counts(site, vm, outcome_counts)
    apply_leader_decisions(site, report.first_vm, report.decisions, context)


def _is_newer(report: DomainReport, known: DomainReport) -> bool:
    """Tell whether these are later news of the same VM."""
    if report.vm != known.vm:
        return False
    if report.start_id == known.start_id:
        return report.sequence > known.sequence
    return report.age_s < known.age_s
