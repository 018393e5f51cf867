"""What the engines of a simulated fleet state in their responses."""

from bluebellhub.request.heads import UpstreamLoad
from bluebellhub.site.rejection_limits import (
    apply_rejection_report,
    apply_stated_rejections,
)
from bluebellhub.site.reports import RejectionLimitReport, ReportedLimit
from bluebellhub.site.tests.overloaded_engines import stated_rejections
from bluebellhub.site.upstreams import apply_response_load
from bluebellhub.standins.virtual_clock import call_at

__all__ = ['apply_head']

# All VMs know after this time what one of them was told.
GOSSIP_S = 0.5


def apply_head(now_s, fleet, site, event):
    """Apply what an engine states in the head of a response."""
    engine = fleet.engines[event.upstream]
    load = UpstreamLoad(len(engine.running), len(engine.queue), engine.slots)
    apply_response_load(site, event.upstream, load, now_s)
    stated = stated_rejections(fleet.load, now_s)
    if not apply_stated_rejections(site, event.upstream, stated, now_s):
        return
    incarnation = site.scheduler.upstreams[event.upstream].incarnation
    entry = ReportedLimit(event.upstream, incarnation, stated, 0.0)
    for other in fleet.sites:
        reported_s = now_s + GOSSIP_S * fleet.random.random()
        call_at(fleet.clock, reported_s, _apply_reported, other, entry)


def _apply_reported(now_s, site, entry):
    apply_rejection_report(site, RejectionLimitReport([entry]), now_s)
