"""Preemption: a higher tier takes the place of a lower one."""

from bluebellhub.admission import put
from bluebellhub.request import Ask, Life
from bluebellhub.scheduler.entry import make_waiting
from bluebellhub.scheduler.events import Cancel, Event
from bluebellhub.scheduler.gates import is_eligible
from bluebellhub.scheduler.room import usable_slots
from bluebellhub.scheduler.state import Scheduler, queue_of, upstreams_for

__all__ = ['find_victim', 'lacks_slots', 'requeue']


def lacks_slots(scheduler: Scheduler, ask: Ask, now_s: float) -> bool:
    """Tell whether every eligible upstream's slots are taken."""
    return not any(
        len(upstream.work) < usable_slots(scheduler, upstream, now_s)
        for upstream in upstreams_for(scheduler, ask.target)
        if is_eligible(scheduler, ask, upstream, now_s)
    )


def find_victim(
    scheduler: Scheduler, ask: Ask, now_s: float, *, unprefilled: bool
) -> Life | None:
    """Return the running request that loses least by being cancelled.

    The lowest tier goes first, then requests without a first token, then
    those that were sent last.  Only idempotent requests are candidates,
    and with ``unprefilled`` only those without a first token: cancelling
    others frees a slot but no prefill time.
    """
    best: Life | None = None
    best_order: tuple[int, bool, float] | None = None
    for upstream in upstreams_for(scheduler, ask.target):
        if not is_eligible(scheduler, ask, upstream, now_s):
            continue
        for request_id, work in upstream.work.items():
            life = scheduler.lives.get(request_id)
            if work.rank <= ask.tier.rank or life is None:
                continue
            if unprefilled and work.prefilled:
                continue
            order = (work.rank, not work.prefilled, work.sent_at_s)
            better = best_order is None or order > best_order
            if better and life.ask.idempotent:
                best = life
                best_order = order
    return best


def requeue(scheduler: Scheduler, events: list[Event], victim: Life) -> None:
    """Cancel the victim's attempt and put the request back in the queue."""
    attempt = victim.attempt
    if attempt is None:
        return
    events.append(
        Cancel(victim.ask.request_id, attempt.upstream, victim.attempts)
    )
    queue = queue_of(scheduler, victim.ask.target)
    put(queue, make_waiting(scheduler, victim))
