"""Learned speed of an upstream: prefill rate and time between tokens."""

from typing import Final, NamedTuple

__all__ = ['Speed', 'make_speed', 'observe_prefill', 'observe_step']

SMOOTHING: Final = 0.2
WORK_MIN_TOKENS: Final = 64
RATE_MIN_TOKENS_PER_S: Final = 50.0
STEP_MIN_S: Final = 0.001
CEILING_RATIO: Final = 1.25


class Speed(NamedTuple):
    """Estimates that follow observations by exponential smoothing.

    ``delay_ratio`` is unitless: observed over predicted first-token time.
    The prefill rate stays below ``prefill_max_tokens_per_s``.
    """

    prefill_tokens_per_s: float
    step_s: float
    prefill_max_tokens_per_s: float
    delay_ratio: float = 1.0
    observations: int = 0


def make_speed(prefill_tokens_per_s: float, step_s: float) -> Speed:
    """Create an estimate from the values in the upstream's settings."""
    ceiling = prefill_tokens_per_s * CEILING_RATIO
    return Speed(prefill_tokens_per_s, step_s, ceiling)


def observe_prefill(
    speed: Speed, work_tokens: float, elapsed_s: float, predicted_s: float
) -> Speed:
    """Learn from a first token that came ``elapsed_s`` after dispatch.

    ``work_tokens`` counts the uncached tokens ahead of and in the request.
    """
    ratio = elapsed_s / max(predicted_s, STEP_MIN_S)
    smoothed = _smooth(speed.delay_ratio, min(ratio, 10.0))
    learned = speed._replace(
        delay_ratio=smoothed, observations=speed.observations + 1
    )
    if work_tokens < WORK_MIN_TOKENS:
        return learned
    prefill_s = max(elapsed_s - speed.step_s, STEP_MIN_S)
    rate = work_tokens / prefill_s
    low = max(speed.prefill_tokens_per_s / 4, RATE_MIN_TOKENS_PER_S)
    bounded = min(max(rate, low), speed.prefill_max_tokens_per_s)
    return learned._replace(
        prefill_tokens_per_s=_smooth(speed.prefill_tokens_per_s, bounded)
    )


def observe_step(speed: Speed, step_s: float) -> Speed:
    """Learn from the mean time between two tokens of one stream."""
    return speed._replace(step_s=_smooth(speed.step_s, max(step_s, STEP_MIN_S)))


def _smooth(old: float, new: float) -> float:
    return old + SMOOTHING * (new - old)
