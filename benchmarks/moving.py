"""Version moves on small fakes: good versions, and bad ones of each kind."""

from functools import partial
from random import Random
from typing import Any, Final, NamedTuple

from benchmarks.bench import Bench, make_fleet_bench
from benchmarks.harness import at, run
from benchmarks.workloads import SITES, Site, make_arrivals
from bluebellhub.scheduler.state import SchedulerOptions
from bluebellhub.standins.faults import Fault
from bluebellhub.standins.platform_model import read_object
from bluebellhub.standins.virtual_state import write_as_operator

__all__ = ['CASES', 'play_case']

VMS: Final = 8
ANNOUNCE_S: Final = 12.0
WITHIN_S: Final = 240.0
END_S: Final = 270.0
LOAD: Final = 0.35
NEW_ENGINES: Final = 5


class Case(NamedTuple):
    """A kind of version; the fields are those of the engines' fault."""

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


def _site() -> Site:
    """Ten engines, of which five run the new version."""
    site = SITES['maclachlan']
    profiles = [
        profile._replace(version='2' if number < NEW_ENGINES else '1')
        for number, profile in enumerate(site.profiles)
    ]
    return site._replace(profiles=tuple(profiles))


def _announce(bench: Bench, now_s: float, site: Site, due_at: float) -> None:
    if bench.virtual is not None:
        fields = {'from_version': '1', 'to_version': '2', 'due_at': due_at}
        write_as_operator(bench.virtual, 'version_move', site.model, fields)


def _break(bench: Bench, site: Site, case: Case, seed: int) -> None:
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
            start_s=ANNOUNCE_S + case.after_s,
        )
        bench.engines[site.profiles[number].name].faults.append(fault)


def play_case(name: str, seed: int) -> dict[str, Any]:
    """Play one case and return how the move ended."""
    site = _site()
    case = CASES[name]
    bench = make_fleet_bench(site, SchedulerOptions(), VMS, seed)
    clock = bench.clock
    read_clock = partial(clock.state.__getitem__, 'now_s')
    for fleet in bench.virtual.fleets.values() if bench.virtual else ():
        fleet.time_of_day.append(read_clock)
    _break(bench, site, case, seed)
    at(bench, 0.5, _announce_unmoved, site)
    at(bench, ANNOUNCE_S, _announce, site, ANNOUNCE_S + WITHIN_S)
    ends: list[float] = []
    _poll(bench, 0.0, site, ends)
    arrivals = [
        arrival
        for arrival in make_arrivals(site, LOAD, END_S, VMS, seed)
        if arrival.at_s > ANNOUNCE_S - 4
    ]
    run(bench, arrivals, END_S)
    return _result(bench, site, name, seed, ends)


def _announce_unmoved(bench: Bench, now_s: float, site: Site) -> None:
    """Keep the new version closed until the move is announced."""
    _announce(bench, now_s, site, 1e9)


def _poll(bench: Bench, now_s: float, site: Site, ends: list[float]) -> None:
    """Note when the move's status is final."""
    status = _status(bench, site)
    if status.get('state') in {'done', 'taken_back'} and not ends:
        ends.append(now_s)
    at(bench, now_s + 0.5, _poll, site, ends)


def _status(bench: Bench, site: Site) -> dict[str, Any]:
    if bench.virtual is None:
        return {}
    stored = read_object(bench.virtual.platform, 'move_status', site.model)
    return stored.spec or {}


def _result(
    bench: Bench, site: Site, name: str, seed: int, ends: list[float]
) -> dict[str, Any]:
    status = _status(bench, site)
    new = {profile.name for profile in site.profiles[:NEW_ENGINES]}
    ended_s = ends[0] if ends else END_S
    to_new = [
        moment_s for moment_s, engine in bench.dispatches if engine in new
    ]
    late = [moment_s for moment_s in to_new if moment_s > ended_s + 2.0]
    total = sum(moment_s <= ended_s for moment_s, _ in bench.dispatches)
    share = sum(moment_s <= ended_s for moment_s in to_new) / max(1, total)
    taken_back = status.get('state') == 'taken_back'
    return {
        'version': name,
        'seed': seed,
        'end': status.get('state'),
        'after (s)': round(ended_s - ANNOUNCE_S, 1),
        'step': status.get('step'),
        'share of requests': round(share, 3),
        'new work 2 s later': len(late) if taken_back else '-',
        'reason': status.get('reason', '')[:60],
    }
