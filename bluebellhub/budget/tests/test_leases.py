"""Leased budgets: divisions, holders and owners."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellhub.budget import (
    LEASE_TERM_S,
    Demand,
    Grant,
    GrantBatch,
    Renewal,
    apply_grants,
    begin_renewal,
    divide,
    grant_lease,
    leased_amount,
    make_budget,
    make_holder,
    outstanding,
    revoke,
    set_limit,
    suspend_grants,
)


@pytest.mark.parametrize(
    ('division', 'limit', 'wanted', 'expected'),
    [
        ('real', 9.0, {'a': 1.0, 'b': 20.0}, {'a': 1.0, 'b': 8.0}),
        ('real', 9.0, {'a': 1.0, 'b': 2.0}, {'a': 4.0, 'b': 5.0}),
        ('whole', 4.0, {'a': 0.0, 'b': 4.0}, {'a': 0.0, 'b': 4.0}),
        ('whole', 1.0, {'a': 0.0, 'b': 1.0}, {'a': 0.0, 'b': 1.0}),
        ('copy', 0.05, {'a': 1.0, 'b': 1.0}, {'a': 0.05, 'b': 0.05}),
    ],
)
def test_division_returns_expected_shares(division, limit, wanted, expected):
    demands = {name: Demand(amount) for name, amount in wanted.items()}
    assert divide(division, 'k', limit, demands) == pytest.approx(expected)


@given(
    st.integers(0, 60),
    st.dictionaries(st.sampled_from('abcdefgh'), st.floats(0, 50), min_size=1),
)
def test_whole_shares_never_exceed_limit(limit, wanted):
    demands = {name: Demand(amount) for name, amount in wanted.items()}
    shares = divide('whole', 'k', float(limit), demands)
    assert sum(shares.values()) <= limit
    assert all(share == int(share) >= 0 for share in shares.values())


@pytest.mark.parametrize(
    ('answered_at_s', 'held_at_s', 'expected'),
    [(0.1, 0.2, 3.0), (1.5, 1.55, 3.0), (1.5, 1.7, 0.0), (2.0, 2.0, 0.0)],
)
def test_lease_term_starts_when_renewal_is_sent(
    answered_at_s, held_at_s, expected
):
    holder = make_holder()
    number = begin_renewal(holder, 0.0)
    batch = GrantBatch(number, 1, [Grant('k', 3.0, LEASE_TERM_S, 9.0)])
    apply_grants(holder, 'owner', batch, answered_at_s)
    assert leased_amount(holder, 'k', held_at_s) == expected


def test_duplicate_and_older_responses_are_dropped():
    holder = make_holder()
    first = begin_renewal(holder, 0.0)
    second = begin_renewal(holder, 0.5)
    newer = GrantBatch(second, 1, [Grant('k', 1.0, LEASE_TERM_S, 9.0)])
    older = GrantBatch(first, 1, [Grant('k', 8.0, LEASE_TERM_S, 9.0)])
    apply_grants(holder, 'owner', newer, 0.6)
    assert not apply_grants(holder, 'owner', older, 0.7)
    revoke(holder, 'k')
    assert not apply_grants(holder, 'owner', newer, 0.8)
    assert leased_amount(holder, 'k', 0.8) == 0.0


def _request_lease(budget, holder, now_s, number=1, **fields):
    default_fields = {'demand': 9.0, 'in_use': 0.0, 'held': 0.0}
    renewal = Renewal('k', held_for_s=1.0, **{**default_fields, **fields})
    granted = grant_lease(budget, holder, renewal, (number, number - 1), now_s)
    return None if granted is None else granted.amount


def test_owner_grants_at_most_the_remaining_limit():
    budget = make_budget('k', 'whole', 4.0)
    assert _request_lease(budget, 'a', 0.0) == 4.0
    assert _request_lease(budget, 'b', 0.1) == 0.0
    assert _request_lease(budget, 'a', 0.5, number=2, held=4.0) == 2.0
    assert _request_lease(budget, 'b', 0.6, number=2) == 0.0
    assert _request_lease(budget, 'a', 1.0, number=3, held=2.0) == 2.0
    assert _request_lease(budget, 'b', 1.1, number=3) == 2.0


def test_requests_in_progress_count_after_lease_expires():
    budget = make_budget('k', 'whole', 4.0)
    _request_lease(budget, 'a', 0.0)
    _request_lease(budget, 'a', 2.5, number=2, in_use=3.0, demand=3.0)
    assert _request_lease(budget, 'b', 4.3) == 1.0


def test_leases_above_a_smaller_limit_expire():
    budget = make_budget('k', 'whole', 8.0)
    _request_lease(budget, 'a', 0.0)
    cold = set_limit(budget, 2.0)
    assert _request_lease(cold, 'b', 0.5) == 0.0
    assert outstanding(cold, 1.7) == 0.0


@pytest.mark.parametrize(('now_s', 'expected'), [(1.0, None), (2.0, 4.0)])
def test_suspended_owner_grants_nothing(now_s, expected):
    budget = suspend_grants(make_budget('k', 'whole', 4.0), 2.0)
    assert _request_lease(budget, 'a', now_s) == expected
