"""Builds this VM's reports and applies those of other VMs."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final

from bluebellhub.rates import bucket_levels
from bluebellhub.reachability import is_cut_off
from bluebellhub.site.contact import contact_age_s, set_peers_contact
from bluebellhub.site.demand import make_demand, set_reported_demand
from bluebellhub.site.domain_loads import queued_counts
from bluebellhub.site.liveness import live_domains, live_peers, live_share
from bluebellhub.site.peer_usage import (
    ADOPTION_S,
    ReportContext,
    adopt_levels,
    charge_accounts,
    has_started_together,
    make_report_context,
    merge_starts,
    usage_since,
)
from bluebellhub.site.reports import (
    DomainReport,
    GossipItem,
    MoveDecision,
    Peer,
    VmReport,
)
from bluebellhub.site.slowdowns import apply_slowdowns, make_slowdowns
from bluebellhub.site.state import Site
from bluebellhub.site.version_moves import (
    apply_decisions,
    leader_decisions,
    local_outcome_counts,
    record_outcome_counts,
)
from bluebellhub.upstream import pending_tokens
from bluebellhub.upstream.speed import Speed, merge_speeds

__all__ = [
    'apply_gossip',
    'apply_leader_decisions',
    'apply_vm_report',
    'has_starting_peer',
    'learned_speeds',
    'longest_delay_s',
    'make_vm_report',
    'merge_learned_speeds',
    'sum_counts',
    'update_other_vms_load',
]

# Speeds are large and change slowly, so only every eighth report has them.
REPORTS_PER_SPEEDS: Final = 8


def make_vm_report(site: Site, now_s: float) -> VmReport:
    """Return this VM's next report and increment the sequence number."""
    busy = [
        upstream
        for upstream in site.scheduler.upstreams.values()
        if upstream.work
    ]
    site.flags['report_count'] += 1
    return VmReport(
        site.start_id,
        now_s - site.started_at_s,
        site.flags['report_count'],
        {upstream.spec.name: len(upstream.work) for upstream in busy},
        {upstream.spec.name: pending_tokens(upstream) for upstream in busy},
        dict(site.quotas.admitted),
        local_outcome_counts(site),
        leader_decisions(site, now_s),
        bucket_levels(site.quotas) if has_starting_peer(site, now_s) else {},
        {}
        if site.flags['report_count'] % REPORTS_PER_SPEEDS
        else learned_speeds(site),
        queued_counts(site.scheduler),
        make_slowdowns(site, now_s, own_only=True),
        make_demand(site, now_s),
        is_cut_off(site.scheduler.links),
        contact_age_s(site, now_s),
    )


def learned_speeds(site: Site) -> dict[str, Speed]:
    """Return the learned speeds of the upstreams that have observations."""
    return {
        name: upstream.speed
        for name, upstream in site.scheduler.upstreams.items()
        if upstream.speed.observations
    }


def merge_learned_speeds(site: Site, speeds: Mapping[str, Speed]) -> None:
    """Merge the speeds that another VM has learned into this VM's."""
    upstreams = site.scheduler.upstreams
    for name, speed in speeds.items():
        upstream = upstreams.get(name)
        if upstream is not None:
            upstreams[name] = upstream._replace(
                speed=merge_speeds(upstream.speed, speed)
            )


def has_starting_peer(site: Site, now_s: float) -> bool:
    """Return whether a live VM has just started, and later than this one.

    Such a VM needs the levels of the accounts' buckets.
    """
    starting_s = min(ADOPTION_S, now_s - site.started_at_s)
    uptimes_s = [peer.report.uptime_s for peer in live_peers(site, now_s)]
    uptimes_s.extend(
        domain.report.shortest_uptime_s for domain in live_domains(site, now_s)
    )
    return any(uptime_s < starting_s for uptime_s in uptimes_s)


def apply_vm_report(
    site: Site, sender: str, report: VmReport, now_s: float
) -> None:
    """Apply another VM's report; one that is not newer is dropped."""
    apply_gossip(site, [GossipItem(sender, report)], now_s)


