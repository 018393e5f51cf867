"""The fleet under change: failure domains, VMs and version moves.

``python -m benchmarks.fleet domain`` takes a failure domain out and back,
``kill`` kills one VM of eight, ``moves`` plays good and bad versions and
``cost`` measures what the protocol sends.
"""

import argparse
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from tabulate import tabulate

from benchmarks.bench import Bench, kill, make_bench
from benchmarks.bench import make_fleet_bench as make_leased
from benchmarks.harness import at, run
from benchmarks.moving import CASES, play_case
from benchmarks.outcome import is_good
from benchmarks.protocol import measure_protocol
from benchmarks.workloads import SITES, Site, make_arrivals
from bluebellhub.registry import Registry, make_registry
from bluebellhub.scheduler.state import SchedulerOptions
from bluebellhub.standins.virtual_state import write_as_operator
from bluebellhub.upstream import Upstream

__all__ = ['VARIANTS', 'by_second', 'main', 'play_domain', 'studies']

VMS: Final = 8
OUT_S: Final = 30.13
BACK_S: Final = 60.0
END_S: Final = 90.0
DRAIN_S: Final = 30.0
BEGIN_S: Final = 8.0
KILL_S: Final = 30.0
SECONDS_PER_ROW: Final = 5

Study = Callable[[argparse.Namespace], None]
studies: Registry[Study] = make_registry('study')


class Variant(NamedTuple):
    """A way to share windows among the VMs."""

    name: str
    make: Callable[[Site, int], Bench]


def _make_leases(site: Site, seed: int) -> Bench:
    return make_leased(site, SchedulerOptions(), VMS, seed)


def _static_share(upstream: Upstream, now_s: float) -> int:
    return max(1, upstream.window.slots // VMS)


def _make_static(site: Site, seed: int) -> Bench:
    return make_bench(
        site, SchedulerOptions(), [_static_share for _ in range(VMS)], seed
    )


def _whole(upstream: Upstream, now_s: float) -> int:
    return upstream.window.slots


def _make_alone(site: Site, seed: int) -> Bench:
    return make_bench(
        site, SchedulerOptions(), [_whole for _ in range(VMS)], seed
    )


VARIANTS: Final = (
    Variant('leases', _make_leases),
    Variant('static shares', _make_static),
    Variant('every VM alone', _make_alone),
)


def _set_domain(bench: Bench, now_s: float, domain: str, state: str) -> None:
    """Change a domain: by the store, or at once where there is no fleet."""
    if bench.virtual is not None:
        write_as_operator(
            bench.virtual, 'failure_domain', domain, {'state': state}
        )
        return
    for scheduler in bench.vms:
        if state == 'out':
            scheduler.domains_out.add(domain)
        else:
            scheduler.domains_out.discard(domain)


def _last_new_work_s(bench: Bench, site: Site, domain: str) -> float:
    """Return how long after the change an engine of the domain got work."""
    inside = {
        profile.name
        for number, profile in enumerate(site.profiles)
        if site.domains[number % len(site.domains)] == domain
    }
    moments = [
        moment_s
        for moment_s, name in bench.dispatches
        if name in inside and OUT_S <= moment_s < BACK_S
    ]
    return max(moments, default=OUT_S) - OUT_S


def by_second(bench: Bench, tier: str) -> dict[int, float]:
    """Return a tier's goodput by the second of arrival."""
    offered: Counter[int] = Counter()
    good: Counter[int] = Counter()
    for outcome in bench.outcomes.by_id.values():
        if outcome.request.tier.name != tier:
            continue
        second = int(outcome.request.arrived_at_s) // SECONDS_PER_ROW
        offered[second] += 1
        good[second] += is_good(outcome)
    return {
        second * SECONDS_PER_ROW: good[second] / offered[second]
        for second in sorted(offered)
    }


def play_domain(
    variant: Variant, site_name: str, load: float, seed: int
) -> Bench:
    """Take a site's first failure domain out and back."""
    site = SITES[site_name]
    bench = variant.make(site, seed)
    at(bench, OUT_S, _set_domain, site.domains[0], 'out')
    at(bench, BACK_S, _set_domain, site.domains[0], 'in')
    _play(bench, site, load, seed)
    return bench


@studies.register('domain')
def study_domain(args: argparse.Namespace) -> None:
    """Take a failure domain out at 30 s and back at 60 s."""
    site = SITES[args.site]
    columns: dict[str, dict[int, float]] = {}
    rows = []
    for variant in VARIANTS:
        bench = play_domain(variant, args.site, args.load, args.seed)
        for tier in ('check', 'plan'):
            columns[f'{variant.name} {tier}'] = by_second(bench, tier)
        last_s = _last_new_work_s(bench, site, site.domains[0])
        rows.append([variant.name, round(last_s, 2)])
    print(tabulate(rows, ['variant', 'last new work after (s)'], 'github'))
    _print_columns(columns)


def _print_columns(columns: dict[str, dict[int, float]]) -> None:
    seconds = sorted(next(iter(columns.values())))
    table = [
        [
            second,
            *(round(found.get(second, 0), 3) for found in columns.values()),
        ]
        for second in seconds
    ]
    print(tabulate(table, ['second', *columns], tablefmt='github'))


def _play(bench: Bench, site: Site, load: float, seed: int) -> None:
    arrivals = [
        arrival
        for arrival in make_arrivals(site, load, END_S, VMS, seed)
        if arrival.at_s >= BEGIN_S
    ]
    run(bench, arrivals, END_S + DRAIN_S)


@studies.register('kill')
def study_kill(args: argparse.Namespace) -> None:
    """Kill one VM of eight at 30 s; its own callers are not counted."""
    site = SITES[args.site]
    rows = []
    for variant in VARIANTS:
        bench = variant.make(site, args.seed)
        at(bench, KILL_S, kill, VMS - 1)
        _play(bench, site, args.load, args.seed)
        rows.append([variant.name, *_around_kill(bench)])
    header = ['variant', 'before', '0-10 s after', 'later', 'lost in flight']
    print(tabulate(rows, header, 'github', floatfmt='.3f'))


def _around_kill(bench: Bench) -> list[Any]:
    spans = ((15.0, KILL_S), (KILL_S, KILL_S + 10), (KILL_S + 10, END_S))
    found: list[Any] = []
    for start_s, end_s in spans:
        counted = [
            is_good(outcome)
            for outcome in bench.outcomes.by_id.values()
            if start_s <= outcome.request.arrived_at_s < end_s
            and bench.owners.get(outcome.request.request_id) != VMS - 1
            and outcome.request.request_id in bench.owners
        ]
        found.append(sum(counted) / max(1, len(counted)))
    lost = len(bench.vms[VMS - 1].requests)
    return [*found, lost]


@studies.register('moves')
def study_moves(args: argparse.Namespace) -> None:
    """Play each kind of version with several seeds."""
    rows = []
    for name in CASES:
        if args.case and name != args.case:
            continue
        for seed in range(args.seeds):
            rows.append(play_case(name, seed))
    print(tabulate(rows, headers='keys', tablefmt='github'))


@studies.register('cost')
def study_cost(args: argparse.Namespace) -> None:
    """Measure messages, bytes and processor time a second and node."""
    rows = [
        measure_protocol(members, args.upstreams, time.process_time)
        for members in (8, 32, 128, 320)
    ]
    print(tabulate(rows, headers='keys', tablefmt='github'))


def main() -> None:
    """Run one study."""
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
