"""Recognition of upstreams that are much slower than their peers."""

from collections.abc import Iterable
from statistics import median
from typing import Final

from bluebellhub.upstream.upstream import Upstream

__all__ = ['is_straggler']

STRAGGLER_SHARE: Final = 0.4
STRAGGLER_DELAY_RATIO: Final = 3.0
STRAGGLER_OBSERVATIONS_MIN: Final = 8


def is_straggler(upstream: Upstream, peers: Iterable[Upstream]) -> bool:
    """Return whether the upstream is a straggler.

    It is a straggler if it is much slower than the median of its peers, or
    than its predictions.  ``peers`` serve the same target; those on other
    hardware are left out.  With too few observations or fewer than three
    peers, no upstream is a straggler.
    """
    speed = upstream.speed
    if speed.observations < STRAGGLER_OBSERVATIONS_MIN:
        return False
    rates = [
        peer.speed.prefill_tokens_per_s
        for peer in peers
        if peer.spec.hardware == upstream.spec.hardware
    ]
    if len(rates) < 3:
        return False
    slow = speed.prefill_tokens_per_s < STRAGGLER_SHARE * median(rates)
    return slow or speed.delay_ratio > STRAGGLER_DELAY_RATIO
