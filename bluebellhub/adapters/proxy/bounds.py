"""Bounds on what all VMs do together, from the settings."""

from typing import Final

from bluebellhub.duty import DutyBounds
from bluebellhub.rates import ColdBounds, QuotaBounds, RetryBounds
from bluebellhub.settings import DutySettings, SiteSettings
from bluebellhub.site.state import Bounds

__all__ = ['read_bounds']

MS_PER_S: Final = 1000.0


def read_bounds(site: SiteSettings) -> Bounds:
    """Return the limits that all VMs share, from the settings."""
    return Bounds(
        QuotaBounds(site.quota_window_s, site.quota_overage, site.quota_slack),
        RetryBounds(site.retry_window_s, site.retry_ratio, site.retry_slack),
        ColdBounds(site.cold_overage, site.cold_slack),
        _read_duty_bounds(site.duty),
    )


def _read_duty_bounds(duty: DutySettings) -> DutyBounds:
    return DutyBounds(
        duty.lease_ms / MS_PER_S, duty.fencing_enforced, duty.calls_per_s
    )
