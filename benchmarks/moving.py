"""Simulated version moves to a good version and to several bad ones."""

from functools import partial
from random import Random
from typing import Any, Final, NamedTuple

from benchmarks.bench import Simulation, make_fleet_simulation
from benchmarks.harness import run_simulation, schedule
from benchmarks.workloads import SITES, Site, make_arrivals
from bluebellhub.scheduler.options import SchedulerOptions
from bluebellhub.standins.faults import Fault
from bluebellhub.standins.platform_model import read_object
from bluebellhub.standins.virtual_state import write_as_operator

__all__ = ['CASES', 'run_case']

VM_COUNT: Final = 8
ANNOUNCED_AT_S: Final = 12.0
DUE_AFTER_S: Final = 240.0
END_S: Final = 270.0
LOAD: Final = 0.35
NEW_ENGINES: Final = 5


class Case(NamedTuple):
    """A kind of version, given by the fault of its engines.

    ``kind`` is empty for a good version; the fault is active from
    ``after_s`` seconds after the move was announced.
    """

    kind: str = ''
    share: float = 0.0
    slowdown: float = 1.0
    route: str = ''
    load_min: int = 0
    after_s: float = 0.0


CASES: Final = {
    'good': Case(),
    'fails at once': Case('failing', share=0.05),
    'fails later': Case('failing', share=0.05, after_s=60.0),
    'fails on one route': Case('failing', share=0.02, route='quote'),
    'fails under load': Case('failing', share=0.05, load_min=4),
    'slow at once': Case('slow', slowdown=3.0),
    'slow later': Case('slow', slowdown=3.0, after_s=60.0),
}


def _make_site() -> Site:
    """Return a site of ten engines, five of them with the new version."""
    site = SITES['maclachlan']
    profiles = [
        profile._replace(version='2' if number < NEW_ENGINES else '1')
        for number, profile in enumerate(site.profiles)
    ]
    return site._replace(profiles=tuple(profiles))


def _write_move(
    simulation: Simulation, now_s: float, site: Site, due_at: float
) -> None:
    if simulation.virtual is not None:
        fields = {'from_version': '1', 'to_version': '2', 'due_at': due_at}
        write_as_operator(
            simulation.virtual, 'version_move', site.model, fields
        )


def _add_faults(
    simulation: Simulation, site: Site, case: Case, seed: int
) -> None:
    if not case.kind:
        return
    for number in range(NEW_ENGINES):
        fault = Fault(
            case.kind,
            Random(seed * NEW_ENGINES + number),
            share=case.share,
            slowdown=case.slowdown,
            route=case.route,
            load_min=case.load_min,
            start_s=ANNOUNCED_AT_S + case.after_s,
        )
        simulation.engines[site.profiles[number].name].faults.append(fault)


def run_case(name: str, seed: int) -> dict[str, Any]:
    """Simulate one case; returns a table row with the move's outcome."""
    site = _make_site()
    case = CASES[name]
    simulation = make_fleet_simulation(site, SchedulerOptions(), VM_COUNT, seed)
    clock = simulation.clock
    read_clock = partial(clock.state.__getitem__, 'now_s')
    for fleet in (
        simulation.virtual.fleets.values() if simulation.virtual else ()
    ):
        fleet.time_of_day.append(read_clock)
    _add_faults(simulation, site, case, seed)
    schedule(simulation, 0.5, _write_distant_move, site)
    schedule(
        simulation,
        ANNOUNCED_AT_S,
        _write_move,
        site,
        ANNOUNCED_AT_S + DUE_AFTER_S,
    )
    end_times_s: list[float] = []
    _poll_status(simulation, 0.0, site, end_times_s)
    arrivals = [
        arrival
        for arrival in make_arrivals(site, LOAD, END_S, VM_COUNT, seed)
        if arrival.at_s > ANNOUNCED_AT_S - 4
    ]
    run_simulation(simulation, arrivals, END_S)
    return _make_row(simulation, site, name, seed, end_times_s)


def _write_distant_move(
    simulation: Simulation, now_s: float, site: Site
) -> None:
    """Write a move due far ahead, so the new version gets no traffic yet."""
    _write_move(simulation, now_s, site, 1e9)


def _poll_status(
    simulation: Simulation, now_s: float, site: Site, end_times_s: list[float]
) -> None:
    """Record the time when the move's status is first seen to be final."""
    status = _read_status(simulation, site)
    if status.get('state') in {'done', 'taken_back'} and not end_times_s:
        end_times_s.append(now_s)
    schedule(simulation, now_s + 0.5, _poll_status, site, end_times_s)


def _read_status(simulation: Simulation, site: Site) -> dict[str, Any]:
    if simulation.virtual is None:
        return {}
    stored = read_object(simulation.virtual.platform, 'move_status', site.model)
    return stored.spec or {}


def _make_row(
    simulation: Simulation,
    site: Site,
    name: str,
    seed: int,
    end_times_s: list[float],
) -> dict[str, Any]:
    status = _read_status(simulation, site)
    new_engines = {profile.name for profile in site.profiles[:NEW_ENGINES]}
    ended_s = end_times_s[0] if end_times_s else END_S
    times_to_new_s = [
        dispatched_at_s
        for dispatched_at_s, engine in simulation.dispatches
        if engine in new_engines
    ]
    late_times_s = [
        dispatched_at_s
        for dispatched_at_s in times_to_new_s
        if dispatched_at_s > ended_s + 2.0
    ]
    total = sum(
        dispatched_at_s <= ended_s
        for dispatched_at_s, _ in simulation.dispatches
    )
    share = sum(
        dispatched_at_s <= ended_s for dispatched_at_s in times_to_new_s
    ) / max(1, total)
    is_rolled_back = status.get('state') == 'taken_back'
    return {
        'version': name,
        'seed': seed,
        'end': status.get('state'),
        'after (s)': round(ended_s - ANNOUNCED_AT_S, 1),
        'step': status.get('step'),
        'share of requests': round(share, 3),
        'new work 2 s later': len(late_times_s) if is_rolled_back else '-',
        'reason': status.get('reason', '')[:60],
    }
