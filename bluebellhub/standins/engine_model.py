"""A model of an engine with continuous batching.

Each step prefills a chunk of waiting prompts, first come first served, and
decodes one token for every running request.  The caller runs the steps and
supplies the time, so the model works in real and in virtual time.
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
    JobProgress,
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

COLD_SPEED_RATIO: Final = 0.3
CACHE_EVENTS_MAX: Final = 64


class EngineDownError(HubError):
    """The engine is down and accepts no connections."""


class EngineState(TypedDict):
    """The engine's scalar state; ``down_until_s`` is 0 while it runs."""

    boot: int
    started_at_s: float
    down_until_s: float
    prefill_tokens_done: int


class Engine(NamedTuple):
    """Aggregate root: jobs by phase, the prefix cache and active faults.

    ``prefill_by_job`` holds the prefill tokens computed for each job that
    has ended.  ``events`` keeps only the newest cache events, so that a
    reader that falls behind finds a gap in their numbers.
    """

    profile: EngineProfile
    state: EngineState
    waiting: deque[JobProgress]
    running: dict[str, JobProgress]
    cache: OrderedDict[int, None]
    faults: list[Fault]
    prefill_by_job: dict[str, int]
    events: deque[CacheEvent]


def make_engine(
    profile: EngineProfile, now_s: float, *, warm: bool = False
) -> Engine:
    """Create an engine that starts now or, with ``warm``, is warmed up."""
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
        deque(maxlen=CACHE_EVENTS_MAX),
    )


def warm_fraction(engine: Engine, now_s: float) -> float:
    """Return the progress of the warm-up, from 0 at a start to 1."""
    age_s = now_s - engine.state['started_at_s']
    return min(1.0, max(0.0, age_s / engine.profile.cold_s))


def is_down(engine: Engine, now_s: float) -> bool:
    """Return whether the engine is down and accepts no connections."""
    return now_s < engine.state['down_until_s']


def is_idle(engine: Engine) -> bool:
    """Return whether the engine has no jobs."""
    return not engine.waiting and not engine.running


