"""Records of the engine model: profile, jobs and emitted tokens."""

from typing import NamedTuple, TypedDict

__all__ = ['Emission', 'EngineProfile', 'Job', 'JobProgress', 'StepResult']


class EngineProfile(NamedTuple):
    """Speed and limits of one engine.

    The engine reaches full speed ``cold_s`` seconds after a start.  At first
    it sustains ``cold_requests_max`` requests; with more it crashes and is
    down for ``boot_s`` seconds.
    """

    name: str
    prefill_tokens_per_s: float = 8000.0
    step_base_s: float = 0.02
    step_per_request_s: float = 0.0005
    chunk_tokens: int = 512
    batch_max: int = 64
    cache_blocks: int = 2000
    cold_s: float = 20.0
    cold_requests_max: int = 4
    boot_s: float = 5.0
    version: str = '1'


class Job(NamedTuple):
    """One attempt of a request; ``offset`` is the first token to produce."""

    job_id: str
    route: str
    prompt_tokens: int
    output_tokens: int
    prefix_blocks: tuple[int, ...] = ()
    offset: int = 0


class JobProgress(TypedDict):
    """Progress of a job, in tokens."""

    job: Job
    prefill_left: int
    prefilled: int
    cached_tokens: int
    produced: int


class Emission(NamedTuple):
    """A token of one job, at ``offset`` in its response."""

    job_id: str
    offset: int
    finished: bool
    cached_tokens: int
    failed: bool = False


class StepResult(NamedTuple):
    """One step: its duration and the tokens emitted at its end."""

    elapsed_s: float
    emissions: list[Emission]
