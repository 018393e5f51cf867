"""News of this VM, and what follows from the others' news."""

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
    outcome_counts_of,
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
    'make_context',
    'make_vm_report',
    'merge_learned_speeds',
    'sum_counts',
    'update_other_vms_load',
]


# So long after its start a VM takes the levels of those that run longer.
ADOPTION_S: Final = 2.0
# Speeds are long and change slowly, so only some of the news tell them.
REPORTS_PER_SPEEDS: Final = 8


class ReportContext(NamedTuple):
    """What all news of one moment are taken with, worked out once.

    ``share`` is that of the VMs that hear each other, ``leader`` the first
    of them; ``limited`` holds the accounts with a limit.
    """

    share: float
    leader: str
    limited: Mapping[str, Account]
    now_s: float


def make_context(site: Site, now_s: float) -> ReportContext:
    """Return what news that arrive now are taken with."""
    table = site.active_config['table']
    return ReportContext(
        live_share(site, now_s),
        first_live_vm(site, now_s),
        table.limited if table else {},
        now_s,
    )


def make_vm_report(site: Site, now_s: float) -> VmReport:
    """Return what the other VMs should know of this one."""
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
        outcome_counts_of(site),
        leader_decisions(site, now_s),
        bucket_levels(site.quotas) if has_starting_peer(site, now_s) else {},
        {} if site.flags['news'] % REPORTS_PER_SPEEDS else learned_speeds(site),
    )


def learned_speeds(site: Site) -> dict[str, Speed]:
    """Return what was learned of the upstreams."""
    return {
        name: upstream.speed
        for name, upstream in site.scheduler.upstreams.items()
        if upstream.speed.observations
    }


def merge_learned_speeds(site: Site, told: Mapping[str, Speed]) -> None:
    """Join what another VM has learned of the upstreams' speeds."""
    upstreams = site.scheduler.upstreams
    for name, speed in told.items():
        upstream = upstreams.get(name)
        if upstream is not None:
            upstreams[name] = upstream._replace(
                speed=merge_speeds(upstream.speed, speed)
            )


def has_starting_peer(site: Site, now_s: float) -> bool:
    """Tell whether a VM is heard that has just started."""
    young_s = min(ADOPTION_S, now_s - site.started_at_s)
    ages = [peer.report.age_s for peer in live_peers(site, now_s)]
    ages.extend(
        domain.report.shortest_uptime_s for domain in live_domains(site, now_s)
    )
    return any(age_s < young_s for age_s in ages)


def apply_vm_report(
    site: Site, sender: str, report: VmReport, now_s: float
) -> None:
    """Take another VM's news; older ones than known are dropped."""
    apply_gossip(site, [GossipItem(sender, report)], now_s)


def apply_gossip(site: Site, items: Iterable[GossipItem], now_s: float) -> None:
    """Take several VMs' news."""
    taken = []
    for told in items:
        known = site.peers.get(told.vm)
        if told.vm == site.vm or (known and not _is_newer(told.report, known)):
            continue
        past = _past_starts(told.report, known)
        site.peers[told.vm] = Peer(told.report, now_s, past)
        taken.append((told, known))
    if not taken:
        return
    context = make_context(site, now_s)
    for told, known in taken:
        _apply_report(site, told, known, context)


def _apply_report(
    site: Site, told: GossipItem, known: Peer | None, context: ReportContext
) -> None:
    report = told.report
    use = _usage_since(known, report, context.now_s)
    site.heard.update(use)
    charge_accounts(site, use, context)
    adopt_levels(site, report.age_s, report.levels, context)
    merge_learned_speeds(site, report.speeds)
    record_outcome_counts(site, told.vm, report.outcome_counts)
    apply_leader_decisions(site, told.vm, report.decisions, context)


def charge_accounts(
    site: Site, use: Mapping[str, float], context: ReportContext
) -> None:
    """Take from the accounts' buckets what other VMs have admitted."""
    for name, amount in use.items():
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
    """Follow the leader of version moves, and nobody else."""
    if sender == context.leader:
        apply_decisions(site, decisions, context.now_s)


def adopt_levels(
    site: Site,
    age_s: float,
    levels: Mapping[str, float],
    context: ReportContext,
) -> None:
    """Soon after a start, take the levels of a VM that has run for longer.

    Those of the VM that has run longest are the last to be taken.
    """
    own_age_s = context.now_s - site.started_at_s
    known_age_s = max(own_age_s, site.flags['adopted_age_s'])
    is_older = age_s > known_age_s + ADOPTION_S
    if own_age_s > ADOPTION_S or not is_older or not levels:
        return
    site.flags['adopted_age_s'] = age_s
    for name, level in levels.items():
        account = context.limited.get(name)
        if account is not None:
            adopt_level(site.quotas, account, level, context.now_s)


def _is_newer(report: VmReport, known: Peer) -> bool:
    if report.start_id == known.report.start_id:
        return report.sequence > known.report.sequence
    return report.start_id not in known.past_starts


def _past_starts(report: VmReport, known: Peer | None) -> frozenset[int]:
    if known is None:
        return frozenset()
    if report.start_id == known.report.start_id:
        return known.past_starts
    return known.past_starts | {known.report.start_id}


def _usage_since(
    known: Peer | None, report: VmReport, now_s: float
) -> dict[str, float]:
    """Return what the VM admitted since its last news, by account.

    While it was silent it kept to its own share, which others left to it.
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
    """Return the ratio of VMs that hear each other, this one included."""
    heard = live_vm_count(site, now_s)
    return heard / max(heard, len(site.vms))


def sum_counts(counts: Iterable[Mapping[str, int]]) -> Counter[str]:
    """Add counts up by name."""
    total: Counter[str] = Counter()
    for count in counts:
        total.update(count)
    return total


def update_other_vms_load(site: Site, now_s: float) -> None:
    """Set the upstreams' load from other VMs to the sum of their news."""
    told = [peer.report.work for peer in live_peers(site, now_s)]
    waiting = [peer.report.prefill for peer in live_peers(site, now_s)]
    for domain in live_domains(site, now_s):
        told.append(domain.report.work)
        waiting.append(domain.report.prefill)
    work, prefill = sum_counts(told), sum_counts(waiting)
    upstreams = site.scheduler.upstreams
    for name, upstream in upstreams.items():
        if upstream.other_vms_work == work[name] == 0:
            continue
        upstreams[name] = upstream._replace(
            other_vms_work=work[name],
            other_vms_tokens=prefill[name],
            other_vms_at_s=now_s,
        )
