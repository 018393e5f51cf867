"""True time from observations of other clocks, some of them wrong or old."""

import pytest

from bluebellhub.usage.true_time import (
    make_true_time,
    observe_reference,
    observe_wall,
    true_time_s,
)

NOW_S = 100.0
EPOCH_S = 1_767_225_600.0


def at(seen_s, error_s=0.0):
    """Return a clock's reading, and when it was received."""
    return EPOCH_S + seen_s + error_s, seen_s


# The error of this VM's wall clock, what it saw of other clocks and of the
# holder's true time, and the error of the result.
CASES = {
    'alone': (5.0, [], [], 5.0),
    'one other clock does not tell which is wrong': (5.0, [at(99)], [], 5.0),
    'two others do': (5.0, [at(99), at(99)], [], 0.0),
    'a small error is kept': (0.2, [at(99), at(99)], [], 0.2),
    'the others are too old': (5.0, [at(80), at(80)], [], 5.0),
    'one of the others is wrong': (5.0, [at(99, 5), *[at(99)] * 3], [], 0.0),
    'the others are wrong': (0.0, [at(99, 5), at(99)], [], 0.0),
    'the holder tells': (-5.0, [at(99, 5), at(99, 5)], [at(99)], 0.0),
    'what it told is too old': (-5.0, [], [at(80)], -5.0),
    'a message was delayed': (5.0, [], [at(97), at(99, -2)], 0.0),
    'a late message ends a freeze': (0.0, [], [at(99, -9), at(99.1)], 0.0),
}


@pytest.mark.parametrize('case', CASES)
def test_true_time(case):
    error_s, walls, references, expected_s = CASES[case]
    true_time = make_true_time()
    for number, (wall_s, seen_s) in enumerate(walls):
        observe_wall(true_time, f'hub-{number}', wall_s, seen_s)
    for reference_s, seen_s in references:
        observe_reference(true_time, reference_s, seen_s)
    true_s = true_time_s(true_time, NOW_S, EPOCH_S + NOW_S + error_s)
    assert true_s - NOW_S - EPOCH_S == pytest.approx(expected_s, abs=0.01)
