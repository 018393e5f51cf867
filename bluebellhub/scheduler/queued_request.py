"""Creation of queued requests."""

from bluebellhub.admission import QueuedRequest
from bluebellhub.request import RequestState
from bluebellhub.routing.output_length import expected_tokens
from bluebellhub.scheduler.state import Scheduler, upstreams_for

__all__ = ['make_queued_request']


def make_queued_request(
    scheduler: Scheduler, state: RequestState
) -> QueuedRequest:
    """Create the queue entry of a request, with its expected slot time."""
    request = state.request
    upstreams = upstreams_for(scheduler, request.target)
    speed = upstreams[0].speed
    tokens = expected_tokens(
        scheduler.lengths, request.account, request.route, request.output_tokens
    )
    contract = scheduler.contracts.get(request.account)
    weight = request.tier.weight
    if contract is not None:
        weight *= contract.weight
    prefill_s = request.prompt_tokens / speed.prefill_tokens_per_s
    decode_s = max(0, tokens - state.tokens) * speed.step_s
    return QueuedRequest(
        request.deadline_s,
        request.request_id,
        request.account,
        request.tier.rank,
        prefill_s + decode_s,
        weight,
    )
