"""Predictions for one request at one upstream."""

from bluebellhub.request import Life
from bluebellhub.routing import Candidate, cached_blocks
from bluebellhub.routing.prefix import BLOCK_TOKENS
from bluebellhub.scheduler.state import Scheduler
from bluebellhub.upstream import Upstream, predict_first_token_s

__all__ = ['make_candidate']


def make_candidate(
    scheduler: Scheduler, life: Life, upstream: Upstream, now_s: float
) -> Candidate:
    """Predict the first-token time, with the cached prefix left out."""
    ask = life.ask
    name = upstream.spec.name
    cached = cached_blocks(scheduler.prefixes, name, ask.prefix_blocks)
    uncached = max(0, ask.prompt_tokens - cached * BLOCK_TOKENS)
    predicted_s = predict_first_token_s(upstream, uncached, now_s)
    return Candidate(
        name,
        len(upstream.work),
        predicted_s,
        uncached,
        resumed=life.first_token_at_s is not None,
    )
