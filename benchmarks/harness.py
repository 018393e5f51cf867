"""Harness that runs schedulers against model engines, in virtual time.

It executes a scheduler's events on engine models with a fixed network
delay.  It is a fake at the interface, not a model of a cluster: schedulers
share nothing but the engines and what a test adds.
"""

from collections.abc import Callable
from typing import Any, Final

from benchmarks.bench import Simulation
from benchmarks.outcome import Outcome, Outcomes
from benchmarks.workloads import Arrival
from bluebellhub.contract import AccountLimits
from bluebellhub.request import AttemptFailure
from bluebellhub.scheduler import (
    Cancel,
    Dispatch,
    Event,
    Refuse,
    apply_load_report,
    attempt_failed,
    request_sent,
    response_ended,
    submit,
    tick,
    tokens_arrived,
)
from bluebellhub.standins.engine_model import (
    EngineDownError,
    accept,
    cancel,
    crash,
    is_idle,
    report_load,
    run_step,
)
from bluebellhub.standins.engine_records import Emission, Job
from bluebellhub.standins.virtual_clock import (
    call_at,
    run_until,
)

__all__ = [
    'crash_engine',
    'run_simulation',
    'schedule',
]

DELAY_S: Final = 0.0015
TICK_S: Final = 0.05
REPORT_INTERVAL_S: Final = 1.0
REPORT_LAG_S: Final = 1.0
NO_LIMITS: Final = AccountLimits(1e9, 10**9)


def schedule(
    simulation: Simulation, when_s: float, call: Callable[..., None], *args: Any
) -> None:
    """Schedule ``call(simulation, now_s, *args)`` for ``when_s``."""
    call_at(simulation.clock, when_s, _run_call, simulation, call, args)


def _run_call(
    now_s: float,
    simulation: Simulation,
    call: Callable[..., None],
    args: tuple[Any, ...],
) -> None:
    call(simulation, now_s, *args)


def run_simulation(
    simulation: Simulation, arrivals: list[Arrival], until_s: float
) -> Outcomes:
    """Simulate the arrivals and their consequences until ``until_s``.

    Ticks of the VMs are spread evenly over the tick interval.
    """
    for arrival in arrivals:
        schedule(simulation, arrival.at_s, _submit_arrival, arrival)
    for number in range(len(simulation.schedulers)):
        schedule(
            simulation,
            number * TICK_S / len(simulation.schedulers),
            _run_tick,
            number,
        )
    for name in simulation.engines:
        schedule(simulation, REPORT_INTERVAL_S, _send_load_report, name)
    run_until(simulation.clock, until_s)
    return simulation.outcomes


def _submit_arrival(
    simulation: Simulation, now_s: float, arrival: Arrival
) -> None:
    simulation.outcomes.by_id[arrival.request.request_id] = Outcome(
        arrival.request
    )
    if arrival.vm in simulation.killed_vms:
        return
    simulation.vm_by_request[arrival.request.request_id] = arrival.vm
    scheduler = simulation.schedulers[arrival.vm]
    events = submit(scheduler, arrival.request, NO_LIMITS, now_s)
    execute_events(simulation, now_s, arrival.vm, events)


def _run_tick(simulation: Simulation, now_s: float, vm: int) -> None:
    if vm in simulation.killed_vms:
        return
    execute_events(
        simulation, now_s, vm, tick(simulation.schedulers[vm], now_s)
    )
    schedule(simulation, now_s + TICK_S, _run_tick, vm)


def _send_load_report(simulation: Simulation, now_s: float, name: str) -> None:
    report = report_load(simulation.engines[name], now_s)
    schedule(simulation, now_s + REPORT_LAG_S, _apply_load_report, name, report)
    schedule(simulation, now_s + REPORT_INTERVAL_S, _send_load_report, name)


def _apply_load_report(
    simulation: Simulation, now_s: float, name: str, report: Any
) -> None:
    for scheduler in simulation.schedulers:
        apply_load_report(scheduler, name, report, now_s)


def execute_events(
    simulation: Simulation, now_s: float, vm: int, events: list[Event]
) -> None:
    """Execute the events of the scheduler of ``vm``."""
    for event in events:
        if isinstance(event, Dispatch):
            schedule(simulation, now_s + DELAY_S, _start_job, vm, event)
            request_sent(simulation.schedulers[vm], event.request_id)
            simulation.dispatches.append((now_s, event.upstream))
        elif isinstance(event, Cancel):
            job_id = f'{event.request_id}/{event.attempt}'
            schedule(
                simulation, now_s + DELAY_S, _cancel_job, event.upstream, job_id
            )
        elif isinstance(event, Refuse):
            outcomes = simulation.outcomes
            outcomes.refusals[event.error.reason] += 1
            previous = outcomes.by_id[event.request_id]
            outcomes.by_id[event.request_id] = previous._replace(
                refusal_reason=event.error.reason, ended_at_s=now_s
            )


