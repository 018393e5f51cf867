"""Tests of the time after which callers should retry."""

from random import Random

import pytest

from bluebellhub.backpressure.retry_after import bounded_retry_s
from bluebellhub.site.tests.overloaded_engines import Load
from bluebellhub.site.tests.overloaded_fleet import simulate


@pytest.mark.parametrize(
    ('wait_s', 'remaining_s', 'least_s', 'most_s'),
    [
        (1.0, 9.0, 0.75, 1.0),
        (0.0, 9.0, 0.2, 0.27),
        (100.0, 9.0, 2.25, 3.0),
        (float('inf'), 3.0, 0.75, 1.0),
        (1.0, 0.3, 0.075, 0.1),
        (1.0, -5.0, 0.0, 0.0),
    ],
)
def test_retry_time_is_bounded_and_spread(wait_s, remaining_s, least_s, most_s):
    random = Random(1)
    times = [bounded_retry_s(wait_s, remaining_s, random) for _ in range(200)]
    assert min(times) >= least_s
    assert max(times) <= most_s
    assert len(set(times)) > 100 or most_s == 0.0


@pytest.mark.parametrize('seed', [1, 2])
def test_refused_callers_learn_when_to_retry(seed):
    """All were told to come back after 4 s, however much time they had."""
    result = simulate(Load(), seed=seed)
    assert len(result.retry_s) > 100
    for _, retry_s, left_s in result.retry_s:
        assert 0.0 < retry_s <= left_s / 3
        assert retry_s >= min(0.2, left_s / 4)
    times = [round(retry_s, 2) for _, retry_s, _ in result.retry_s]
    assert len(set(times)) > 50
