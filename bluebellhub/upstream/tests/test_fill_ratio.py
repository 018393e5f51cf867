"""How many slots of an upstream are used that must reject little."""

import pytest

from bluebellhub.upstream import fill_ratio


@pytest.mark.parametrize(
    ('slots', 'hold_s', 'rejections_per_s', 'expected'),
    [
        (8, 1.0, 8.0, 0.8),
        (8, 1.0, 2.0, 0.55),
        (8, 1.0, 0.0, 0.1),
        (1, 1.0, 1.0, 0.4),
        (6, 0.02, 10.0, 0.3),
        (6, 0.02, 1.0, 0.2),
        (0, 1.0, 1.0, 0.8),
        # An absurd number of slots must not keep the loop busy.
        (10**9, 0.02, 1.0, 0.8),
    ],
)
def test_slots_are_filled_as_far_as_few_requests_are_rejected(
    slots, hold_s, rejections_per_s, expected
):
    assert fill_ratio(slots, hold_s, rejections_per_s) == expected
