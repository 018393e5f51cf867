"""Builds this VM's reports and applies those of other VMs."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from bluebellhub.rates import adopt_level, bucket_levels, charge_peer_usage
from bluebellhub.route import Account
from bluebellhub.site.liveness import (
    LIVENESS_TIMEOUT_S,
    first_live_vm,
    live_domains,
    live_peers,
    live_vm_count,
)
from bluebellhub.site.reports import GossipItem, MoveDecision, Peer, VmReport
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
    'adopt_levels',
    'apply_gossip',
    'apply_leader_decisions',
    'apply_vm_report',
    'charge_accounts',
    'has_starting_peer',
    'learned_speeds',
    'live_share',
    'make_report_context',
    'make_vm_report',
    'merge_learned_speeds',
    'sum_counts',
    'update_other_vms_load',
]


# A VM adopts levels within these seconds of its start, from VMs that are older
# by more than that.
ADOPTION_S: Final = 2.0
# Speeds are large and change slowly, so only every eighth report has them.
REPORTS_PER_SPEEDS: Final = 8


class ReportContext(NamedTuple):
    """Values that all reports of one moment are applied with.

    ``share`` is the ratio of live VMs, ``leader`` the first of them by name;
    ``limited`` holds the accounts with a limit.
    """

    share: float
    leader: str
    limited: Mapping[str, Account]
    now_s: float


def make_report_context(site: Site, now_s: float) -> ReportContext:
    """Return the context for the reports that arrive now."""
    table = site.active_config['table']
    return ReportContext(
        live_share(site, now_s),
        first_live_vm(site, now_s),
        table.limited if table else {},
        now_s,
    )


def make_vm_report(site: Site, now_s: float) -> VmReport:
    """Return this VM's next report and increment the sequence number."""
    busy = [
        upstream
        for upstream in site.scheduler.upstreams.values()
        if upstream.work
    ]
    site.flags['news'] += 1
    return VmReport(
        site.start_id,
        now_s - site.started_at_s,
        site.flags['news'],
        {upstream.spec.name: len(upstream.work) for upstream in busy},
        {upstream.spec.name: pending_tokens(upstream) for upstream in busy},
        dict(site.quotas.admitted),
        local_outcome_counts(site),
        leader_decisions(site, now_s),
        bucket_levels(site.quotas) if has_starting_peer(site, now_s) else {},
        {} if site.flags['news'] % REPORTS_PER_SPEEDS else learned_speeds(site),
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
    for item in items:
        known = site.peers.get(item.vm)
        if item.vm == site.vm or (known and not _is_newer(item.report, known)):
            continue
        past = _past_starts(item.report, known)
        site.peers[item.vm] = Peer(item.report, now_s, past)
        newer.append((item, known))
    if not newer:
        return
    context = make_report_context(site, now_s)
    for item, known in newer:
        _apply_report(site, item, known, context)


def _apply_report(
    site: Site, item: GossipItem, known: Peer | None, context: ReportContext
) -> None:
    """Apply a VM's report; ``known`` holds the VM's report before it."""
    report = item.report
    usage = _usage_since(known, report, context.now_s)
    site.admitted_by_peers.update(usage)
    charge_accounts(site, usage, context)
    adopt_levels(site, report.uptime_s, report.levels, context)
    merge_learned_speeds(site, report.speeds)
    record_outcome_counts(site, item.vm, report.outcome_counts)
    apply_leader_decisions(site, item.vm, report.decisions, context)


def charge_accounts(
    site: Site, usage: Mapping[str, float], context: ReportContext
) -> None:
    """Charge what other VMs admitted to the accounts' buckets."""
    for name, amount in usage.items():
        account = context.limited.get(name)
        if account is not None and amount:
            charge_peer_usage(
                site.quotas, account, amount, context.share, context.now_s
            )


def apply_leader_decisions(
    site: Site,
    sender: str,
    decisions: Mapping[str, MoveDecision],
    context: ReportContext,
) -> None:
    """Apply decisions on version moves if they come from the leader."""
    if sender == context.leader:
        apply_decisions(site, decisions, context.now_s)


def adopt_levels(
    site: Site,
    uptime_s: float,
    levels: Mapping[str, float],
    context: ReportContext,
) -> None:
    """Adopt the bucket levels of an older VM, soon after this VM's start.

    Levels of a VM that runs for longer replace those adopted before, so the
    levels of the oldest VM prevail.
    """
    local_uptime_s = context.now_s - site.started_at_s
    known_uptime_s = max(local_uptime_s, site.flags['adopted_age_s'])
    is_older = uptime_s > known_uptime_s + ADOPTION_S
    if local_uptime_s > ADOPTION_S or not is_older or not levels:
        return
    site.flags['adopted_age_s'] = uptime_s
    for name, level in levels.items():
        account = context.limited.get(name)
        if account is not None:
            adopt_level(site.quotas, account, level, context.now_s)


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


def _usage_since(
    known: Peer | None, report: VmReport, now_s: float
) -> dict[str, float]:
    """Return what the VM admitted since its last report, by account.

    It is empty for the first report of a VM, and after a gap longer than the
    liveness timeout: meanwhile the VM kept to its own share of the limits,
    which the others left to it.
    """
    if known is None or now_s - known.received_at_s > LIVENESS_TIMEOUT_S:
        return {}
    before = known.report.admitted
    if known.report.start_id != report.start_id:
        before = {}
    return {
        account: amount - before.get(account, 0.0)
        for account, amount in report.admitted.items()
    }


def live_share(site: Site, now_s: float) -> float:
    """Return the ratio of the VMs that are live, this one included."""
    live_count = live_vm_count(site, now_s)
    return live_count / max(live_count, len(site.vms))


def sum_counts(counts: Iterable[Mapping[str, int]]) -> Counter[str]:
    """Add up counts by name."""
    total: Counter[str] = Counter()
    for count in counts:
        total.update(count)
    return total


def update_other_vms_load(site: Site, now_s: float) -> None:
    """Set each upstream's load from other VMs to the sum of their reports."""
    work_counts = [peer.report.work for peer in live_peers(site, now_s)]
    prefill_counts = [
        peer.report.prefill_tokens for peer in live_peers(site, now_s)
    ]
    for domain in live_domains(site, now_s):
        work_counts.append(domain.report.work)
        prefill_counts.append(domain.report.prefill_tokens)
    work, prefill_tokens = sum_counts(work_counts), sum_counts(prefill_counts)
    upstreams = site.scheduler.upstreams
    for name, upstream in upstreams.items():
        if upstream.other_vms_work == work[name] == 0:
            continue
        upstreams[name] = upstream._replace(
            other_vms_work=work[name],
            other_vms_tokens=prefill_tokens[name],
            other_vms_at_s=now_s,
        )
