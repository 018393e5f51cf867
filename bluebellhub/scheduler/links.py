"""Checks whether this VM still reaches upstreams, and acts if it does not.

Enabled by the flag ``checks_links``, where other VMs can serve the requests of
one that is cut off.
"""

from typing import Final

from bluebellhub.reachability import apply_check as apply_link_check
from bluebellhub.reachability import (
    begin_check,
    defer_failure,
    has_contact_since,
    is_cut_off,
    is_probe_due,
    pop_deferred,
    record_contact,
    update_phase,
)
from bluebellhub.request import (
    AttemptFailure,
    RequestState,
    end_attempt,
    execution_status,
    may_retry,
)
from bluebellhub.request.refusal import CutOffError
from bluebellhub.scheduler.dispatch import dispatch_queued
from bluebellhub.scheduler.events import CheckLinks, Event
from bluebellhub.scheduler.failed_attempts import record_failed_attempt
from bluebellhub.scheduler.finish import refuse
from bluebellhub.scheduler.requeueing import requeue
from bluebellhub.scheduler.retry_budgets import retry_budgets
from bluebellhub.scheduler.state import Scheduler

__all__ = [
    'connection_opened',
    'links_checked',
    'observe_failure',
    'watch_links',
]

# Failures that a VM without links sees as well.
LINK_FAILURE_KINDS: Final = frozenset(
    ('abandoned', 'connect_failed', 'silent', 'cut')
)
# An attempt without a sign from any upstream for this time causes a check.
SILENCE_S: Final = 0.3
SILENCE_CHECK_INTERVAL_S: Final = 0.5
# Upstreams that a check connects to at once.
CHECKED_MAX: Final = 8
RETRY_AFTER_S: Final = 1.0


def observe_failure(
    scheduler: Scheduler,
    events: list[Event],
    state: RequestState,
    failure: AttemptFailure,
    now_s: float,
) -> None:
    """Count a failed attempt against its upstream, if that has failed.

    If the links may have failed instead, it is deferred until that is known.
    """
    is_doubtful = failure.kind in LINK_FAILURE_KINDS
    if not scheduler.flags['checks_links'] or not is_doubtful:
        record_failed_attempt(scheduler, events, state, failure, now_s)
        return
    defer_failure(scheduler.links, state, failure)
    _start_check(scheduler, events, now_s)


def connection_opened(scheduler: Scheduler, now_s: float) -> list[Event]:
    """Apply that an upstream has accepted a connection of this VM."""
    events: list[Event] = []
    record_contact(scheduler.links, now_s)
    if not is_cut_off(scheduler.links):
        _record_deferred(scheduler, events, now_s)
    return events


def links_checked(
    scheduler: Scheduler, *, is_reached: bool, now_s: float
) -> list[Event]:
    """Apply the result of a check, and return what follows from it.

    A VM that was cut off forgets the deferred failures.
    """
    events: list[Event] = []
    was_cut_off = is_cut_off(scheduler.links)
    apply_link_check(scheduler.links, is_reached=is_reached, now_s=now_s)
    if was_cut_off and is_reached:
        scheduler.counters['links', 'restored'] += 1
        pop_deferred(scheduler.links)
    _update_phase(scheduler, events, now_s)
    for target in scheduler.queues:
        events.extend(dispatch_queued(scheduler, target, now_s))
    return events


def watch_links(
    scheduler: Scheduler, events: list[Event], now_s: float
) -> None:
    """Do the periodic work: notice silence, and act on a cut."""
    if not scheduler.flags['checks_links']:
        return
    if is_probe_due(scheduler.links, now_s) or _is_silent(scheduler, now_s):
        _start_check(scheduler, events, now_s)
    _update_phase(scheduler, events, now_s)
    if is_cut_off(scheduler.links):
        _refuse_unserved(scheduler, events, now_s)


def _is_silent(scheduler: Scheduler, now_s: float) -> bool:
    """Return whether an attempt waits and no upstream has sent anything."""
    links = scheduler.links
    since_s = now_s - SILENCE_S
    checked_at_s = links.status['checked_at_s']
    if has_contact_since(links, since_s):
        return False
    if now_s - checked_at_s < SILENCE_CHECK_INTERVAL_S:
        return False
    return any(
        state.attempt is not None and state.attempt.started_at_s < since_s
        for state in scheduler.requests.values()
    )


def _start_check(
    scheduler: Scheduler, events: list[Event], now_s: float
) -> None:
    """Check the links, unless a check is running."""
    addresses = [
        upstream.spec.address for upstream in scheduler.upstreams.values()
    ]
    if addresses and begin_check(scheduler.links, now_s):
        count = min(CHECKED_MAX, len(addresses))
        chosen = scheduler.random.sample(addresses, count)
        events.append(CheckLinks(tuple(chosen)))


def _update_phase(
    scheduler: Scheduler, events: list[Event], now_s: float
) -> None:
    """Decide on the deferred failures, and whether this VM is cut off."""
    was_cut_off = is_cut_off(scheduler.links)
    if update_phase(scheduler.links, now_s):
        _record_deferred(scheduler, events, now_s)
    if is_cut_off(scheduler.links) and not was_cut_off:
        scheduler.counters['links', 'cut_off'] += 1


def _record_deferred(
    scheduler: Scheduler, events: list[Event], now_s: float
) -> None:
    for deferred in pop_deferred(scheduler.links):
        record_failed_attempt(
            scheduler, events, deferred.state, deferred.failure, now_s
        )


def _refuse_unserved(
    scheduler: Scheduler, events: list[Event], now_s: float
) -> None:
    """Take back from their upstreams what another VM may still serve.

    That is what has not been sent, and what may be sent again.  It is refused
    with `CutOffError`, and so is what waits in a queue.
    """
    pop_deferred(scheduler.links)
    for state in list(scheduler.requests.values()):
        if state.attempt is not None:
            if not _may_end_attempt(scheduler, state, now_s):
                continue
            requeue(scheduler, events, state)
        _refuse(scheduler, events, scheduler.requests[state.request.request_id])


def _may_end_attempt(
    scheduler: Scheduler, state: RequestState, now_s: float
) -> bool:
    """Return whether an attempt may be ended for one at another VM."""
    attempt = state.attempt
    if attempt is None or not attempt.sent:
        return True
    since_s = max(attempt.started_at_s, now_s - SILENCE_S)
    if now_s - since_s < SILENCE_S or has_contact_since(
        scheduler.links, since_s
    ):
        return False
    ended = end_attempt(state)
    if not may_retry(ended, AttemptFailure('silent'), now_s):
        return False
    consume = retry_budgets.find(scheduler.options.retry_budget)
    return consume(scheduler, state, now_s)


def _refuse(
    scheduler: Scheduler, events: list[Event], state: RequestState
) -> None:
    error = CutOffError(
        'the VM reaches no upstream',
        run=execution_status(state),
        retry_after_s=RETRY_AFTER_S,
        attempts_left=state.request.executions_max - state.executions,
    )
    refuse(scheduler, events, state, error)
