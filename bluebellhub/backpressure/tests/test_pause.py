"""Pauses that upstreams ask for."""

import pytest

from bluebellhub.backpressure import (
    is_asked_to_wait,
    make_pauses,
    record_pause,
)
from bluebellhub.backpressure.pause import SPREAD_MAX_S


@pytest.mark.parametrize(
    ('pauses_s', 'random', 'ends_at_s'),
    [
        ([(0.0, 3.0)], 0.0, 3.0),
        ([(0.0, 3.0)], 0.99, 3.297),
        ([(0.0, 30.0)], 0.99, 30.0 + 0.99 * SPREAD_MAX_S),
        ([(0.0, 0.5)], 0.0, 0.5),
        ([(0.0, 3.0), (1.0, 1.0)], 0.0, 3.0),
        ([(0.0, 3.0), (1.0, 4.0)], 0.0, 5.0),
        ([(0.0, 1.0), (2.0, 1.0)], 0.0, 3.0),
    ],
)
def test_pause_lasts_as_long_as_asked_and_little_more(
    pauses_s, random, ends_at_s
):
    pauses = make_pauses(lambda: random)
    for at_s, pause_s in pauses_s:
        record_pause(pauses, 'u1', 'a', pause_s, at_s)
    last_s = pauses_s[-1][0]
    assert is_asked_to_wait(pauses, 'u1', 'a', last_s)
    assert is_asked_to_wait(pauses, 'u1', 'a', ends_at_s - 0.001)
    assert not is_asked_to_wait(pauses, 'u1', 'a', ends_at_s + 0.001)


def _least():
    return 0.0


def test_pause_ends_with_a_new_start_of_the_upstream():
    pauses = make_pauses(_least)
    record_pause(pauses, 'u1', 'a', 30.0, 0.0)
    assert not is_asked_to_wait(pauses, 'u1', 'b', 1.0)
    assert not is_asked_to_wait(pauses, 'u2', 'a', 1.0)


def test_ended_pauses_are_forgotten():
    pauses = make_pauses(_least)
    for number in range(100):
        record_pause(pauses, f'u{number}', 'a', 1.0, float(number))
    assert len(pauses.by_upstream) <= 2


def test_only_the_first_statement_of_a_pause_is_a_change():
    pauses = make_pauses(_least)
    assert record_pause(pauses, 'u1', 'a', 3.0, 0.0)
    assert not record_pause(pauses, 'u1', 'a', 3.0, 1.0)
    assert record_pause(pauses, 'u1', 'a', 3.0, 5.0)
