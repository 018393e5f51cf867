"""Latency predictions for one request at one upstream."""

from bluebellhub.rates import request_rate_per_s
from bluebellhub.request import RequestState
from bluebellhub.routing import Candidate, cached_blocks
from bluebellhub.routing.output_length import expected_tokens
from bluebellhub.routing.prefix import BLOCK_TOKENS
from bluebellhub.scheduler.credit import share_of
from bluebellhub.scheduler.leaving import leave_terms
from bluebellhub.scheduler.shares import slot_wait_s
from bluebellhub.scheduler.state import Scheduler, upstreams_for
from bluebellhub.upstream import (
    Upstream,
    predict_first_token_s,
    predict_step_s,
)

__all__ = [
    'idle_first_token_s',
    'is_hopeless',
    'make_candidate',
    'unreported_requests',
]


def make_candidate(
    scheduler: Scheduler,
    state: RequestState,
    upstream: Upstream,
    now_s: float,
    unreported: float = 0.0,
) -> Candidate:
    """Predict the latencies of the request; cached blocks need no prefill.

    ``unreported`` is the number of requests that the upstream probably got
    since its load was reported.
    """
    request = state.request
    name = upstream.spec.name
    cached = cached_blocks(scheduler.prefixes, name, request.prefix_blocks)
    uncached = max(0, request.prompt_tokens - cached * BLOCK_TOKENS)
    predicted_s = predict_first_token_s(upstream, uncached, now_s)
    slots = upstream.window.slots
    work = len(upstream.work) + upstream.other_vms_work
    terms = leave_terms(scheduler, request, upstream)
    first_s = predicted_s * upstream.speed.delay_ratio + terms.round_trip_s
    first_s += slot_wait_s(share_of(scheduler, request.target), upstream, now_s)
    domain = scheduler.flags['failure_domain']
    return Candidate(
        name,
        len(upstream.work),
        predicted_s,
        uncached,
        resumed=state.first_token_at_s is not None,
        load=work / slots,
        first_s=first_s,
        finish_s=first_s + _decode_time_s(scheduler, state, upstream, now_s),
        is_local=upstream.spec.failure_domain == domain,
        has_failed=state.last_upstream == name,
        free_slots=max(1, slots - work),
        is_late=now_s + first_s > request.first_due_s,
        unreported=unreported,
        error_ratio=upstream.error_ratio,
        stay_share=terms.stay_share,
        domain_part=terms.part,
        bytes_cost=terms.cost,
    )


def unreported_requests(
    scheduler: Scheduler, target: str, upstream_count: int, now_s: float
) -> float:
    """Estimate how many requests an upstream got since its load was reported.

    All VMs are assumed to get as many requests as this one.
    """
    rate_per_s = request_rate_per_s(scheduler.retries, target, now_s)
    fleet_per_s = rate_per_s * scheduler.flags['vm_count']
    return fleet_per_s * scheduler.flags['report_age_s'] / upstream_count


def _decode_time_s(
    scheduler: Scheduler,
    state: RequestState,
    upstream: Upstream,
    now_s: float,
) -> float:
    """Predict the seconds from the first to the last token."""
    request = state.request
    if request.output_tokens <= 1:
        return 0.0
    tokens = expected_tokens(
        scheduler.lengths, request.account, request.route, request.output_tokens
    )
    left = max(0, tokens - state.tokens)
    return left * predict_step_s(upstream, now_s)


def idle_first_token_s(scheduler: Scheduler, state: RequestState) -> float:
    """Predict the seconds to the first token on the best upstream if idle."""
    request = state.request
    if request.prompt_tokens == 0:
        return 0.0
    predictions = []
    for upstream in upstreams_for(scheduler, request.target):
        cached = cached_blocks(
            scheduler.prefixes, upstream.spec.name, request.prefix_blocks
        )
        uncached = max(0, request.prompt_tokens - cached * BLOCK_TOKENS)
        prefill_s = uncached / upstream.speed.prefill_max_tokens_per_s
        predictions.append(prefill_s)
    return min(predictions, default=0.0)


def is_hopeless(
    scheduler: Scheduler, state: RequestState, now_s: float
) -> bool:
    """Return whether even an idle upstream is too slow for the objective."""
    first_s = idle_first_token_s(scheduler, state)
    return now_s + first_s > state.request.first_due_s
