"""Routing policies, prefix index and estimates of the output length."""

from random import Random

import pytest

from bluebellhub.errors import UnknownEntryError
from bluebellhub.routing import (
    Candidate,
    cached_blocks,
    correct_blocks,
    make_prefix_index,
    policies,
    record_blocks,
)
from bluebellhub.routing.cache_events import CacheEvent, apply_cache_events
from bluebellhub.routing.output_length import (
    expected_tokens,
    make_lengths,
    record_length,
)

CANDIDATES = (
    Candidate('a', 5, 0.9, 10),
    Candidate('b', 1, 0.5, 10),
    Candidate('c', 3, 0.1, 10),
)


@pytest.mark.parametrize(
    ('policy', 'chosen'),
    [('predicted', {'c'}), ('least_outstanding', {'b'})],
)
def test_deterministic_policies_choose_the_best_candidate(policy, chosen):
    choose = policies.find(policy)
    picked = {
        choose(CANDIDATES, Random(seed), 0).upstream for seed in range(20)
    }
    assert picked == chosen


@pytest.mark.parametrize('policy', policies.names())
def test_every_policy_returns_one_of_the_candidates(policy):
    choose = policies.find(policy)
    for count in (1, 2, 3):
        chosen = choose(CANDIDATES[:count], Random(1), 4)
        assert chosen in CANDIDATES[:count]


def test_near_ties_are_broken_at_random():
    tied = tuple(Candidate(name, 0, 0.1, 10) for name in 'abcd')
    choose = policies.find('predicted')
    picked = {choose(tied, Random(seed), 0).upstream for seed in range(40)}
    assert len(picked) == 4


def test_the_error_for_an_unknown_policy_lists_the_known_ones():
    with pytest.raises(UnknownEntryError, match='round_robin'):
        policies.find('fastest')


@pytest.mark.parametrize(
    ('learned', 'asked', 'expected'),
    [
        ((), (1, 2), 0),
        ((1, 2, 3), (1, 2, 9), 2),
        ((1, 2, 3), (9, 2, 3), 0),
        ((1, 2, 3), (1, 2, 3, 4), 3),
    ],
)
def test_only_leading_blocks_count_as_cached(learned, asked, expected):
    index = make_prefix_index()
    record_blocks(index, 'u', learned)
    assert cached_blocks(index, 'u', asked) == expected


def test_cached_token_counts_correct_the_index():
    index = make_prefix_index()
    record_blocks(index, 'u', (1, 2, 3, 4))
    correct_blocks(index, 'u', (1, 9), cached_tokens=0)
    assert cached_blocks(index, 'u', (1, 9)) == 2
    correct_blocks(index, 'u', (5, 6), cached_tokens=64)
    assert cached_blocks(index, 'u', (5, 6)) == 2


@pytest.mark.parametrize(
    ('events', 'newest', 'expected'),
    [
        ([], 0, 2),
        ([CacheEvent(1, (3,), ())], 1, 3),
        ([CacheEvent(1, (), (2,))], 1, 1),
        ([CacheEvent(5, (1,), ())], 5, 1),
        ([CacheEvent(1, (3,), ()), CacheEvent(1, (), (1,))], 1, 3),
    ],
)
def test_cache_events_update_the_index(events, newest, expected):
    index = make_prefix_index()
    record_blocks(index, 'u', (1, 2))
    assert apply_cache_events(index, 'u', 0, events) == newest
    assert cached_blocks(index, 'u', (1, 2, 3)) == expected


def test_the_least_recently_used_blocks_are_evicted():
    index = make_prefix_index(blocks_max=3)
    record_blocks(index, 'u', (1, 2, 3, 4, 5))
    assert list(index.blocks['u']) == [3, 4, 5]


@pytest.mark.parametrize(
    ('lengths', 'asked', 'expected'),
    [
        ([], 500, 500),
        ([20] * 10, 500, 32),
        ([20] * 10, 10, 10),
        ([20] * 10 + [2000] * 10, 5000, 2048),
    ],
)
def test_output_length_is_estimated_by_quantile(lengths, asked, expected):
    known = make_lengths()
    for tokens in lengths:
        record_length(known, 'a', 'r', tokens)
    assert expected_tokens(known, 'a', 'r', asked) == expected


def _make_candidate(name, first_s, finish_s, load=0.0, is_local=True):
    return Candidate(
        name, 0, first_s, 10, False, load, first_s, finish_s, is_local
    )


@pytest.mark.parametrize(
    ('first', 'second', 'chosen'),
    [
        (('u1', 0.1, 1.0), ('u2', 0.4, 0.8), 'u1'),
        (('u1', 0.1, 3.0), ('u2', 0.1, 1.0), 'u2'),
        (('u1', 0.1, 1.0, 0.9), ('u2', 0.1, 1.0, 0.1), 'u2'),
        (('u1', 0.01, 0.01, 0.0, False), ('u2', 0.01, 0.01), 'u2'),
        (('u1', 0.01, 0.01, 0.0, False), ('u2', 0.2, 0.2), 'u1'),
    ],
)
def test_soonest_gives_the_first_token_most_weight(first, second, chosen):
    candidates = [_make_candidate(*first), _make_candidate(*second)]
    choose = policies.find('soonest')
    assert choose(candidates, Random(1), 0).upstream == chosen
