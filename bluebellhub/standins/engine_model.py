"""A model of an engine that batches continuously, in virtual time.

Each step prefills a chunk of waiting prompts, first come first served, and
decodes one token for every running request.  The caller asks for one step
after another and decides how long a second is.
"""

from collections import OrderedDict, deque
from typing import Final, NamedTuple, TypedDict

from bluebellhub.errors import HubError
from bluebellhub.routing.cache_events import CacheEvent
from bluebellhub.routing.prefix import BLOCK_TOKENS
from bluebellhub.standins.engine_records import (
    Emission,
    EngineProfile,
    Job,
    Progress,
    StepResult,
)
from bluebellhub.standins.faults import Fault, fault_kinds
from bluebellhub.upstream import LoadReport

__all__ = [
    'Engine',
    'EngineDownError',
    'accept',
    'cancel',
    'crash',
    'is_idle',
    'make_engine',
    'report_load',
    'run_step',
]

COLD_SPEED: Final = 0.3
EVENTS_KEPT: Final = 64


class EngineDownError(HubError):
    """The engine does not run and takes no connection."""


class EngineState(TypedDict):
    """The engine's scalar state; ``down_until_s`` is 0 while it runs."""

    boot: int
    started_at_s: float
    down_until_s: float
    prefill_tokens_done: int


class Engine(NamedTuple):
    """The root: the jobs by phase, the prefix cache and active faults.

    ``prefill_by_job`` holds the prefill tokens computed for each job that ended or
    runs, until the caller takes them out.  ``events`` keeps the newest cache
    events only, so that a reader who comes late finds a gap.
    """

    profile: EngineProfile
    state: EngineState
    waiting: deque[Progress]
    running: dict[str, Progress]
    cache: OrderedDict[int, None]
    faults: list[Fault]
    prefill_by_job: dict[str, int]
    events: deque[CacheEvent]


def make_engine(
    profile: EngineProfile, now_s: float, *, warm: bool = False
) -> Engine:
    """Create an engine that starts now, or one that is warm already."""
    started_s = now_s - profile.cold_s if warm else now_s
    state: EngineState = {
        'boot': 1,
        'started_at_s': started_s,
        'down_until_s': 0.0,
        'prefill_tokens_done': 0,
    }
    return Engine(
        profile,
        state,
        deque(),
        {},
        OrderedDict(),
        [],
        {},
        deque(maxlen=EVENTS_KEPT),
    )


def warmth(engine: Engine, now_s: float) -> float:
    """Return 0 just after a start, 1 when warm."""
    age_s = now_s - engine.state['started_at_s']
    return min(1.0, max(0.0, age_s / engine.profile.cold_s))


def is_down(engine: Engine, now_s: float) -> bool:
    """Tell whether the engine takes no connections."""
    return now_s < engine.state['down_until_s']


def is_idle(engine: Engine) -> bool:
    """Tell whether there is nothing to do."""
    return not engine.waiting and not engine.running


def accept(engine: Engine, job: Job, now_s: float) -> list[str]:
    """Take a job; returns the jobs lost if the engine falls over.

    Raises `EngineDownError` while the engine is down.
    """
    if is_down(engine, now_s):
        raise EngineDownError(engine.profile.name)
    cached = _cached_tokens(engine, job)
    progress: Progress = {
        'job': job,
        'prefill_left': max(1, job.prompt_tokens + job.offset - cached),
        'prefilled': 0,
        'cached_tokens': cached,
        'produced': job.offset,
    }
    engine.waiting.append(progress)
    if _is_overloaded(engine, now_s):
        return crash(engine, now_s)
    return []


def _cached_tokens(engine: Engine, job: Job) -> int:
    cached = 0
    for block in job.prefix_blocks:
        if block not in engine.cache:
            break
        engine.cache.move_to_end(block)
        cached += BLOCK_TOKENS
    return min(cached, job.prompt_tokens)


def _is_overloaded(engine: Engine, now_s: float) -> bool:
    """A cold engine bears few requests, more as it warms up."""
    share = warmth(engine, now_s)
    if share >= 1.0:
        return False
    profile = engine.profile
    growth = (profile.batch_max - profile.cold_requests_max) * share
    load = len(engine.waiting) + len(engine.running)
    return load > profile.cold_requests_max + growth


