"""Schedulers in front of model engines, in virtual time.

The harness carries out a scheduler's events against engine models with a
fixed network delay.  It is a fake at the interface, not a model of a
cluster: schedulers share nothing but the engines and what a test adds.
"""

from collections.abc import Callable
from typing import Any, Final, NamedTuple

from benchmarks.outcome import Outcome, Outcomes, make_outcomes
from benchmarks.workloads import Arrival, Site, make_contracts
from bluebellhub.contract import AccountLimits
from bluebellhub.fleet import Fleet, leased_slots
from bluebellhub.request import AttemptFailure
from bluebellhub.scheduler import (
    Cancel,
    Dispatch,
    Event,
    Refuse,
    Scheduler,
    add_upstream,
    answer_ended,
    attempt_failed,
    hear_load,
    make_scheduler,
    request_sent,
    submit,
    tick,
    tokens_arrived,
)
from bluebellhub.scheduler.state import Plan, SlotSource
from bluebellhub.standins.engine_model import (
    Engine,
    EngineDownError,
    accept,
    cancel,
    crash,
    is_idle,
    make_engine,
    report_load,
    run_step,
)
from bluebellhub.standins.engine_records import Emission, Job
from bluebellhub.standins.virtual_clock import (
    VirtualClock,
    call_at,
    make_clock,
    run_until,
)
from bluebellhub.standins.virtual_fleet import add_vm
from bluebellhub.standins.virtual_state import (
    VirtualFleet,
    kill_vm,
    make_virtual_fleet,
)
from bluebellhub.upstream import Upstream, UpstreamSpec, make_upstream

__all__ = [
    'Bench',
    'at',
    'crash_engine',
    'kill',
    'make_bench',
    'make_fleet_bench',
    'run',
    'spec_of',
]

DELAY_S: Final = 0.0015
TICK_S: Final = 0.05
REPORT_INTERVAL_S: Final = 1.0
REPORT_LAG_S: Final = 1.0
NO_LIMITS: Final = AccountLimits(1e9, 10**9)
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
        cold_window=profile.cold_bearable,
        prefill_tokens_per_s=profile.prefill_tokens_per_s,
        step_s=profile.step_base_s + profile.step_per_request_s * 16,
    )


def make_bench(
    site: Site, plan: Plan, slots: list[SlotSource], seed: int
) -> Bench:
    """Create one scheduler for each slot source, in front of the engines."""
    vms = []
    for number, source in enumerate(slots):
        scheduler = make_scheduler(plan, source, seed + number)
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


def make_fleet_bench(site: Site, plan: Plan, vms: int, seed: int) -> Bench:
    """Create VMs that lease their windows from each other."""
    cells: list[list[Fleet]] = [[] for _ in range(vms)]
    sources = [_leased_source(cell) for cell in cells]
    bench = make_bench(site, plan, sources, seed)
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
    for life in bench.vms[vm].lives.values():
        if life.attempt is not None:
            job_id = f'{life.ask.request_id}/{life.attempts}'
            cancel(bench.engines[life.attempt.upstream], job_id)


def at(
    bench: Bench, when_s: float, call: Callable[..., None], *args: Any
) -> None:
    """Call ``call(bench, now_s, *args)`` at ``when_s``."""
    call_at(bench.clock, when_s, _call, bench, call, args)


def _call(
    now_s: float,
    bench: Bench,
    call: Callable[..., None],
    args: tuple[Any, ...],
) -> None:
    call(bench, now_s, *args)


def run(bench: Bench, arrivals: list[Arrival], until_s: float) -> Outcomes:
    """Play the arrivals and everything that follows until ``until_s``."""
    for arrival in arrivals:
        at(bench, arrival.at_s, _arrive, arrival)
    for number in range(len(bench.vms)):
        at(bench, number * TICK_S / len(bench.vms), _tick, number)
    for name in bench.engines:
        at(bench, REPORT_INTERVAL_S, _report, name)
    run_until(bench.clock, until_s)
    return bench.outcomes


def _arrive(bench: Bench, now_s: float, arrival: Arrival) -> None:
    bench.outcomes.by_id[arrival.ask.request_id] = Outcome(arrival.ask)
    if arrival.vm in bench.dead_vms:
        return
    bench.owners[arrival.ask.request_id] = arrival.vm
    scheduler = bench.vms[arrival.vm]
    events = submit(scheduler, arrival.ask, NO_LIMITS, now_s)
    carry_out(bench, now_s, arrival.vm, events)


def _tick(bench: Bench, now_s: float, vm: int) -> None:
    if vm in bench.dead_vms:
        return
    carry_out(bench, now_s, vm, tick(bench.vms[vm], now_s))
    at(bench, now_s + TICK_S, _tick, vm)


def _report(bench: Bench, now_s: float, name: str) -> None:
    report = report_load(bench.engines[name], now_s)
    at(bench, now_s + REPORT_LAG_S, _hear_report, name, report)
    at(bench, now_s + REPORT_INTERVAL_S, _report, name)


