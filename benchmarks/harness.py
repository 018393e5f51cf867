"""Schedulers in front of model engines, in virtual time.

The harness carries out a scheduler's events against engine models with a
fixed network delay.  It is a fake at the interface, not a model of a
cluster: schedulers share nothing but the engines and what a test adds.
"""

from collections.abc import Callable
from typing import Any, Final

from benchmarks.bench import Bench
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
    'at',
    'crash_engine',
    'run',
]

DELAY_S: Final = 0.0015
TICK_S: Final = 0.05
REPORT_INTERVAL_S: Final = 1.0
REPORT_LAG_S: Final = 1.0
NO_LIMITS: Final = AccountLimits(1e9, 10**9)


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
    bench.outcomes.by_id[arrival.request.request_id] = Outcome(arrival.request)
    if arrival.vm in bench.dead_vms:
        return
    bench.owners[arrival.request.request_id] = arrival.vm
    scheduler = bench.vms[arrival.vm]
    events = submit(scheduler, arrival.request, NO_LIMITS, now_s)
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
        apply_load_report(scheduler, name, report, now_s)


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
    request = bench.outcomes.by_id[event.request_id].request
    job = Job(
        f'{event.request_id}/{event.attempt}',
        request.route,
        request.prompt_tokens,
        request.output_tokens,
        request.prefix_blocks,
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
        state = bench.vms[vm].requests.get(request_id)
        current = state is not None and state.attempts == int(attempt)
        if not current or state.attempt is None or vm in bench.dead_vms:
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
        events = response_ended(
            scheduler, request_id, now_s, emission.cached_tokens
        )
        carry_out(bench, now_s, vm, events)


def _fail(bench: Bench, now_s: float, job_id: str, kind: str) -> None:
    request_id, _, attempt = job_id.partition('/')
    vm = bench.owners[request_id]
    state = bench.vms[vm].requests.get(request_id)
    if state is None or state.attempts != int(attempt) or vm in bench.dead_vms:
        return
    failure = AttemptFailure(kind)
    events = attempt_failed(bench.vms[vm], request_id, failure, now_s)
    carry_out(bench, now_s, vm, events)
