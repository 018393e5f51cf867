"""Tests of the shares of client accounts when capacity is short."""

import pytest

from bluebellhub.scheduler.account_shares import fair_rate_per_s
from bluebellhub.scheduler.shares import count_arrival, make_target_share
from bluebellhub.site.tests.overloaded_engines import Load
from bluebellhub.site.tests.overloaded_fleet import simulate

CALM = {'a': 1.0, 'b': 1.0, 'c': 1.0, 'd': 1.0}


@pytest.mark.parametrize(
    ('asked', 'ratio', 'expected'),
    [
        ({'a': 10, 'b': 10}, 0.5, {'a': 2.5, 'b': 2.5}),
        ({'a': 2, 'b': 18}, 0.5, {'a': 1.0, 'b': 4.0}),
        ({'a': 4, 'b': 6, 'c': 30}, 0.5, {'a': 2.0, 'b': 3.0, 'c': 5.0}),
        ({'a': 16, 'b': 16, 'c': 8}, 0.6, {'a': 4.0, 'b': 4.0, 'c': 4.0}),
        ({'a': 4}, 0.25, {'a': 0.5}),
    ],
)
def test_capacity_is_shared_by_max_min_fairness(asked, ratio, expected):
    share = make_target_share()
    for account, count in asked.items():
        for _ in range(count):
            count_arrival(share, 0, account, (100, 10), 1.0)
    rates = {
        account: fair_rate_per_s(share, ratio, 0, account, 1.0)
        for account in asked
    }
    assert rates == pytest.approx(expected)


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize(
    ('senders', 'hasty'),
    [({**CALM, 'a': 8.0}, ()), ({**CALM, 'a': 8.0}, ('a',))],
)
def test_account_that_sends_more_bears_the_cost(senders, hasty, seed):
    """All accounts were late alike while one sent eight times its share."""
    load = Load(low=1.7, high=1.7, senders=senders, hasty=hasty)
    result = simulate(load, seed=seed)
    refused = {
        name: result.counts['refused', name] / result.counts['all', name]
        for name in senders
    }
    served = {
        name: result.counts['in_time', name] / result.counts['all', name]
        for name in senders
    }
    assert max(refused[name] for name in 'bcd') < 0.5 * refused['a']
    assert min(served[name] for name in 'bcd') > 1.3 * served['a']
    assert served['a'] >= 0.25 * result.in_time
