"""Queue entries of requests."""

from bluebellhub.admission import Waiting
from bluebellhub.request import RequestState
from bluebellhub.routing.length import expected_tokens
from bluebellhub.scheduler.state import Scheduler, upstreams_for

__all__ = ['make_waiting']


def make_waiting(scheduler: Scheduler, state: RequestState) -> Waiting:
    """Create the queue entry of a request with its expected slot time."""
    ask = state.ask
    upstreams = upstreams_for(scheduler, ask.target)
    speed = upstreams[0].speed
    tokens = expected_tokens(
        scheduler.lengths, ask.account, ask.route, ask.output_tokens
    )
    contract = scheduler.contracts.get(ask.account)
    weight = ask.tier.weight
    if contract is not None:
        weight *= contract.weight
    prefill_s = ask.prompt_tokens / speed.prefill_tokens_per_s
    decode_s = max(0, tokens - state.tokens) * speed.step_s
    return Waiting(
        ask.deadline_s,
        ask.request_id,
        ask.account,
        ask.tier.rank,
        prefill_s + decode_s,
        weight,
    )
