"""Tests of the comparison of versions by the time that a step takes."""

from random import Random

import pytest

from bluebellhub.version_move.step_times import (
    STEPS_MIN,
    UPSTREAMS_ENOUGH,
    StepTotal,
    is_slower,
    sum_step_totals,
)

# Relative speeds of the hardware, in turn over all upstreams.
HARDWARE = (0.55, 1.0, 2.8)
SLOW_RATIO = 2.5


def _totals(count, first, ratio, random):
    """Return the step times of upstreams; single ones differ by a fifth."""
    return [
        StepTotal(
            10,
            HARDWARE[number % 3] * ratio * random.uniform(0.8, 1.2),
        )
        for number in range(first, first + count)
    ]


@pytest.mark.parametrize('seed', range(20))
@pytest.mark.parametrize('count', [3, 5, 9, 18, 50])
@pytest.mark.parametrize(
    ('ratio', 'expected'), [(0.7, False), (1.0, False), (SLOW_RATIO, True)]
)
def test_slower_version_is_told_from_slower_hardware(
    ratio, expected, count, seed
):
    random = Random(seed)
    old = _totals(count, 0, 1.0, random)
    new = _totals(count, count, ratio, random)
    assert is_slower(old, new) is expected


@pytest.mark.parametrize(
    ('measured', 'count', 'expected'),
    [
        (2, 2, False),
        (2, 3, False),
        (3, 3, True),
        (3, 5, False),
        (4, 5, True),
        (UPSTREAMS_ENOUGH - 1, 50, False),
        (UPSTREAMS_ENOUGH, 50, True),
    ],
)
def test_too_few_measured_upstreams_decide_nothing(measured, count, expected):
    old = [StepTotal(STEPS_MIN, 0.1)] * 5
    slow = [StepTotal(STEPS_MIN, 1.0)] * measured
    unmeasured = [StepTotal(STEPS_MIN - 1, 1.0)] * (count - measured)
    assert is_slower(old, slow + unmeasured) is expected
    assert not is_slower(unmeasured[:1], slow)


def test_totals_of_several_vms_add_up():
    totals = [StepTotal(1, 0.5), StepTotal(), StepTotal(3, 1.0)]
    assert sum_step_totals(totals) == StepTotal(4, 1.5)
