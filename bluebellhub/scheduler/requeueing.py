"""Requeueing of requests from cold upstreams whose lease has expired.

The owner of an upstream's window counts the running requests of a VM only
while it receives renewals from that VM.  A VM that has lost contact with the
owner therefore ends its requests on a cold upstream before the owner leases
the same slots to others.
"""

from bluebellhub.admission import put
from bluebellhub.request import RequestState
from bluebellhub.scheduler.events import Cancel, Event
from bluebellhub.scheduler.finish import release_attempt
from bluebellhub.scheduler.queued_request import make_queued_request
from bluebellhub.scheduler.state import Scheduler, queue_of

__all__ = ['requeue', 'requeue_expired']


def requeue_expired(scheduler: Scheduler, events: list[Event]) -> None:
    """Requeue the requests on upstreams whose lease has expired.

    A request that is not idempotent keeps running, because it must not be
    cancelled.
    """
    for name in sorted(scheduler.expired_leases):
        upstream = scheduler.upstreams.get(name)
        running = list(upstream.work) if upstream else []
        for request_id in running:
            state = scheduler.requests.get(request_id)
            if state is not None and state.request.idempotent:
                requeue(scheduler, events, state)
                scheduler.counters['retries', 'lease_lapsed'] += 1
    scheduler.expired_leases.clear()


def requeue(
    scheduler: Scheduler, events: list[Event], state: RequestState
) -> None:
    """Cancel the current attempt and put the request back in the queue."""
    attempt = state.attempt
    if attempt is None:
        return
    events.append(
        Cancel(state.request.request_id, attempt.upstream, state.attempts)
    )
    queue = queue_of(scheduler, state.request.target)
    put(queue, make_queued_request(scheduler, state))
    release_attempt(scheduler, state)
