"""Compare the scheduler with baseline policies, in virtual time.

Run ``python -m benchmarks.policies`` for all sites and loads, or name one
with ``--site`` and ``--load``.
"""

import argparse
from collections.abc import Iterable
from typing import Final, NamedTuple

from tabulate import tabulate

from benchmarks.bench import Simulation, make_fleet_simulation, make_simulation
from benchmarks.harness import run_simulation
from benchmarks.outcome import Summary, summarise
from benchmarks.workloads import SITES, Site, make_arrivals
from bluebellhub.scheduler.capacity import full_window_slots
from bluebellhub.scheduler.options import SchedulerOptions
from bluebellhub.standins.faults import make_fault

__all__ = ['POLICIES', 'Case', 'main', 'measure_case']

POLICIES: Final = {
    'bluebellhub': SchedulerOptions(),
    'random': SchedulerOptions('random', 'immediate'),
    'round_robin': SchedulerOptions('round_robin', 'immediate'),
    'least_outstanding': SchedulerOptions('least_outstanding', 'immediate'),
    'power_of_two': SchedulerOptions('power_of_two', 'immediate'),
}
LOADS: Final = (0.7, 1.0, 1.3)
DURATION_S: Final = 90.0
ARRIVALS_START_S: Final = 8.0
WARM_UP_S: Final = 15.0
DRAIN_S: Final = 60.0
STRAGGLER_SLOWDOWN: Final = 3.0


class Case(NamedTuple):
    """Parameters of one simulation in the comparison."""

    site: str
    policy: str
    load: float
    vms: int = 1
    seed: int = 1


def measure_case(case: Case) -> Summary:
    """Simulate one case; the last engine of the site is a straggler."""
    site = SITES[case.site]
    policy = POLICIES[case.policy]
    simulation = _make_simulation(site, policy, case)
    straggler = simulation.engines[site.profiles[-1].name]
    straggler.faults.append(make_fault('slow', slowdown=STRAGGLER_SLOWDOWN))
    arrivals = [
        arrival
        for arrival in make_arrivals(
            site, case.load, DURATION_S, case.vms, case.seed
        )
        if arrival.at_s >= ARRIVALS_START_S
    ]
    outcomes = run_simulation(simulation, arrivals, DURATION_S + DRAIN_S)
    return summarise(outcomes, simulation.engines, WARM_UP_S, DURATION_S)


def _make_simulation(
    site: Site, policy: SchedulerOptions, case: Case
) -> Simulation:
    """Create the simulation of a case.

    Several VMs share windows by leases unless the policy is a baseline,
    which dispatches immediately.
    """
    if case.vms > 1 and policy.discipline == 'tiered':
        return make_fleet_simulation(site, policy, case.vms, case.seed)
    sources = [full_window_slots for _ in range(case.vms)]
    return make_simulation(site, policy, sources, case.seed)


def _row(case: Case, summary: Summary) -> list[object]:
    tier_names = ('check', 'quote', 'plan', 'batch')
    goodput = [round(summary.goodput.get(tier, 0.0), 3) for tier in tier_names]
    return [
        case.site,
        case.load,
        case.policy,
        *goodput,
        round(summary.total_goodput, 3),
        round(summary.tokens_per_s),
        round(summary.wasted_prefill, 3),
    ]


def _cases(args: argparse.Namespace) -> Iterable[Case]:
    for site in [args.site] if args.site else SITES:
        for load in [args.load] if args.load else LOADS:
            for policy in POLICIES:
                yield Case(site, policy, load, args.vms, args.seed)


def main() -> None:
    """Run all cases and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--site', choices=SITES)
    parser.add_argument('--load', type=float)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--vms', type=int, default=8)
    args = parser.parse_args()
    header = ['site', 'load', 'policy', 'check', 'quote', 'plan', 'batch']
    header += ['total', 'tokens/s', 'wasted prefill']
    rows = [_row(case, measure_case(case)) for case in _cases(args)]
    print(tabulate(rows, header, tablefmt='github'))


if __name__ == '__main__':
    main()