def accept(engine: Engine, job: Job, now_s: float) -> list[str]:
    """Add a job; returns the ids of the jobs lost if the engine crashes.

    Raises `EngineDownError` while the engine is down.
    """
    if is_down(engine, now_s):
        raise EngineDownError(engine.profile.name)
    cached = _cached_tokens(engine, job)
    progress: JobProgress = {
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
    """Return the length in tokens of the longest cached prompt prefix."""
    cached = 0
    for block in job.prefix_blocks:
        if block not in engine.cache:
            break
        engine.cache.move_to_end(block)
        cached += BLOCK_TOKENS
    return min(cached, job.prompt_tokens)


def _is_overloaded(engine: Engine, now_s: float) -> bool:
    """Return whether the requests exceed the limit of a cold engine.

    The limit grows linearly to ``batch_max`` while the engine warms up.
    """
    fraction = warm_fraction(engine, now_s)
    if fraction >= 1.0:
        return False
    profile = engine.profile
    growth = (profile.batch_max - profile.cold_requests_max) * fraction
    load = len(engine.waiting) + len(engine.running)
    return load > profile.cold_requests_max + growth


def crash(engine: Engine, now_s: float) -> list[str]:
    """Drop all jobs and the cache, and restart cold after ``boot_s``.

    Returns the ids of the lost jobs.
    """
    lost_ids = [progress['job'].job_id for progress in engine.waiting]
    lost_ids.extend(engine.running)
    for progress in (*engine.waiting, *engine.running.values()):
        engine.prefill_by_job[progress['job'].job_id] = progress['prefilled']
    engine.waiting.clear()
    engine.running.clear()
    engine.cache.clear()
    up_again_s = now_s + engine.profile.boot_s
    engine.state['boot'] += 1
    engine.state['down_until_s'] = up_again_s
    engine.state['started_at_s'] = up_again_s
    return lost_ids


def cancel(engine: Engine, job_id: str) -> None:
    """Drop a job, if present; its prefill tokens stay counted."""
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
    """Compute one step; its tokens are emitted ``elapsed_s`` later."""
    profile = engine.profile
    slowdown = _slowdown(engine, now_s)
    decoding = list(engine.running.values())
    prefill_tokens, prefilled = _prefill_chunk(engine)
    compute_s = (
        profile.step_base_s
        + profile.step_per_request_s * len(decoding)
        + prefill_tokens / profile.prefill_tokens_per_s
    )
    emissions = [
        _decode_token(engine, progress, now_s)
        for progress in decoding + prefilled
    ]
    return StepResult(compute_s * slowdown, emissions)


def _slowdown(engine: Engine, now_s: float) -> float:
    """Return the factor on the step time from the warm-up and faults."""
    fraction = warm_fraction(engine, now_s)
    factor = 1.0 / (COLD_SPEED_RATIO + (1 - COLD_SPEED_RATIO) * fraction)
    for fault in engine.faults:
        load = len(engine.running) + len(engine.waiting)
        factor *= fault_kinds.find(fault.kind)(fault, '', load, now_s).slowdown
    return factor


def _prefill_chunk(engine: Engine) -> tuple[int, list[JobProgress]]:
    """Spend the step's prefill budget on waiting jobs, oldest first.

    Returns the tokens used and the jobs whose prefill is complete.
    """
    remaining_tokens = engine.profile.chunk_tokens
    prefilled: list[JobProgress] = []
    while engine.waiting and remaining_tokens > 0:
        if len(engine.running) >= engine.profile.batch_max:
            break
        progress = engine.waiting[0]
        chunk_tokens = min(remaining_tokens, progress['prefill_left'])
        progress['prefill_left'] -= chunk_tokens
        progress['prefilled'] += chunk_tokens
        remaining_tokens -= chunk_tokens
        if progress['prefill_left'] > 0:
            break
        engine.waiting.popleft()
        engine.running[progress['job'].job_id] = progress
        _cache_prefix(engine, progress['job'])
        prefilled.append(progress)
    used_tokens = engine.profile.chunk_tokens - remaining_tokens
    engine.state['prefill_tokens_done'] += used_tokens
    return used_tokens, prefilled


def _cache_prefix(engine: Engine, job: Job) -> None:
    """Cache the job's prefix blocks, evict by LRU and record the event."""
    stored = [block for block in job.prefix_blocks if block not in engine.cache]
    for block in job.prefix_blocks:
        engine.cache[block] = None
        engine.cache.move_to_end(block)
    evicted = []
    while len(engine.cache) > engine.profile.cache_blocks:
        evicted.append(engine.cache.popitem(last=False)[0])
    number = engine.events[-1].number + 1 if engine.events else 1
    engine.events.append(CacheEvent(number, tuple(stored), tuple(evicted)))


def _decode_token(
    engine: Engine, progress: JobProgress, now_s: float
) -> Emission:
    """Produce one token of a job; the job ends with its last or a fault."""
    job = progress['job']
    offset = progress['produced']
    progress['produced'] += 1
    failed = _should_fail(engine, job, now_s)
    finished = progress['produced'] >= job.output_tokens
    if finished or failed:
        engine.running.pop(job.job_id, None)
        engine.prefill_by_job[job.job_id] = progress['prefilled']
    return Emission(
        job.job_id, offset, finished, progress['cached_tokens'], failed
    )


def _should_fail(engine: Engine, job: Job, now_s: float) -> bool:
    """Return whether an active fault fails the job at this token."""
    load = len(engine.running) + len(engine.waiting)
    return any(
        fault_kinds.find(fault.kind)(fault, job.route, load, now_s).fails
        for fault in engine.faults
    )


def report_load(engine: Engine, now_s: float) -> LoadReport:
    """Return the current load; the caller adds any reporting delay."""
    waiting = sum(progress['prefill_left'] for progress in engine.waiting)
    boot_id = f'{engine.profile.name}-{engine.state["boot"]}'
    return LoadReport(now_s, boot_id, len(engine.running), waiting)
