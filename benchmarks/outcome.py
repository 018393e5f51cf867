"""Outcomes of a simulation's requests, and metrics computed from them."""

from collections import Counter
from typing import NamedTuple

from bluebellhub.request import Request
from bluebellhub.standins.engine_model import Engine

__all__ = [
    'Outcome',
    'Outcomes',
    'Summary',
    'is_good',
    'make_outcomes',
    'summarise',
]


class Outcome(NamedTuple):
    """Outcome of one request; times are seconds of virtual time."""

    request: Request
    first_token_at_s: float | None = None
    last_token_at_s: float = 0.0
    tokens: int = 0
    ended_at_s: float | None = None
    is_complete: bool = False
    refusal_reason: str = ''


class Outcomes(NamedTuple):
    """Outcomes by request id, refusals by reason and times of crashes."""

    by_id: dict[str, Outcome]
    refusals: Counter[str]
    crash_times_s: list[float]


class Summary(NamedTuple):
    """Metrics of a simulation.

    ``goodput`` is the ratio of good responses to offered requests by tier.
    ``tokens_per_s`` counts the tokens of good responses.
    ``wasted_prefill`` is the ratio of prefill tokens of requests without a
    good response to all prefill tokens.
    """

    goodput: dict[str, float]
    total_goodput: float
    tokens_per_s: float
    wasted_prefill: float
    refusals: dict[str, int]


def make_outcomes() -> Outcomes:
    """Create an empty record of outcomes."""
    return Outcomes({}, Counter(), [])


def is_good(outcome: Outcome) -> bool:
    """Return whether the response was complete and met its tier's limits.

    The limits are the deadline of the first token and the mean time between
    tokens.
    """
    if not outcome.is_complete or outcome.first_token_at_s is None:
        return False
    request = outcome.request
    if outcome.first_token_at_s > request.deadline_s:
        return False
    gap_count = max(1, outcome.tokens - 1)
    mean_gap_s = (
        outcome.last_token_at_s - outcome.first_token_at_s
    ) / gap_count
    return mean_gap_s <= request.tier.between_tokens_s


def summarise(
    outcomes: Outcomes,
    engines: dict[str, Engine],
    start_s: float,
    end_s: float,
) -> Summary:
    """Summarise the requests that arrived from ``start_s`` to ``end_s``."""
    offered: Counter[str] = Counter()
    successes: Counter[str] = Counter()
    tokens = 0
    for outcome in outcomes.by_id.values():
        if not start_s <= outcome.request.arrived_at_s < end_s:
            continue
        tier = outcome.request.tier.name
        offered[tier] += 1
        if is_good(outcome):
            successes[tier] += 1
            tokens += outcome.tokens
    goodput = {
        tier: successes[tier] / offered[tier] for tier in sorted(offered)
    }
    return Summary(
        goodput,
        successes.total() / max(1, offered.total()),
        tokens / (end_s - start_s),
        _wasted_prefill_ratio(outcomes, engines),
        dict(outcomes.refusals),
    )


def _wasted_prefill_ratio(
    outcomes: Outcomes, engines: dict[str, Engine]
) -> float:
    wasted_tokens = 0
    total_tokens = 0
    for engine in engines.values():
        for job_id, tokens in engine.prefill_by_job.items():
            request_id = job_id.partition('/')[0]
            total_tokens += tokens
            if not is_good(outcomes.by_id[request_id]):
                wasted_tokens += tokens
    return wasted_tokens / max(1, total_tokens)
