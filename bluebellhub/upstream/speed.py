"""Learned speed of an upstream: prefill rate and time between tokens."""

from typing import Final, NamedTuple

__all__ = [
    'Speed',
    'make_speed',
    'merge_speeds',
    'observe_prefill',
    'observe_step',
]

SMOOTHING_FACTOR: Final = 0.2
LEARN_MIN_TOKENS: Final = 64
RATE_MIN_TOKENS_PER_S: Final = 50.0
STEP_MIN_S: Final = 0.001
FASTER_RATIO_MAX: Final = 1.25
MERGE_OBSERVATIONS_MAX: Final = 20


class Speed(NamedTuple):
    """Estimates, updated by exponential smoothing.

    ``delay_ratio`` is the observed over the predicted first-token time.
    ``prefill_max_tokens_per_s`` bounds the prefill rate.
    """

    prefill_tokens_per_s: float
    step_s: float
    prefill_max_tokens_per_s: float
    delay_ratio: float = 1.0
    observations: int = 0


def make_speed(
    prefill_tokens_per_s: float,
    step_s: float,
    ceiling_ratio: float = FASTER_RATIO_MAX,
) -> Speed:
    """Create an estimate from the values in the upstream's settings."""
    ceiling = prefill_tokens_per_s * ceiling_ratio
    return Speed(prefill_tokens_per_s, step_s, ceiling)


def observe_prefill(
    speed: Speed,
    work_tokens: float,
    elapsed_s: float,
    predicted_s: float,
    min_tokens: int = LEARN_MIN_TOKENS,
) -> Speed:
    """Update the estimate from a first token ``elapsed_s`` after dispatch.

    ``work_tokens`` counts the uncached tokens of the request and of the
    requests ahead of it.  Fewer than ``min_tokens`` do not update the
    prefill rate, because they say nothing about it.
    """
    ratio = elapsed_s / max(predicted_s, STEP_MIN_S)
    smoothed = _smooth(speed.delay_ratio, min(ratio, 10.0))
    learned = speed._replace(
        delay_ratio=smoothed, observations=speed.observations + 1
    )
    if work_tokens < min_tokens:
        return learned
    prefill_s = max(elapsed_s - speed.step_s, STEP_MIN_S)
    rate = work_tokens / prefill_s
    low = max(speed.prefill_tokens_per_s / 4, RATE_MIN_TOKENS_PER_S)
    bounded = min(max(rate, low), speed.prefill_max_tokens_per_s)
    return learned._replace(
        prefill_tokens_per_s=_smooth(speed.prefill_tokens_per_s, bounded)
    )


def observe_step(speed: Speed, step_s: float) -> Speed:
    """Update the estimate from the mean time between tokens of a stream."""
    return speed._replace(step_s=_smooth(speed.step_s, max(step_s, STEP_MIN_S)))


def merge_speeds(local: Speed, received: Speed) -> Speed:
    """Merge the estimates of two VMs, weighted by their observations."""
    local_count = min(local.observations, MERGE_OBSERVATIONS_MAX)
    received_count = min(received.observations, MERGE_OBSERVATIONS_MAX)
    if not received_count:
        return local
    weight = received_count / (local_count + received_count)
    return local._replace(
        prefill_tokens_per_s=_interpolate(
            local.prefill_tokens_per_s, received.prefill_tokens_per_s, weight
        ),
        step_s=_interpolate(local.step_s, received.step_s, weight),
        delay_ratio=_interpolate(
            local.delay_ratio, received.delay_ratio, weight
        ),
    )


def _interpolate(local: float, received: float, weight: float) -> float:
    """Return the weighted mean; ``received`` has ``weight``, from 0 to 1."""
    return local + weight * (received - local)


def _smooth(old: float, new: float) -> float:
    """Return the exponentially smoothed value."""
    return old + SMOOTHING_FACTOR * (new - old)
