"""Failure domains, which operators take out of service and back in."""

from bluebellhub.failure_domain.failure_domain import (
    FailureDomain,
    is_out,
    ramp_share,
)

__all__ = ['FailureDomain', 'is_out', 'ramp_share']
