"""Bounds of a service's replicas, as operators configure them."""

from typing import NamedTuple

__all__ = ['ScalingBounds']


class ScalingBounds(NamedTuple):
    """Bounds of the replicas of a service in each failure domain.

    A replica that was ordered serves after ``boot_s`` seconds.
    """

    min_replicas: int
    max_replicas: int
    boot_s: float
