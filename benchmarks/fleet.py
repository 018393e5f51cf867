"""Studies of a fleet under changes: failure domains, VMs, version moves.

``python -m benchmarks.fleet domain`` takes a failure domain out and back,
``kill`` kills one VM of eight, ``moves`` moves traffic to good and to bad
versions, and ``cost`` measures the traffic and processor time of the
protocol.
"""

import argparse
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from tabulate import tabulate

from benchmarks.bench import (
    Simulation,
    crash_vm,
    make_fleet_simulation,
    make_simulation,
)
from benchmarks.harness import run_simulation, schedule
from benchmarks.moving import CASES, run_case
from benchmarks.outcome import is_good
from benchmarks.protocol import measure_protocol
from benchmarks.workloads import SITES, Site, make_arrivals
from bluebellhub.registry import Registry, make_registry
from bluebellhub.scheduler.options import SchedulerOptions
from bluebellhub.standins.virtual_state import write_as_operator
from bluebellhub.upstream import Upstream

__all__ = [
    'VARIANTS',
    'goodput_by_arrival',
    'main',
    'run_domain_case',
    'studies',
]

VM_COUNT: Final = 8
EVACUATED_AT_S: Final = 30.13
RETURNED_AT_S: Final = 60.0
END_S: Final = 90.0
DRAIN_S: Final = 30.0
ARRIVALS_START_S: Final = 8.0
KILLED_AT_S: Final = 30.0
SECONDS_PER_ROW: Final = 5

Study = Callable[[argparse.Namespace], None]
studies: Registry[Study] = make_registry('study')


class Variant(NamedTuple):
    """A method to share upstream windows among the VMs."""

    name: str
    factory: Callable[[Site, int], Simulation]


def _make_leased(site: Site, seed: int) -> Simulation:
    return make_fleet_simulation(site, SchedulerOptions(), VM_COUNT, seed)


