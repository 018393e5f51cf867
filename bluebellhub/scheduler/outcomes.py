"""Outcomes of requests by route and version, to compare versions."""

from statistics import median
from typing import Final, NamedTuple

from bluebellhub.request import RequestState
from bluebellhub.scheduler.state import Scheduler, upstreams_for
from bluebellhub.upstream import Upstream, Work, is_cold
from bluebellhub.version_move.comparison import OutcomeCounts, RouteOutcomes
from bluebellhub.version_move.step_times import StepTotal, add_step

__all__ = [
    'record_outcome',
    'record_step',
    'route_outcomes',
    'was_abandoned',
    'was_slow',
]

SLOW_RATIO: Final = 1.8
SLOW_SLACK_S: Final = 0.1
STEP_SLACK_S: Final = 0.005
NOTICEABLE_SHARE: Final = 0.5


class ReferenceSpeed(NamedTuple):
    """The speed of upstreams with which a new version is compared."""

    prefill_tokens_per_s: float
    step_s: float


def record_outcome(
    scheduler: Scheduler, state: RequestState, version: str, *, bad: bool
) -> None:
    """Count the outcome of a request if its model has a version move."""
    target = state.request.target
    if target not in scheduler.moves:
        return
    key = (target, state.request.route, version)
    old = scheduler.outcome_counts.get(key, OutcomeCounts())
    scheduler.outcome_counts[key] = OutcomeCounts(
        old.requests + 1, old.bad + bad
    )


def was_abandoned(
    scheduler: Scheduler, state: RequestState, now_s: float
) -> bool:
    """Return whether a request ends because its upstream is silent.

    Its deadline has passed, or its caller has left.  That tells something of
    the version if the upstream had it, or sent nothing more of a stream, for
    longer than a slow first token takes.
    """
    attempt = state.attempt
    if attempt is None or not attempt.sent:
        return False
    upstream = scheduler.upstreams.get(attempt.upstream)
    if upstream is None or is_cold(upstream, now_s):
        return False
    work = upstream.work.get(state.request.request_id)
    gate = scheduler.moves.get(state.request.target)
    if work is None or gate is None:
        return False
    since_s = state.last_token_at_s
    if since_s is None:
        since_s = work.sent_at_s
    reference = _reference_speed(scheduler, upstream, gate.to_version)
    return now_s - since_s > _late_first_token_s(state, work, reference)


def record_step(
    scheduler: Scheduler, state: RequestState, now_s: float
) -> None:
    """Record a step if the request's model has a version move.

    It is the time since the last tokens, or, for a service, since the request
    was sent.  The first tokens of an engine depend on the prompt instead, and
    an upstream that is cold is slower than its version.
    """
    if state.attempt is None or state.request.target not in scheduler.moves:
        return
    name = state.attempt.upstream
    upstream = scheduler.upstreams.get(name)
    since_s = state.last_token_at_s
    if upstream is None or is_cold(upstream, now_s):
        return
    if upstream.spec.kind == 'service':
        since_s = state.attempt.started_at_s
    if since_s is not None:
        total = scheduler.step_totals.get(name, StepTotal())
        scheduler.step_totals[name] = add_step(total, now_s - since_s)


def route_outcomes(
    scheduler: Scheduler, target: str, from_version: str, to_version: str
) -> list[RouteOutcomes]:
    """Return this VM's cumulative outcome counts for a move, by route."""
    routes = {
        route for model, route, _ in scheduler.outcome_counts if model == target
    }
    return [
        RouteOutcomes(
            route,
            scheduler.outcome_counts.get(
                (target, route, from_version), OutcomeCounts()
            ),
            scheduler.outcome_counts.get(
                (target, route, to_version), OutcomeCounts()
            ),
        )
        for route in sorted(routes)
    ]


def was_slow(
    scheduler: Scheduler, state: RequestState, work: Work, now_s: float
) -> bool:
    """Return whether a response was slow compared with other versions.

    These are versions other than the move's new one, on the same hardware.
    The time to the first token is compared with the time that their learned
    speed predicts for the same backlog, and the time between tokens with
    theirs.  Delays shorter than half of the tier's latency limits do not
    count as slow.
    """
    gate = scheduler.moves.get(state.request.target)
    first_s = state.first_token_at_s
    if gate is None or first_s is None or state.attempt is None:
        return False
    upstream = scheduler.upstreams[state.attempt.upstream]
    reference = _reference_speed(scheduler, upstream, gate.to_version)
    took_s = first_s - work.sent_at_s
    if took_s > _late_first_token_s(state, work, reference):
        return True
    if state.tokens < 2:
        return False
    between_s = (now_s - first_s) / (state.tokens - 1)
    return between_s > max(
        SLOW_RATIO * reference.step_s + STEP_SLACK_S,
        NOTICEABLE_SHARE * state.request.tier.between_tokens_s,
    )


def _late_first_token_s(
    state: RequestState, work: Work, reference: ReferenceSpeed
) -> float:
    """Return after how many seconds the first token counts as slow."""
    prefill_s = work.work_tokens / reference.prefill_tokens_per_s
    return max(
        SLOW_RATIO * (prefill_s + reference.step_s) + SLOW_SLACK_S,
        NOTICEABLE_SHARE * state.request.tier.first_token_s,
    )


def _reference_speed(
    scheduler: Scheduler, upstream: Upstream, to_version: str
) -> ReferenceSpeed:
    """Return the median prefill rate and step time of comparable upstreams.

    These run another version on the same hardware.  If there are none, the
    values from the upstream's settings are returned.
    """
    speeds = [
        peer.speed
        for target in upstream.spec.targets
        for peer in upstreams_for(scheduler, target)
        if peer.spec.hardware == upstream.spec.hardware
        and peer.spec.version != to_version
    ]
    if not speeds:
        spec = upstream.spec
        return ReferenceSpeed(spec.prefill_tokens_per_s, spec.step_s)
    return ReferenceSpeed(
        median(speed.prefill_tokens_per_s for speed in speeds),
        median(speed.step_s for speed in speeds),
    )
