"""Time limits of an attempt for the first and the next byte."""

import pytest

from bluebellhub.adapters.time_limits import time_limits
from bluebellhub.contract import DEFAULT_TIERS
from bluebellhub.request import begin_attempt, make_request, make_request_state
from bluebellhub.settings import Limits
from bluebellhub.upstream import UpstreamSpec, add_work, make_upstream

TIERS = {tier.name: tier for tier in DEFAULT_TIERS}


def _make_attempt(tier, tokens, is_resumed):
    """Return a request's state and its upstream.

    The upstream's prefill needs 1 s per token.
    """
    spec = UpstreamSpec('u', '127.0.0.1:1', ('m',), 'd')
    upstream = make_upstream(
        spec._replace(prefill_tokens_per_s=1.0, step_s=0.001), warm=True
    )
    request = make_request('r', TIERS[tier], 'm', prompt_tokens=tokens)
    state = begin_attempt(make_request_state(request), 'u', 0.0)
    if is_resumed:
        state = state._replace(first_token_at_s=0.0, tokens=4)
    return state, add_work(upstream, 'r', 0, tokens, 0.0)


@pytest.mark.parametrize(
    ('tier', 'tokens', 'resumed', 'first_s'),
    [
        ('plan', 1, False, 31.0),
        ('check', 1, False, 2.18),
        ('plan', 0, False, 10.0),
        ('plan', 1, True, 5.0),
        ('check', 1, True, 5.0),
        ('plan', 4, True, 9.0),
    ],
)
def test_first_byte_limit_by_tier_and_resumption(
    tier, tokens, resumed, first_s
):
    limits = time_limits(Limits(), *_make_attempt(tier, tokens, resumed))
    assert limits.first_byte_s == pytest.approx(first_s, abs=0.01)
    assert limits.next_byte_s == pytest.approx(5.0)