def _static_share(upstream: Upstream, now_s: float) -> int:
    return max(1, upstream.window.slots // VM_COUNT)


def _make_static(site: Site, seed: int) -> Simulation:
    return make_simulation(
        site, SchedulerOptions(), [_static_share for _ in range(VM_COUNT)], seed
    )


def _full_window(upstream: Upstream, now_s: float) -> int:
    return upstream.window.slots


def _make_uncoordinated(site: Site, seed: int) -> Simulation:
    return make_simulation(
        site, SchedulerOptions(), [_full_window for _ in range(VM_COUNT)], seed
    )


VARIANTS: Final = (
    Variant('leases', _make_leased),
    Variant('static shares', _make_static),
    Variant('every VM alone', _make_uncoordinated),
)


def _set_domain(
    simulation: Simulation, now_s: float, domain: str, state: str
) -> None:
    """Change a domain's state in the store, or directly without a fleet."""
    if simulation.virtual is not None:
        write_as_operator(
            simulation.virtual, 'failure_domain', domain, {'state': state}
        )
        return
    for scheduler in simulation.schedulers:
        if state == 'out':
            scheduler.domains_out.add(domain)
        else:
            scheduler.domains_out.discard(domain)


def _last_dispatch_after_s(
    simulation: Simulation, site: Site, domain: str
) -> float:
    """Return the seconds from evacuation to the last dispatch to the domain.

    Dispatches after the domain's return don't count.
    """
    engine_names = {
        profile.name
        for number, profile in enumerate(site.profiles)
        if site.domains[number % len(site.domains)] == domain
    }
    dispatch_times_s = [
        dispatched_at_s
        for dispatched_at_s, name in simulation.dispatches
        if name in engine_names
        and EVACUATED_AT_S <= dispatched_at_s < RETURNED_AT_S
    ]
    return max(dispatch_times_s, default=EVACUATED_AT_S) - EVACUATED_AT_S


def goodput_by_arrival(simulation: Simulation, tier: str) -> dict[int, float]:
    """Return a tier's goodput by arrival time in ``SECONDS_PER_ROW`` steps.

    Keys are the starts of the intervals in seconds.
    """
    offered: Counter[int] = Counter()
    successes: Counter[int] = Counter()
    for outcome in simulation.outcomes.by_id.values():
        if outcome.request.tier.name != tier:
            continue
        row = int(outcome.request.arrived_at_s) // SECONDS_PER_ROW
        offered[row] += 1
        successes[row] += is_good(outcome)
    return {
        row * SECONDS_PER_ROW: successes[row] / offered[row]
        for row in sorted(offered)
    }


def run_domain_case(
    variant: Variant, site_name: str, load: float, seed: int
) -> Simulation:
    """Run a simulation with a site's first failure domain out and back."""
    site = SITES[site_name]
    simulation = variant.factory(site, seed)
    schedule(simulation, EVACUATED_AT_S, _set_domain, site.domains[0], 'out')
    schedule(simulation, RETURNED_AT_S, _set_domain, site.domains[0], 'in')
    _run_arrivals(simulation, site, load, seed)
    return simulation


@studies.register('domain')
def study_domain(args: argparse.Namespace) -> None:
    """Take a failure domain out at 30 s and back at 60 s."""
    site = SITES[args.site]
    columns: dict[str, dict[int, float]] = {}
    rows = []
    for variant in VARIANTS:
        simulation = run_domain_case(variant, args.site, args.load, args.seed)
        for tier in ('check', 'plan'):
            columns[f'{variant.name} {tier}'] = goodput_by_arrival(
                simulation, tier
            )
        last_dispatch_s = _last_dispatch_after_s(
            simulation, site, site.domains[0]
        )
        rows.append([variant.name, round(last_dispatch_s, 2)])
    print(tabulate(rows, ['variant', 'last new work after (s)'], 'github'))
    _print_columns(columns)


def _print_columns(columns: dict[str, dict[int, float]]) -> None:
    seconds = sorted(next(iter(columns.values())))
    table = [
        [
            start_s,
            *(
                round(goodput.get(start_s, 0), 3)
                for goodput in columns.values()
            ),
        ]
        for start_s in seconds
    ]
    print(tabulate(table, ['second', *columns], tablefmt='github'))


def _run_arrivals(
    simulation: Simulation, site: Site, load: float, seed: int
) -> None:
    arrivals = [
        arrival
        for arrival in make_arrivals(site, load, END_S, VM_COUNT, seed)
        if arrival.at_s >= ARRIVALS_START_S
    ]
    run_simulation(simulation, arrivals, END_S + DRAIN_S)


@studies.register('kill')
def study_kill(args: argparse.Namespace) -> None:
    """Kill one VM of eight at 30 s; requests sent to it aren't counted."""
    site = SITES[args.site]
    rows = []
    for variant in VARIANTS:
        simulation = variant.factory(site, args.seed)
        schedule(simulation, KILLED_AT_S, crash_vm, VM_COUNT - 1)
        _run_arrivals(simulation, site, args.load, args.seed)
        rows.append([variant.name, *_goodput_around_kill(simulation)])
    header = ['variant', 'before', '0-10 s after', 'later', 'lost in flight']
    print(tabulate(rows, header, 'github', floatfmt='.3f'))


def _goodput_around_kill(simulation: Simulation) -> list[Any]:
    """Return the goodput before, just after and later, and lost requests."""
    intervals = (
        (15.0, KILLED_AT_S),
        (KILLED_AT_S, KILLED_AT_S + 10),
        (KILLED_AT_S + 10, END_S),
    )
    goodput: list[Any] = []
    for start_s, end_s in intervals:
        successes = [
            is_good(outcome)
            for outcome in simulation.outcomes.by_id.values()
            if start_s <= outcome.request.arrived_at_s < end_s
            and simulation.vm_by_request.get(outcome.request.request_id)
            != VM_COUNT - 1
            and outcome.request.request_id in simulation.vm_by_request
        ]
        goodput.append(sum(successes) / max(1, len(successes)))
    lost_requests = len(simulation.schedulers[VM_COUNT - 1].requests)
    return [*goodput, lost_requests]


@studies.register('moves')
def study_moves(args: argparse.Namespace) -> None:
    """Run a version move to each kind of version with several seeds."""
    rows = []
    for name in CASES:
        if args.case and name != args.case:
            continue
        for seed in range(args.seeds):
            rows.append(run_case(name, seed))
    print(tabulate(rows, headers='keys', tablefmt='github'))


@studies.register('cost')
def study_cost(args: argparse.Namespace) -> None:
    """Measure messages, bytes and processor time per second and VM."""
    rows = [
        measure_protocol(members, args.upstreams, time.process_time)
        for members in (8, 32, 128, 320)
    ]
    print(tabulate(rows, headers='keys', tablefmt='github'))


def main() -> None:
    """Run the study given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('study', choices=studies.names())
    parser.add_argument('--site', choices=SITES, default='maclachlan')
    parser.add_argument('--load', type=float, default=0.6)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=4)
    parser.add_argument('--case', choices=CASES)
    parser.add_argument('--upstreams', type=int, default=15)
    args = parser.parse_args()
    studies.find(args.study)(args)


if __name__ == '__main__':
    main()
