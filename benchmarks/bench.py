"""Simulated deployments: schedulers, model engines and a virtual clock."""

from typing import Final, NamedTuple

from benchmarks.outcome import Outcomes, make_outcomes
from benchmarks.workloads import Site, make_contracts
from bluebellhub.fleet import Fleet, leased_slots
from bluebellhub.scheduler import Scheduler, add_upstream, make_scheduler
from bluebellhub.scheduler.options import SchedulerOptions
from bluebellhub.scheduler.state import SlotSource
from bluebellhub.standins.engine_model import Engine, cancel, make_engine
from bluebellhub.standins.virtual_clock import VirtualClock, make_clock
from bluebellhub.standins.virtual_fleet import add_vm
from bluebellhub.standins.virtual_state import (
    VirtualFleet,
    kill_vm,
    make_virtual_fleet,
)
from bluebellhub.upstream import Upstream, UpstreamSpec, make_upstream

__all__ = [
    'Simulation',
    'crash_vm',
    'make_fleet_simulation',
    'make_simulation',
    'make_upstream_spec',
]

STEP_TARGET_S: Final = 0.06


class Simulation(NamedTuple):
    """Aggregate root: a clock, schedulers by VM number, and engines.

    ``stepping_engines`` are those with a step under way.  ``vm_by_request``
    maps each request id to the VM that received it.  ``dispatches`` holds
    the time and upstream of each dispatch.  ``virtual`` is None if the VMs
    don't form a fleet.
    """

    clock: VirtualClock
    schedulers: list[Scheduler]
    engines: dict[str, Engine]
    stepping_engines: set[str]
    killed_vms: set[int]
    outcomes: Outcomes
    vm_by_request: dict[str, int]
    dispatches: list[tuple[float, str]]
    virtual: VirtualFleet | None = None


def make_upstream_spec(site: Site, number: int) -> UpstreamSpec:
    """Return the specification that an operator would write for an engine.

    The window keeps the step time within ``STEP_TARGET_S``, and so the time
    between tokens below its limit.
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


def make_simulation(
    site: Site, options: SchedulerOptions, slots: list[SlotSource], seed: int
) -> Simulation:
    """Create one scheduler for each slot source, with warm engines."""
    schedulers = []
    for number, source in enumerate(slots):
        scheduler = make_scheduler(options, source, seed + number)
        scheduler.contracts.update(make_contracts(site))
        for index in range(len(site.profiles)):
            spec = make_upstream_spec(site, index)
            add_upstream(scheduler, make_upstream(spec, warm=True))
        schedulers.append(scheduler)
    engines = {
        profile.name: make_engine(profile, 0.0, warm=True)
        for profile in site.profiles
    }
    return Simulation(
        make_clock(), schedulers, engines, set(), set(), make_outcomes(), {}, []
    )


def make_fleet_simulation(
    site: Site, options: SchedulerOptions, vm_count: int, seed: int
) -> Simulation:
    """Create ``vm_count`` VMs that share upstream windows by leases."""
    fleet_cells: list[list[Fleet]] = [[] for _ in range(vm_count)]
    sources = [_leased_source(cell) for cell in fleet_cells]
    simulation = make_simulation(site, options, sources, seed)
    virtual = make_virtual_fleet(simulation.clock, seed)
    for number, scheduler in enumerate(simulation.schedulers):
        domain = site.domains[number % len(site.domains)]
        name = f'hub-{number}'
        fleet_cells[number].append(add_vm(virtual, name, domain, scheduler))
    return simulation._replace(virtual=virtual)


def _leased_source(cell: list[Fleet]) -> SlotSource:
    """Return a slot source of the VM that is added to ``cell`` later."""

    def slots(upstream: Upstream, now_s: float) -> int:
        return leased_slots(cell[0])(upstream, now_s)

    return slots


def crash_vm(simulation: Simulation, now_s: float, vm: int) -> None:
    """Kill a VM and cancel its jobs, as engines do on closed connections."""
    simulation.killed_vms.add(vm)
    if simulation.virtual is not None:
        kill_vm(simulation.virtual, f'hub-{vm}')
    for state in simulation.schedulers[vm].requests.values():
        if state.attempt is not None:
            job_id = f'{state.request.request_id}/{state.attempts}'
            cancel(simulation.engines[state.attempt.upstream], job_id)
