"""What became of the requests of a run, and the measures made of it."""

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
    """One request; times are seconds of virtual time."""

    request: Request
    first_token_at_s: float | None = None
    last_token_at_s: float = 0.0
    tokens: int = 0
    ended_at_s: float | None = None
    whole: bool = False
    refused: str = ''


class Outcomes(NamedTuple):
    """All requests by id, and counts of refusals and of lost engines."""

    by_id: dict[str, Outcome]
    refusals: Counter[str]
    crash_times_s: list[float]


class Summary(NamedTuple):
    """The measures of a run; goodput is a ratio to the offered requests.

    ``wasted_prefill`` is the ratio of prefill tokens spent on requests
    without a good answer to all prefill tokens.
    """

    goodput: dict[str, float]
    total: float
    tokens_per_s: float
    wasted_prefill: float
    refusals: dict[str, int]


def make_outcomes() -> Outcomes:
    """Create the record of a run without requests."""
    return Outcomes({}, Counter(), [])


def is_good(outcome: Outcome) -> bool:
    """Tell whether the whole answer came in time for the tier."""
    if not outcome.whole or outcome.first_token_at_s is None:
        return False
    request = outcome.request
    if outcome.first_token_at_s > request.deadline_s:
        return False
    gaps = max(1, outcome.tokens - 1)
    mean_s = (outcome.last_token_at_s - outcome.first_token_at_s) / gaps
    return mean_s <= request.tier.between_tokens_s


def summarise(
    outcomes: Outcomes,
    engines: dict[str, Engine],
    start_s: float,
    end_s: float,
) -> Summary:
    """Measure the requests that arrived from ``start_s`` to ``end_s``."""
    offered: Counter[str] = Counter()
    good: Counter[str] = Counter()
    tokens = 0
    for outcome in outcomes.by_id.values():
        if not start_s <= outcome.request.arrived_at_s < end_s:
            continue
        tier = outcome.request.tier.name
        offered[tier] += 1
        if is_good(outcome):
            good[tier] += 1
            tokens += outcome.tokens
    goodput = {tier: good[tier] / offered[tier] for tier in sorted(offered)}
    return Summary(
        goodput,
        good.total() / max(1, offered.total()),
        tokens / (end_s - start_s),
        _wasted_share(outcomes, engines),
        dict(outcomes.refusals),
    )


def _wasted_share(outcomes: Outcomes, engines: dict[str, Engine]) -> float:
    wasted = 0
    total = 0
    for engine in engines.values():
        for job_id, tokens in engine.prefill_by_job.items():
            request_id = job_id.partition('/')[0]
            total += tokens
            if not is_good(outcomes.by_id[request_id]):
                wasted += tokens
    return wasted / max(1, total)
