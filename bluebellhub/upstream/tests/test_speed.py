"""Learned speeds, and their merging between VMs."""

import pytest

from bluebellhub.upstream.speed import make_speed, merge_speeds, observe_prefill


def _make_speed(rate, observations):
    return make_speed(rate, 0.01)._replace(observations=observations)


@pytest.mark.parametrize(
    ('own', 'told', 'rate'),
    [
        ((100.0, 5), (200.0, 0), 100.0),
        ((100.0, 0), (200.0, 5), 200.0),
        ((100.0, 5), (200.0, 5), 150.0),
        ((100.0, 1), (200.0, 3), 175.0),
        ((100.0, 900), (200.0, 900), 150.0),
    ],
)
def test_merged_estimates_are_weighted_by_observations(own, told, rate):
    joined = merge_speeds(_make_speed(*own), _make_speed(*told))
    assert joined.prefill_tokens_per_s == pytest.approx(rate)
    assert joined.observations == own[1]


@pytest.mark.parametrize(
    ('tokens', 'min_tokens', 'is_learned'),
    [(100, 64, True), (100, 1500, False), (2000, 1500, True)],
)
def test_short_prompts_do_not_update_the_prefill_rate(
    tokens, min_tokens, is_learned
):
    before = make_speed(1000.0, 0.01)
    after = observe_prefill(before, tokens, 9.0, 0.1, min_tokens)
    changed = after.prefill_tokens_per_s != before.prefill_tokens_per_s
    assert changed is is_learned
    assert after.observations == 1
