"""What a benchmark plays on: schedulers, engines and their virtual clock."""

from typing import Final, NamedTuple

from benchmarks.outcome import Outcomes, make_outcomes
from benchmarks.workloads import Site, make_contracts
from bluebellhub.fleet import Fleet, leased_slots
from bluebellhub.scheduler import Scheduler, add_upstream, make_scheduler
from bluebellhub.scheduler.state import SchedulerOptions, SlotSource
from bluebellhub.standins.engine_model import Engine, cancel, make_engine
from bluebellhub.standins.virtual_clock import VirtualClock, make_clock
from bluebellhub.standins.virtual_fleet import add_vm
from bluebellhub.standins.virtual_state import (
    VirtualFleet,
    kill_vm,
    make_virtual_fleet,
)
from bluebellhub.upstream import Upstream, UpstreamSpec, make_upstream

__all__ = ['Bench', 'kill', 'make_bench', 'make_fleet_bench', 'spec_of']

STEP_TARGET_S: Final = 0.06


class Bench(NamedTuple):
    """The root: a clock with its heap, the schedulers and the engines."""

    clock: VirtualClock
    vms: list[Scheduler]
    engines: dict[str, Engine]
    stepping: set[str]
    dead_vms: set[int]
    outcomes: Outcomes
    owners: dict[str, int]
    dispatches: list[tuple[float, str]]
    virtual: VirtualFleet | None = None


def spec_of(site: Site, number: int) -> UpstreamSpec:
    """Return the settings an operator would write for an engine.

    The window keeps the time between tokens below its limit.
    """
    profile = site.profiles[number]
    chunk_s = profile.chunk_tokens / profile.prefill_tokens_per_s
    spare_s = STEP_TARGET_S - profile.step_base_s - chunk_s
    slots = int(spare_s / profile.step_per_request_s)
    return UpstreamSpec(
        name=profile.name,
        address='127.0.0.1:1',
        targets=(site.model,),
        failure_domain=site.domains[number % len(site.domains)],
        version=profile.version,
        hardware=f'{profile.prefill_tokens_per_s:.0f}',
        window=min(profile.batch_max, max(8, slots)),
        cold_window=profile.cold_requests_max,
        prefill_tokens_per_s=profile.prefill_tokens_per_s,
        step_s=profile.step_base_s + profile.step_per_request_s * 16,
    )


def make_bench(
    site: Site, options: SchedulerOptions, slots: list[SlotSource], seed: int
) -> Bench:
    """Create one scheduler for each slot source, in front of the engines."""
    vms = []
    for number, source in enumerate(slots):
        scheduler = make_scheduler(options, source, seed + number)
        scheduler.contracts.update(make_contracts(site))
        for place in range(len(site.profiles)):
            spec = spec_of(site, place)
            add_upstream(scheduler, make_upstream(spec, warm=True))
        vms.append(scheduler)
    engines = {
        profile.name: make_engine(profile, 0.0, warm=True)
        for profile in site.profiles
    }
    return Bench(
        make_clock(), vms, engines, set(), set(), make_outcomes(), {}, []
    )


def make_fleet_bench(
    site: Site, options: SchedulerOptions, vms: int, seed: int
) -> Bench:
    """Create VMs that lease their windows from each other."""
    cells: list[list[Fleet]] = [[] for _ in range(vms)]
    sources = [_leased_source(cell) for cell in cells]
    bench = make_bench(site, options, sources, seed)
    virtual = make_virtual_fleet(bench.clock, seed)
    for number, scheduler in enumerate(bench.vms):
        domain = site.domains[number % len(site.domains)]
        name = f'hub-{number}'
        cells[number].append(add_vm(virtual, name, domain, scheduler))
    return bench._replace(virtual=virtual)


def _leased_source(cell: list[Fleet]) -> SlotSource:
    def slots(upstream: Upstream, now_s: float) -> int:
        return leased_slots(cell[0])(upstream, now_s)

    return slots


def kill(bench: Bench, now_s: float, vm: int) -> None:
    """Kill a VM with its requests; engines notice closed connections."""
    bench.dead_vms.add(vm)
    if bench.virtual is not None:
        kill_vm(bench.virtual, f'hub-{vm}')
    for state in bench.vms[vm].requests.values():
        if state.attempt is not None:
            job_id = f'{state.request.request_id}/{state.attempts}'
            cancel(bench.engines[state.attempt.upstream], job_id)
