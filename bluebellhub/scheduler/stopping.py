"""Planned stop of a VM: refusal of requests that still wait in a queue."""

from bluebellhub.faults import isolate_fault
from bluebellhub.request import RefusalError, RequestState, execution_status
from bluebellhub.request.refusal import DrainingError, UpstreamFailedError
from bluebellhub.scheduler.events import Event
from bluebellhub.scheduler.finish import refuse
from bluebellhub.scheduler.state import Scheduler

__all__ = ['refuse_waiting']


def refuse_waiting(scheduler: Scheduler, stops_at_s: float) -> list[Event]:
    """Refuse the waiting requests whose time limit ends after the VM stops.

    Their callers can go to another VM at once; they would be left without an
    answer if they still waited at the stop.  A response that has begun may go
    on at another upstream until then.
    """
    events: list[Event] = []
    waiting = [
        scheduler.requests.get(request_id)
        for queue in scheduler.queues.values()
        for request_id in queue.waiting
    ]
    for state in waiting:
        if state is None or state.first_token_at_s is not None:
            continue
        if state.request.ends_at_s > stops_at_s:
            with isolate_fault('stop', request=state.request.request_id):
                refuse(scheduler, events, state, _stop_error(state))
    return events


def _stop_error(state: RequestState) -> RefusalError:
    """Return the refusal, which states whether the request was executed."""
    if execution_status(state) == 'unknown':
        return UpstreamFailedError('the VM is shutting down')
    return DrainingError('the VM is shutting down', retry_after_s=0.0)
