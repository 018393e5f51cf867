"""Estimates of the output length by account and route.

Lengths vary by a factor of a hundred, so they are counted in buckets, each
twice as wide as the one before.
"""

from typing import Final, NamedTuple

__all__ = ['OutputLengths', 'expected_tokens', 'make_lengths', 'record_length']

BUCKET_COUNT: Final = 16
QUANTILE: Final = 0.75
HALVE_COUNTS_AT: Final = 256
SAMPLES_MIN: Final = 8


class OutputLengths(NamedTuple):
    """Aggregate root: bucket counts by ``(account, route)``."""

    counts: dict[tuple[str, str], list[int]]


def make_lengths() -> OutputLengths:
    """Create estimates without observations."""
    return OutputLengths({})


def record_length(
    lengths: OutputLengths, account: str, route: str, tokens: int
) -> None:
    """Record the length of a response; old observations lose weight."""
    empty = [0 for _ in range(BUCKET_COUNT)]
    counts = lengths.counts.setdefault((account, route), empty)
    counts[min(tokens.bit_length(), BUCKET_COUNT - 1)] += 1
    if sum(counts) >= HALVE_COUNTS_AT:
        lengths.counts[account, route] = [count // 2 for count in counts]


def expected_tokens(
    lengths: OutputLengths, account: str, route: str, requested_max: int
) -> int:
    """Return the 0.75 quantile of past lengths, at most ``requested_max``.

    With too few observations, return ``requested_max``.
    """
    counts = lengths.counts.get((account, route))
    if counts is None or sum(counts) < SAMPLES_MIN:
        return requested_max
    wanted = QUANTILE * sum(counts)
    seen = 0
    for bucket, count in enumerate(counts):
        seen += count
        if seen >= wanted:
            return min(requested_max, 2**bucket)
    return requested_max