def crash(engine: Engine, now_s: float) -> list[str]:
    """Lose all jobs and the cache; the engine comes back cold."""
    lost = [progress['job'].job_id for progress in engine.waiting]
    lost.extend(engine.running)
    for progress in (*engine.waiting, *engine.running.values()):
        engine.prefill_by_job[progress['job'].job_id] = progress['prefilled']
    engine.waiting.clear()
    engine.running.clear()
    engine.cache.clear()
    up_again_s = now_s + engine.profile.boot_s
    engine.state['boot'] += 1
    engine.state['down_until_s'] = up_again_s
    engine.state['started_at_s'] = up_again_s
    return lost


def cancel(engine: Engine, job_id: str) -> None:
    """Drop a job; what was prefilled for it stays counted."""
    progress = engine.running.pop(job_id, None)
    if progress is not None:
        engine.prefill_by_job[job_id] = progress['prefilled']
        return
    for waiting in engine.waiting:
        if waiting['job'].job_id == job_id:
            engine.prefill_by_job[job_id] = waiting['prefilled']
            engine.waiting.remove(waiting)
            return


def run_step(engine: Engine, now_s: float) -> StepResult:
    """Compute one step; its emissions are due ``elapsed_s`` later."""
    profile = engine.profile
    slowdown = _slowdown(engine, now_s)
    decoding = list(engine.running.values())
    chunk, prefilled = _prefill_chunk(engine)
    compute_s = (
        profile.step_base_s
        + profile.step_per_request_s * len(decoding)
        + chunk / profile.prefill_tokens_per_s
    )
    emissions = [
        _decode(engine, progress, now_s) for progress in decoding + prefilled
    ]
    return StepResult(compute_s * slowdown, emissions)


def _slowdown(engine: Engine, now_s: float) -> float:
    share = warmth(engine, now_s)
    factor = 1.0 / (COLD_SPEED + (1 - COLD_SPEED) * share)
    for fault in engine.faults:
        load = len(engine.running) + len(engine.waiting)
        factor *= fault_kinds.find(fault.kind)(fault, '', load, now_s).slowdown
    return factor


def _prefill_chunk(engine: Engine) -> tuple[int, list[Progress]]:
    """Spend the step's prefill budget on the jobs that wait longest."""
    left = engine.profile.chunk_tokens
    done: list[Progress] = []
    while engine.waiting and left > 0:
        if len(engine.running) >= engine.profile.batch_max:
            break
        progress = engine.waiting[0]
        part = min(left, progress['prefill_left'])
        progress['prefill_left'] -= part
        progress['prefilled'] += part
        left -= part
        if progress['prefill_left'] > 0:
            break
        engine.waiting.popleft()
        engine.running[progress['job'].job_id] = progress
        _remember(engine, progress['job'])
        done.append(progress)
    used = engine.profile.chunk_tokens - left
    engine.state['prefill_tokens_done'] += used
    return used, done


def _remember(engine: Engine, job: Job) -> None:
    stored = [block for block in job.prefix_blocks if block not in engine.cache]
    for block in job.prefix_blocks:
        engine.cache[block] = None
        engine.cache.move_to_end(block)
    evicted = []
    while len(engine.cache) > engine.profile.cache_blocks:
        evicted.append(engine.cache.popitem(last=False)[0])
    number = engine.events[-1].number + 1 if engine.events else 1
    engine.events.append(CacheEvent(number, tuple(stored), tuple(evicted)))


def _decode(engine: Engine, progress: Progress, now_s: float) -> Emission:
    job = progress['job']
    offset = progress['produced']
    progress['produced'] += 1
    failed = _fails(engine, job, now_s)
    finished = progress['produced'] >= job.output_tokens
    if finished or failed:
        engine.running.pop(job.job_id, None)
        engine.prefill_by_job[job.job_id] = progress['prefilled']
    return Emission(
        job.job_id, offset, finished, progress['cached_tokens'], failed
    )


def _fails(engine: Engine, job: Job, now_s: float) -> bool:
    load = len(engine.running) + len(engine.waiting)
    return any(
        fault_kinds.find(fault.kind)(fault, job.route, load, now_s).fails
        for fault in engine.faults
    )


def report_load(engine: Engine, now_s: float) -> LoadReport:
    """Return the load at this moment; publishing it late is the caller's."""
    waiting = sum(progress['prefill_left'] for progress in engine.waiting)
    boot_id = f'{engine.profile.name}-{engine.state["boot"]}'
    return LoadReport(now_s, boot_id, len(engine.running), waiting)
