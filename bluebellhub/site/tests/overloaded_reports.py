"""Reports between the VMs of a simulated fleet, summed up as one VM's."""

from collections import Counter
from operator import attrgetter

from bluebellhub.site.demand import sum_demand
from bluebellhub.site.reports import Peer
from bluebellhub.site.vm_reports import (
    learned_speeds,
    make_vm_report,
    merge_learned_speeds,
    sum_counts,
    update_other_vms_load,
)
from bluebellhub.standins.virtual_clock import call_at

__all__ = ['send_reports']

MESH_MAX = 16
MESH_INTERVAL_S = 0.12
GRID_INTERVAL_S = 0.25


def send_reports(now_s, sites, random, clock, before=None):
    """Send all reports, now and at intervals.

    Those from other failure domains are one interval older. ``before`` holds
    the reports of the last time, by VM.
    """
    is_mesh = len(sites) <= MESH_MAX
    interval_s = MESH_INTERVAL_S if is_mesh else GRID_INTERVAL_S
    reports = {site.vm: make_vm_report(site, now_s) for site in sites}
    older = reports if is_mesh or before is None else before
    domains = sorted({_domain(site) for site in sites})
    near = {domain: _sum_of(sites, reports, domain) for domain in domains}
    far = {domain: _sum_of(sites, older, domain) for domain in domains}
    for site in sites:
        own = reports[site.vm]
        sums = [far[domain] for domain in domains if domain != _domain(site)]
        sums.append(near[_domain(site)])
        work = sum_counts(map(attrgetter('work'), sums))
        work.subtract(own.work)
        tokens = sum_counts(map(attrgetter('prefill_tokens'), sums))
        tokens.subtract(own.prefill_tokens)
        report = own._replace(
            work=work,
            prefill_tokens=tokens,
            demand=_other_demand(sums, own),
            speeds=learned_speeds(random.choice(sites)),
        )
        delay_s = interval_s * random.random()
        call_at(clock, now_s + delay_s, _apply_report, site, report)
    due_s = now_s + interval_s
    call_at(clock, due_s, send_reports, sites, random, clock, reports)


def _domain(site):
    return site.scheduler.flags['failure_domain']


def _sum_of(sites, reports, domain):
    """Return one report that sums up those of a failure domain."""
    found = [reports[site.vm] for site in sites if _domain(site) == domain]
    return found[0]._replace(
        work=sum_counts(map(attrgetter('work'), found)),
        prefill_tokens=sum_counts(map(attrgetter('prefill_tokens'), found)),
        demand=sum_demand(map(attrgetter('demand'), found)),
    )


def _other_demand(sums, own):
    """Return the demand of all but this VM."""
    demand = sum_demand(map(attrgetter('demand'), sums))
    for target, by_rank in own.demand.items():
        left = Counter(demand[target])
        left.subtract(by_rank)
        demand[target] = dict(left)
    return demand


def _apply_report(now_s, site, report):
    site.peers['hub-others'] = Peer(report, now_s)
    merge_learned_speeds(site, report.speeds)
    update_other_vms_load(site, now_s)