def apply_gossip(site: Site, items: Iterable[GossipItem], now_s: float) -> None:
    """Apply reports of several VMs; those that are not newer are dropped."""
    newer = []
    share_before = live_share(site, now_s)
    for item in items:
        known = site.peers.get(item.vm)
        if item.vm == site.vm or (known and not _is_newer(item.report, known)):
            continue
        past = _past_starts(item.report, known)
        delay_s = _delay_s(item.report, known, now_s)
        site.peers[item.vm] = Peer(item.report, now_s, past, delay_s)
        newer.append((item, known))
    if not newer:
        return
    context = make_report_context(site, share_before, now_s)
    for item, known in newer:
        _apply_report(site, item, known, context)


def _apply_report(
    site: Site, item: GossipItem, known: Peer | None, context: ReportContext
) -> None:
    """Apply a VM's report; ``known`` holds the VM's report before it."""
    report = item.report
    if known is None and has_started_together(site, report.uptime_s, context):
        site.admitted_by_peers.update(report.admitted)
        merge_starts(site, report.admitted, 1, report.uptime_s, context)
    else:
        usage = usage_since(known, report, context.now_s)
        site.admitted_by_peers.update(usage)
        charge_accounts(site, usage, context)
    adopt_levels(site, report.uptime_s, report.levels, context)
    _apply_speeds(site, report, context.now_s)
    record_outcome_counts(site, item.vm, report.outcome_counts)
    apply_leader_decisions(site, item.vm, report.decisions, context)


def _apply_speeds(site: Site, report: VmReport, now_s: float) -> None:
    """Apply the learned speeds and the stated slowdowns of upstreams."""
    merge_learned_speeds(site, report.speeds)
    apply_slowdowns(site, report.slowdowns, now_s)


def apply_leader_decisions(
    site: Site,
    sender: str,
    decisions: Mapping[str, MoveDecision],
    context: ReportContext,
) -> None:
    """Apply decisions on version moves if they come from the leader."""
    if sender == context.leader:
        apply_decisions(site, decisions, context.now_s)


def _is_newer(report: VmReport, known: Peer) -> bool:
    """Return whether the report is newer than the known one.

    Reports of an earlier start of the VM are not.
    """
    if report.start_id == known.report.start_id:
        return report.sequence > known.report.sequence
    return report.start_id not in known.past_starts


def _past_starts(report: VmReport, known: Peer | None) -> frozenset[int]:
    """Return the VM's past starts once the report is applied."""
    if known is None:
        return frozenset()
    if report.start_id == known.report.start_id:
        return known.past_starts
    return known.past_starts | {known.report.start_id}


def _delay_s(report: VmReport, known: Peer | None, now_s: float) -> float:
    """Return how much longer a report took than the fastest of its start."""
    if known is None or report.start_id != known.report.start_id:
        return 0.0
    sent_after_s = report.uptime_s - known.report.uptime_s
    received_after_s = now_s - known.received_at_s
    return max(0.0, known.delay_s + received_after_s - sent_after_s)


def longest_delay_s(site: Site, now_s: float) -> float:
    """Return the longest delay of the newest reports of the live VMs."""
    delays_s = [peer.delay_s for peer in live_peers(site, now_s)]
    return max(delays_s, default=0.0)


def sum_counts(counts: Iterable[Mapping[str, int]]) -> Counter[str]:
    """Add up counts by name."""
    total: Counter[str] = Counter()
    for count in counts:
        total.update(count)
    return total


def update_other_vms_load(site: Site, now_s: float) -> None:
    """Apply what the newest reports of other VMs say together.

    Each upstream's load from other VMs is the sum of their reports.
    """
    set_peers_contact(site, now_s)
    reports: list[VmReport | DomainReport] = [
        *(peer.report for peer in live_peers(site, now_s)),
        *(domain.report for domain in live_domains(site, now_s)),
    ]
    set_reported_demand(site, (report.demand for report in reports))
    work = sum_counts(report.work for report in reports)
    prefill_tokens = sum_counts(report.prefill_tokens for report in reports)
    upstreams = site.scheduler.upstreams
    for name, upstream in upstreams.items():
        if upstream.other_vms_work == work[name] == 0:
            continue
        upstreams[name] = upstream._replace(
            other_vms_work=work[name],
            other_vms_tokens=prefill_tokens[name],
            other_vms_at_s=now_s,
        )
