"""Time limits of an attempt for the next byte of the response."""

from typing import Final, NamedTuple

from bluebellhub.request import RequestState
from bluebellhub.settings import Limits
from bluebellhub.upstream import Upstream

__all__ = ['TimeLimits', 'time_limits']

FIRST_BYTE_RATIO: Final = 2.0
FIRST_BYTE_SLACK_S: Final = 1.0
NEXT_BYTE_RATIO: Final = 20.0


class TimeLimits(NamedTuple):
    """Limits in seconds for the first byte and between later bytes."""

    first_byte_s: float
    next_byte_s: float


def time_limits(
    limits: Limits, state: RequestState, upstream: Upstream
) -> TimeLimits:
    """Return the time limits for the first byte and for later ones.

    The caller of a resumed stream has already received a part of it, so the
    first byte of another attempt may take no longer than a pause within a
    stream, or than the expected time for the prompt at this upstream.
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
    """Return the limit for a first byte expected after ``expected_s``."""
    return expected_s * FIRST_BYTE_RATIO + FIRST_BYTE_SLACK_S
