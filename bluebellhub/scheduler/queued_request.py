"""Creation of queued requests."""

from bluebellhub.admission import QueuedRequest
from bluebellhub.request import Request, RequestState
from bluebellhub.routing.output_length import expected_tokens
from bluebellhub.scheduler.state import Scheduler, upstreams_for

__all__ = ['make_queued_request']


def make_queued_request(
    scheduler: Scheduler, state: RequestState
) -> QueuedRequest:
    """Create the queue entry of a request, with its expected slot time."""
    request = state.request
    contract = scheduler.contracts.get(request.account)
    weight = request.tier.weight
    if contract is not None:
        weight *= contract.weight
    return QueuedRequest(
        _latest_start_s(scheduler, request),
        request.request_id,
        request.account,
        request.tier.rank,
        _expected_slot_time_s(scheduler, state),
        weight,
    )


def _latest_start_s(scheduler: Scheduler, request: Request) -> float:
    """Return the time by which requests of an account are ordered.

    Where VMs share the upstreams, this is when the prefill has to begin, so a
    large prompt goes before a small one that is due at the same time.
    """
    upstreams = upstreams_for(scheduler, request.target)
    if scheduler.options.discipline != 'shared' or not upstreams:
        return request.deadline_s
    rate = upstreams[0].speed.prefill_tokens_per_s
    return request.first_due_s - request.prompt_tokens / rate


def _expected_slot_time_s(scheduler: Scheduler, state: RequestState) -> float:
    """Predict for how many seconds the request will hold a slot.

    This is 0.0 while no upstream serves its target, as after a crash of all.
    """
    request = state.request
    upstreams = upstreams_for(scheduler, request.target)
    if not upstreams:
        return 0.0
    speed = upstreams[0].speed
    tokens = expected_tokens(
        scheduler.lengths, request.account, request.route, request.output_tokens
    )
    prefill_s = request.prompt_tokens / speed.prefill_tokens_per_s
    decode_s = max(0, tokens - state.tokens) * speed.step_s
    return prefill_s + decode_s
