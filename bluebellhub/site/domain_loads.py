"""Sums up the loads of the failure domains and decides what may leave.

In a full mesh the loads come from the reports of all VMs, in a grid from those
of this domain's VMs and from the summed reports of the other domains.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from math import inf
from typing import NamedTuple

from bluebellhub.admission import size
from bluebellhub.routing.domain_shares import ShareChange, set_decision
from bluebellhub.routing.domains import (
    DomainDecision,
    DomainLoad,
    decide_shares,
)
from bluebellhub.scheduler.state import Scheduler, is_leaving, upstreams_for
from bluebellhub.site.liveness import live_domains, live_vm_names
from bluebellhub.site.state import Site
from bluebellhub.site.vm_location import VmLocation
from bluebellhub.upstream import Upstream

__all__ = ['queued_counts', 'update_domain_shares']


class DomainWork(NamedTuple):
    """What the live VMs of one failure domain have in progress.

    ``sent`` counts their requests by upstream, ``queued`` by target.
    """

    sent: Counter[str]
    queued: Counter[str]


def queued_counts(scheduler: Scheduler) -> dict[str, int]:
    """Return the number of requests that wait on this VM, by target."""
    return {
        target: size(queue)
        for target, queue in scheduler.queues.items()
        if size(queue)
    }


def update_domain_shares(site: Site, now_s: float) -> list[ShareChange]:
    """Decide for each target what may leave; return the changes to log.

    Nothing is decided unless operators state the price of a byte.
    """
    scheduler = site.scheduler
    if scheduler.domain_shares.flags['byte_price'] is None:
        return []
    work = _work_by_domain(site, now_s)
    ages_s = _report_ages(site, now_s)
    changes = []
    for target in scheduler.by_target:
        loads = _target_loads(scheduler, target, work, now_s)
        decision = _decide(scheduler, target, loads, ages_s)
        changes.extend(
            set_decision(scheduler.domain_shares, target, decision, now_s)
        )
    return changes


def _decide(
    scheduler: Scheduler,
    target: str,
    loads: Mapping[str, DomainLoad],
    ages_s: Mapping[str, float],
) -> DomainDecision:
    """Decide on one target, by the loads and the ages of the reports."""
    here = scheduler.flags['failure_domain']
    others = [
        load._replace(age_s=ages_s.get(domain, 0.0))
        for domain, load in loads.items()
        if domain != here
    ]
    before = scheduler.domain_shares.decisions.get(target)
    return decide_shares(loads[here], others, before)


def _target_loads(
    scheduler: Scheduler,
    target: str,
    work: Mapping[str, DomainWork],
    now_s: float,
) -> dict[str, DomainLoad]:
    """Return the load of each failure domain with upstreams or callers."""
    upstreams = upstreams_for(scheduler, target)
    sent_here = work[scheduler.flags['failure_domain']].sent
    by_domain: dict[str, list[Upstream]] = {domain: [] for domain in work}
    for upstream in upstreams:
        by_domain.setdefault(upstream.spec.failure_domain, []).append(upstream)
    return {
        domain: DomainLoad(
            domain,
            sum(_slots(scheduler, upstream, now_s) for upstream in local),
            sum(len(entry.work) + entry.other_vms_work for entry in local),
            _sum_at(sent_here, local),
            _offered(work.get(domain), target, upstreams),
            is_out=domain in scheduler.domains_out,
        )
        for domain, local in by_domain.items()
    }


def _slots(scheduler: Scheduler, upstream: Upstream, now_s: float) -> int:
    """Return the slots of an upstream; none if it gets no new requests."""
    domain = upstream.spec.failure_domain
    if domain in scheduler.domains_out or is_leaving(scheduler, upstream):
        return 0
    return upstream.window.slots if now_s >= upstream.paused_until_s else 0


def _offered(
    work: DomainWork | None, target: str, upstreams: Iterable[Upstream]
) -> int:
    if work is None:
        return 0
    return work.queued[target] + _sum_at(work.sent, upstreams)


def _sum_at(sent: Counter[str], upstreams: Iterable[Upstream]) -> int:
    return sum(sent[upstream.spec.name] for upstream in upstreams)


def _work_by_domain(site: Site, now_s: float) -> dict[str, DomainWork]:
    """Return what each failure domain's live VMs have in progress."""
    scheduler = site.scheduler
    here = DomainWork(
        Counter(
            {
                name: len(upstream.work)
                for name, upstream in scheduler.upstreams.items()
            }
        ),
        Counter(queued_counts(scheduler)),
    )
    found = {scheduler.flags['failure_domain']: here}
    for name in live_vm_names(site, now_s):
        domain = site.vms.get(name, VmLocation()).domain
        report = site.peers[name].report
        _add_work(found, domain, report.work, report.queued)
    for remote in live_domains(site, now_s):
        report_there = remote.report
        _add_work(
            found,
            report_there.domain,
            report_there.work,
            report_there.queued,
        )
    return found


def _add_work(
    found: dict[str, DomainWork],
    domain: str,
    sent: Mapping[str, int],
    queued: Mapping[str, int],
) -> None:
    known = found.setdefault(domain, DomainWork(Counter(), Counter()))
    known.sent.update(sent)
    known.queued.update(queued)


def _report_ages(site: Site, now_s: float) -> dict[str, float]:
    """Return the age of the newest report from each domain with VMs."""
    ages_s = {location.domain: inf for location in site.vms.values()}
    received = [
        (site.vms.get(name, VmLocation()).domain, peer.received_at_s)
        for name, peer in site.peers.items()
    ]
    received.extend(
        (domain, remote.received_at_s)
        for domain, remote in site.domains.items()
    )
    for domain, at_s in received:
        ages_s[domain] = min(ages_s.get(domain, inf), now_s - at_s)
    return ages_s