def _start_job(
    simulation: Simulation, now_s: float, vm: int, event: Dispatch
) -> None:
    """Start the job of a dispatch; fail the attempt if the engine is down."""
    request = simulation.outcomes.by_id[event.request_id].request
    job = Job(
        f'{event.request_id}/{event.attempt}',
        request.route,
        request.prompt_tokens,
        request.output_tokens,
        request.prefix_blocks,
        event.offset,
    )
    engine = simulation.engines[event.upstream]
    try:
        lost_ids = accept(engine, job, now_s)
    except EngineDownError:
        schedule(
            simulation,
            now_s + DELAY_S,
            _fail_attempt,
            job.job_id,
            'connect_failed',
        )
        return
    _fail_lost_jobs(simulation, now_s, lost_ids)
    _start_stepping(simulation, now_s, event.upstream)


def _fail_lost_jobs(
    simulation: Simulation, now_s: float, lost_ids: list[str]
) -> None:
    """Fail the attempts of the jobs that a crash has lost, and record it."""
    if lost_ids:
        simulation.outcomes.crash_times_s.append(now_s)
    for job_id in lost_ids:
        schedule(simulation, now_s + DELAY_S, _fail_attempt, job_id, 'cut')


def crash_engine(simulation: Simulation, now_s: float, name: str) -> None:
    """Crash an engine; it loses all its jobs and restarts cold."""
    _fail_lost_jobs(simulation, now_s, crash(simulation.engines[name], now_s))


def _cancel_job(
    simulation: Simulation, now_s: float, name: str, job_id: str
) -> None:
    cancel(simulation.engines[name], job_id)


def _start_stepping(simulation: Simulation, now_s: float, name: str) -> None:
    """Start the steps of an engine unless they are under way."""
    if name in simulation.stepping_engines:
        return
    simulation.stepping_engines.add(name)
    _begin_step(simulation, now_s, name)


def _begin_step(simulation: Simulation, now_s: float, name: str) -> None:
    """Run a step and schedule its end; stop stepping if there are no jobs."""
    engine = simulation.engines[name]
    if is_idle(engine):
        simulation.stepping_engines.discard(name)
        return
    boot = engine.state['boot']
    result = run_step(engine, now_s)
    ends_at_s = now_s + result.elapsed_s
    schedule(simulation, ends_at_s, _finish_step, name, boot, result.emissions)


def _finish_step(
    simulation: Simulation,
    now_s: float,
    name: str,
    boot: int,
    emissions: list[Emission],
) -> None:
    if simulation.engines[name].state['boot'] == boot:
        schedule(simulation, now_s + DELAY_S, _receive_tokens, emissions)
    _begin_step(simulation, now_s, name)


def _receive_tokens(
    simulation: Simulation, now_s: float, emissions: list[Emission]
) -> None:
    """Pass tokens to their schedulers, except those of earlier attempts."""
    for emission in emissions:
        request_id, _, attempt = emission.job_id.partition('/')
        vm = simulation.vm_by_request[request_id]
        state = simulation.schedulers[vm].requests.get(request_id)
        is_current = state is not None and state.attempts == int(attempt)
        if (
            not is_current
            or state.attempt is None
            or vm in simulation.killed_vms
        ):
            continue
        if emission.failed:
            _fail_attempt(simulation, now_s, emission.job_id, 'upstream_error')
            continue
        _receive_token(simulation, now_s, vm, request_id, emission)


def _receive_token(
    simulation: Simulation,
    now_s: float,
    vm: int,
    request_id: str,
    emission: Emission,
) -> None:
    scheduler = simulation.schedulers[vm]
    outcomes = simulation.outcomes.by_id
    previous = outcomes[request_id]
    first_token_at_s = (
        now_s
        if previous.first_token_at_s is None
        else previous.first_token_at_s
    )
    outcomes[request_id] = previous._replace(
        first_token_at_s=first_token_at_s,
        last_token_at_s=now_s,
        tokens=previous.tokens + 1,
    )
    events = tokens_arrived(scheduler, request_id, emission.offset, 1, now_s)
    execute_events(simulation, now_s, vm, events)
    if emission.finished:
        outcomes[request_id] = outcomes[request_id]._replace(
            ended_at_s=now_s, is_complete=True
        )
        events = response_ended(
            scheduler, request_id, now_s, emission.cached_tokens
        )
        execute_events(simulation, now_s, vm, events)


def _fail_attempt(
    simulation: Simulation, now_s: float, job_id: str, kind: str
) -> None:
    request_id, _, attempt = job_id.partition('/')
    vm = simulation.vm_by_request[request_id]
    state = simulation.schedulers[vm].requests.get(request_id)
    if (
        state is None
        or state.attempts != int(attempt)
        or vm in simulation.killed_vms
    ):
        return
    failure = AttemptFailure(kind)
    events = attempt_failed(
        simulation.schedulers[vm], request_id, failure, now_s
    )
    execute_events(simulation, now_s, vm, events)
