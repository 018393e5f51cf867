"""Withdrawal: work leaves a cold upstream when its lease has lapsed.

The owner of an upstream's window counts a VM's running work only while it
hears that VM.  A VM that has lost touch therefore ends its work at a cold
upstream before the owner lends the same slots to others.
"""

from bluebellhub.admission import put
from bluebellhub.request import RequestState
from bluebellhub.scheduler.entry import make_waiting
from bluebellhub.scheduler.events import Cancel, Event
from bluebellhub.scheduler.finish import leave_upstream
from bluebellhub.scheduler.state import Scheduler, queue_of

__all__ = ['move_back', 'withdraw_lapsed']


def withdraw_lapsed(scheduler: Scheduler, events: list[Event]) -> None:
    """Queue again what runs at the upstreams whose lease has lapsed.

    A request that is not idempotent stays where it runs: nothing may take
    it back.
    """
    for name in sorted(scheduler.expired_leases):
        upstream = scheduler.upstreams.get(name)
        running = list(upstream.work) if upstream else []
        for request_id in running:
            state = scheduler.requests.get(request_id)
            if state is not None and state.request.idempotent:
                move_back(scheduler, events, state)
                scheduler.counters['retries', 'lease_lapsed'] += 1
    scheduler.expired_leases.clear()


def move_back(
    scheduler: Scheduler, events: list[Event], state: RequestState
) -> None:
    """Cancel the running attempt and put the request back in the queue."""
    attempt = state.attempt
    if attempt is None:
        return
    events.append(
        Cancel(state.request.request_id, attempt.upstream, state.attempts)
    )
    queue = queue_of(scheduler, state.request.target)
    put(queue, make_waiting(scheduler, state))
    leave_upstream(scheduler, state)
