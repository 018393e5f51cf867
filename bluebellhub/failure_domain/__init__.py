"""Failure domains: taken out and back by operators."""

from bluebellhub.failure_domain.failure_domain import (
    FailureDomain,
    is_out,
    ramp_share,
)

__all__ = ['FailureDomain', 'is_out', 'ramp_share']
