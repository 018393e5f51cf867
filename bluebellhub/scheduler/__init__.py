"""Scheduling decisions of one VM, composed from the aggregates.

The functions receive the current time, update the scheduler and return
events.  They do no input or output, so any front end can execute the events.
"""

from bluebellhub.scheduler.crashes import confirm_end, crash_checked
from bluebellhub.scheduler.dispatch import dispatch_queued
from bluebellhub.scheduler.events import (
    Cancel,
    CheckCrash,
    CheckLinks,
    Dispatch,
    Event,
    Probe,
    Refuse,
)
from bluebellhub.scheduler.links import connection_opened, links_checked
from bluebellhub.scheduler.progress import (
    apply_load_report,
    attempt_failed,
    caller_disconnected,
    request_sent,
    response_ended,
    tokens_arrived,
)
from bluebellhub.scheduler.state import (
    Scheduler,
    add_upstream,
    make_scheduler,
    remove_upstream,
)
from bluebellhub.scheduler.submit import submit
from bluebellhub.scheduler.ticks import tick

__all__ = [
    'Cancel',
    'CheckCrash',
    'CheckLinks',
    'Dispatch',
    'Event',
    'Probe',
    'Refuse',
    'Scheduler',
    'add_upstream',
    'apply_load_report',
    'attempt_failed',
    'caller_disconnected',
    'confirm_end',
    'connection_opened',
    'crash_checked',
    'dispatch_queued',
    'links_checked',
    'make_scheduler',
    'remove_upstream',
    'request_sent',
    'response_ended',
    'submit',
    'tick',
    'tokens_arrived',
]
