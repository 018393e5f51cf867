"""Tests of rate limits that upstreams state, on one VM and over all VMs."""

from itertools import pairwise
from random import Random

import pytest

from bluebellhub.backpressure import (
    RateShare,
    StatedLimit,
    forget_limits,
    is_within_limit,
    make_rate_limits,
    merge_limit,
    rate_share,
    record_limited_send,
    record_stated_limit,
    refresh_shares,
)
from bluebellhub.backpressure.rate_limit import whole_limit

WINDOW_S = 4.0
STEP_S = 0.01


def _allowed(limit_per_s):
    """Return how many requests may arrive in a window."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def _make_vm(name, names):
    """Return the limits of one VM of several."""
    return make_rate_limits(
        lambda upstream, per_s: rate_share(upstream, per_s, name, names)
    )


def _limits(*statements, upstream='u'):
    limits = make_rate_limits()
    for stated in statements:
        record_stated_limit(limits, upstream, stated)
    return limits


@pytest.mark.parametrize('limit_per_s', [0.0, 0.1, 0.7, 1.0, 4.5, 30.0])
@pytest.mark.parametrize('count', [1, 3, 8, 60, 195])
@pytest.mark.parametrize('demand_ratio', [1.0, 5.0])
def test_all_vms_together_keep_the_limit(limit_per_s, count, demand_ratio):
    names = [f'hub-{number}' for number in range(count)]
    random = Random(count)
    fleet = [_make_vm(name, names) for name in names]
    for limits in fleet:
        record_stated_limit(limits, 'u', StatedLimit('1', limit_per_s, 0.0))
    sent_at_s = []
    chance = demand_ratio * max(limit_per_s, 1.0) * STEP_S / count
    for step in range(3000):
        now_s = step * STEP_S
        for limits in fleet:
            wants_to_send = random.random() < max(chance, 0.02)
            if wants_to_send and is_within_limit(limits, 'u', '1', now_s):
                record_limited_send(limits, 'u', now_s)
                sent_at_s.append(now_s)
    worst = max(
        sum(start_s <= at_s < start_s + WINDOW_S for at_s in sent_at_s)
        for start_s in sent_at_s
    )
    assert worst <= _allowed(limit_per_s)
    # The limit is used: nine tenths of it, but for the first window's burst.
    assert len(sent_at_s) >= 0.9 * 30.0 * limit_per_s - _allowed(limit_per_s)
    assert sent_at_s


@pytest.mark.parametrize(
    ('statements', 'incarnation', 'is_limited'),
    [
        ([], '1', False),
        ([StatedLimit('1', None, 0.0)], '1', False),
        ([StatedLimit('1', 0.5, 0.0)], '1', True),
        ([StatedLimit('1', 0.5, 0.0), StatedLimit('1', None, 1.0)], '1', False),
        ([StatedLimit('1', None, 0.0), StatedLimit('1', 0.5, 1.0)], '1', True),
        # A new start has stated nothing, and what a former start stated late
        # does not replace what the new one states.
        ([StatedLimit('1', 0.5, 0.0)], '2', False),
        ([StatedLimit('2', 0.5, 0.0), StatedLimit('1', None, 1.0)], '2', True),
    ],
)
def test_upstream_is_limited_as_long_as_it_states_it(
    statements, incarnation, is_limited
):
    limits = _limits(*statements)
    for _ in range(20):
        record_limited_send(limits, 'u', 1.0)
    assert is_within_limit(limits, 'u', incarnation, 1.0) is not is_limited


@pytest.mark.parametrize(
    ('known', 'reported', 'expected', 'has_changed'),
    [
        (None, StatedLimit('1', 2.0, 5.0), 2.0, True),
        (None, StatedLimit('1', None, 5.0), None, False),
        (StatedLimit('1', 2.0, 5.0), StatedLimit('1', 3.0, 6.0), 3.0, True),
        (StatedLimit('1', 2.0, 5.0), StatedLimit('1', 2.0, 6.0), 2.0, False),
        (StatedLimit('1', 2.0, 5.0), StatedLimit('1', 3.0, 4.0), 2.0, False),
        # A limit in doubt is kept: reports seem newer than they are.
        (StatedLimit('1', 2.0, 5.0), StatedLimit('1', None, 5.5), 2.0, False),
        (StatedLimit('1', 2.0, 5.0), StatedLimit('1', None, 6.5), None, True),
        (StatedLimit('1', None, 5.0), StatedLimit('1', 2.0, 5.1), 2.0, True),
        (StatedLimit('1', None, 5.0), StatedLimit('1', 2.0, 4.0), None, False),
        (StatedLimit('2', None, 5.0), StatedLimit('1', 2.0, 6.0), None, False),
        (StatedLimit('1', 2.0, 5.0), StatedLimit('2', 3.0, 4.0), 3.0, True),
    ],
)
def test_newer_statement_of_other_vms_counts(
    known, reported, expected, has_changed
):
    limits = make_rate_limits()
    if known is not None:
        merge_limit(limits, 'u', known)
    assert merge_limit(limits, 'u', reported) is has_changed
    assert limits.stated['u'].per_s == expected
    assert ('u' in limits.buckets) is (expected is not None)


@pytest.mark.parametrize(
    ('limits_per_s', 'wait_s'), [((1.0, 1.0), 1.0), ((1.0, 0.5), 2.0)]
)
def test_stated_again_the_limit_gives_no_new_burst(limits_per_s, wait_s):
    limits = _limits(StatedLimit('1', limits_per_s[0], 0.0))
    while is_within_limit(limits, 'u', '1', 0.0):
        record_limited_send(limits, 'u', 0.0)
    record_stated_limit(limits, 'u', StatedLimit('1', limits_per_s[1], 0.0))
    refresh_shares(limits)
    assert not is_within_limit(limits, 'u', '1', 0.9 * wait_s)
    assert is_within_limit(limits, 'u', '1', 1.1 * wait_s)


def test_share_follows_the_vms():
    names = ['a']
    limits = _make_vm('a', names)
    record_stated_limit(limits, 'u', StatedLimit('1', 8.0, 0.0))
    names.append('b')
    refresh_shares(limits)
    assert limits.buckets['u'].share == RateShare(4.0, 9.5)


def test_limits_of_removed_upstreams_are_forgotten():
    limits = _limits(StatedLimit('1', 2.0, 0.0))
    record_stated_limit(limits, 'kept', StatedLimit('1', 2.0, 0.0))
    forget_limits(limits, ['kept', 'other'])
    assert list(limits.stated) == ['kept']
    assert list(limits.buckets) == ['kept']


@pytest.mark.parametrize('limit_per_s', [0.0, 0.2, 1.0, 7.3])
def test_shares_add_up_to_the_limit(limit_per_s):
    names = [f'hub-{number}' for number in range(40)]
    shares = [rate_share('u', limit_per_s, name, names) for name in names]
    total_per_s = sum(share.per_s for share in shares)
    assert total_per_s == pytest.approx(max(0.25, limit_per_s))
    assert sum(share.burst for share in shares) <= 2.0 * limit_per_s + 5
    bursts = sorted({share.burst for share in shares})
    assert all(lower == 0.0 for lower, _ in pairwise(bursts))
    assert whole_limit('u', limit_per_s).per_s == pytest.approx(total_per_s)
