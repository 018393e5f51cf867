"""How long an attempt waits for an upstream's next byte."""

from typing import Final

from bluebellhub.adapters.attempts import TimeLimits
from bluebellhub.request import RequestState
from bluebellhub.settings import Limits
from bluebellhub.upstream import Upstream

__all__ = ['time_limits']

FIRST_BYTE_RATIO: Final = 2.0
FIRST_BYTE_SLACK_S: Final = 1.0
NEXT_BYTE_RATIO: Final = 20.0


def time_limits(
    limits: Limits, state: RequestState, upstream: Upstream
) -> TimeLimits:
    """Return how long to wait for the answer's next byte.

    The caller of a resumed stream is in the middle of it, so the first byte
    of another attempt may take no longer than a pause, or than the prompt
    is expected to take at this upstream.
    """
    tier = state.request.tier
    next_s = max(
        limits.next_byte_s,
        tier.between_tokens_s * NEXT_BYTE_RATIO,
    )
    if state.request.prompt_tokens == 0:
        return TimeLimits(limits.service_timeout_s, next_s)
    if state.first_token_at_s is None:
        return TimeLimits(_first_byte_s(tier.first_token_s), next_s)
    work = upstream.work.get(state.request.request_id)
    resumed_s = _first_byte_s(work.predicted_s if work else 0.0)
    return TimeLimits(max(resumed_s, next_s), next_s)


def _first_byte_s(expected_s: float) -> float:
    return expected_s * FIRST_BYTE_RATIO + FIRST_BYTE_SLACK_S