def _hear_report(bench: Bench, now_s: float, name: str, report: Any) -> None:
    for scheduler in bench.vms:
        hear_load(scheduler, name, report, now_s)


def carry_out(bench: Bench, now_s: float, vm: int, events: list[Event]) -> None:
    """Carry out a scheduler's events."""
    for event in events:
        if isinstance(event, Dispatch):
            at(bench, now_s + DELAY_S, _deliver, vm, event)
            request_sent(bench.vms[vm], event.request_id)
            bench.dispatches.append((now_s, event.upstream))
        elif isinstance(event, Cancel):
            job_id = f'{event.request_id}/{event.attempt}'
            at(bench, now_s + DELAY_S, _cancel, event.upstream, job_id)
        elif isinstance(event, Refuse):
            outcomes = bench.outcomes
            outcomes.refusals[event.error.reason] += 1
            old = outcomes.by_id[event.request_id]
            outcomes.by_id[event.request_id] = old._replace(
                refused=event.error.reason, ended_at_s=now_s
            )


def _deliver(bench: Bench, now_s: float, vm: int, event: Dispatch) -> None:
    ask = bench.outcomes.by_id[event.request_id].ask
    job = Job(
        f'{event.request_id}/{event.attempt}',
        ask.route,
        ask.prompt_tokens,
        ask.output_tokens,
        ask.prefix_blocks,
        event.offset,
    )
    engine = bench.engines[event.upstream]
    try:
        lost = accept(engine, job, now_s)
    except EngineDownError:
        at(bench, now_s + DELAY_S, _fail, job.job_id, 'connect_failed')
        return
    _lose(bench, now_s, lost)
    _wake(bench, now_s, event.upstream)


def _lose(bench: Bench, now_s: float, lost: list[str]) -> None:
    if lost:
        bench.outcomes.crash_times_s.append(now_s)
    for job_id in lost:
        at(bench, now_s + DELAY_S, _fail, job_id, 'cut')


def crash_engine(bench: Bench, now_s: float, name: str) -> None:
    """Make an engine lose all its jobs and start cold."""
    _lose(bench, now_s, crash(bench.engines[name], now_s))


def _cancel(bench: Bench, now_s: float, name: str, job_id: str) -> None:
    cancel(bench.engines[name], job_id)


def _wake(bench: Bench, now_s: float, name: str) -> None:
    if name in bench.stepping:
        return
    bench.stepping.add(name)
    _step(bench, now_s, name)


def _step(bench: Bench, now_s: float, name: str) -> None:
    engine = bench.engines[name]
    if is_idle(engine):
        bench.stepping.discard(name)
        return
    boot = engine.state['boot']
    result = run_step(engine, now_s)
    due_s = now_s + result.elapsed_s
    at(bench, due_s, _emit, name, boot, result.emissions)


def _emit(
    bench: Bench,
    now_s: float,
    name: str,
    boot: int,
    emissions: list[Emission],
) -> None:
    if bench.engines[name].state['boot'] == boot:
        at(bench, now_s + DELAY_S, _hear_tokens, emissions)
    _step(bench, now_s, name)


def _hear_tokens(bench: Bench, now_s: float, emissions: list[Emission]) -> None:
    for emission in emissions:
        request_id, _, attempt = emission.job_id.partition('/')
        vm = bench.owners[request_id]
        life = bench.vms[vm].lives.get(request_id)
        current = life is not None and life.attempts == int(attempt)
        if not current or life.attempt is None or vm in bench.dead_vms:
            continue
        if emission.failed:
            _fail(bench, now_s, emission.job_id, 'upstream_error')
            continue
        _hear_token(bench, now_s, vm, request_id, emission)


def _hear_token(
    bench: Bench, now_s: float, vm: int, request_id: str, emission: Emission
) -> None:
    scheduler = bench.vms[vm]
    outcomes = bench.outcomes.by_id
    old = outcomes[request_id]
    first_s = now_s if old.first_token_at_s is None else old.first_token_at_s
    outcomes[request_id] = old._replace(
        first_token_at_s=first_s, last_token_at_s=now_s, tokens=old.tokens + 1
    )
    events = tokens_arrived(scheduler, request_id, emission.offset, 1, now_s)
    carry_out(bench, now_s, vm, events)
    if emission.finished:
        outcomes[request_id] = outcomes[request_id]._replace(
            ended_at_s=now_s, whole=True
        )
        events = answer_ended(
            scheduler, request_id, now_s, emission.cached_tokens
        )
        carry_out(bench, now_s, vm, events)


def _fail(bench: Bench, now_s: float, job_id: str, kind: str) -> None:
    request_id, _, attempt = job_id.partition('/')
    vm = bench.owners[request_id]
    life = bench.vms[vm].lives.get(request_id)
    if life is None or life.attempts != int(attempt) or vm in bench.dead_vms:
        return
    failure = AttemptFailure(kind)
    events = attempt_failed(bench.vms[vm], request_id, failure, now_s)
    carry_out(bench, now_s, vm, events)
