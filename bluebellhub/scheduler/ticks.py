"""The periodic work of a scheduler."""

from bluebellhub.faults import isolate_fault
from bluebellhub.scheduler.crashes import refuse_quarantined
from bluebellhub.scheduler.dispatch import dispatch_queued
from bluebellhub.scheduler.events import Event
from bluebellhub.scheduler.expiries import expiries
from bluebellhub.scheduler.links import watch_links
from bluebellhub.scheduler.overdue import expire_overdue
from bluebellhub.scheduler.requeueing import requeue_expired
from bluebellhub.scheduler.shedding import expire_by_tier
from bluebellhub.scheduler.state import Scheduler

# The expiries are listed, so that the import that registers them has a use.
__all__ = ['expire_by_tier', 'expire_overdue', 'tick']


def tick(scheduler: Scheduler, now_s: float) -> list[Event]:
    """Do the periodic work: requeue, refuse and dispatch; return the events."""
    events: list[Event] = []
    requeue_expired(scheduler, events)
    watch_links(scheduler, events, now_s)
    refuse_quarantined(scheduler, events, now_s)
    expire = expiries.find(scheduler.options.discipline)
    for target in scheduler.queues:
        with isolate_fault('queue', target=target):
            expire(scheduler, events, target, now_s)
        events.extend(dispatch_queued(scheduler, target, now_s))
    return events
