"""What a failed attempt tells of its upstream, its link and its prompt."""

from typing import Final

from bluebellhub.backpressure import record_pause
from bluebellhub.request import Attempt, AttemptFailure, RequestState
from bluebellhub.routing.prefix import forget_upstream
from bluebellhub.scheduler import leaving
from bluebellhub.scheduler.crashes import suspect_prompt
from bluebellhub.scheduler.events import Event, Probe
from bluebellhub.scheduler.outcomes import record_outcome
from bluebellhub.scheduler.state import Scheduler, signals_of
from bluebellhub.upstream import Upstream, record_failure

__all__ = ['record_failed_attempt', 'record_restart']

RESTART_KINDS: Final = frozenset(('connect_failed',))
UPSTREAM_FAULT_KINDS: Final = frozenset(
    ('connect_failed', 'silent', 'upstream_error', 'misdirected'),
)
# For how long an upstream that must reject little gets nothing from a VM whose
# request it has rejected.
REJECTED_PAUSE_S: Final = 1.0
BAD_OUTCOME_KINDS: Final = frozenset(
    (
        'abandoned',
        'answered_error',
        'cut',
        'silent',
        'upstream_error',
        'mismatch',
    ),
)


def record_failed_attempt(
    scheduler: Scheduler,
    events: list[Event],
    state: RequestState,
    failure: AttemptFailure,
    now_s: float,
) -> None:
    """Record a failed attempt for its upstream; probe it if it is silent.

    ``state`` is that of the request while the attempt ran.
    """
    if state.attempt is None:
        return
    name = state.attempt.upstream
    upstream = scheduler.upstreams.get(name)
    if upstream is None:
        return
    if failure.kind in BAD_OUTCOME_KINDS:
        record_outcome(scheduler, state, upstream.spec.version, bad=True)
    _pause_after_rejection(scheduler, state.attempt, upstream, failure, now_s)
    leaving.record_link_failure(scheduler, upstream, failure.kind, now_s)
    if failure.kind in UPSTREAM_FAULT_KINDS:
        restarted = failure.kind in RESTART_KINDS
        scheduler.upstreams[name] = record_failure(
            upstream, now_s, restarted=restarted
        )
        if restarted:
            record_restart(scheduler, name, now_s)
    if failure.kind == 'silent' and scheduler.options.probes_silent:
        events.append(Probe(name))
    suspect_prompt(scheduler, events, state, failure, now_s)


def _pause_after_rejection(
    scheduler: Scheduler,
    attempt: Attempt,
    upstream: Upstream,
    failure: AttemptFailure,
    now_s: float,
) -> None:
    """Send an upstream that must reject little nothing for a moment.

    An attempt that was given up before it was sent is no rejection.
    """
    if upstream.rejections_per_s is None:
        return
    if failure.kind == 'refused' and attempt.sent:
        record_pause(
            scheduler.pauses,
            upstream.spec.name,
            upstream.incarnation,
            REJECTED_PAUSE_S,
            now_s,
        )


def record_restart(scheduler: Scheduler, name: str, now_s: float) -> None:
    """Count a restart and forget the blocks that the upstream had cached."""
    signals = signals_of(scheduler, name)
    signals['restarts'] += 1
    signals['restarted_at_s'] = now_s
    forget_upstream(scheduler.prefixes, name)
