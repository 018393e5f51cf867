"""The lowest rank while the engines are short of capacity for a while.

Guards against strict ranks: what a kind of request earned fell below the floor
that the users state for their days of high load.
"""

from operator import mul

import pytest

from bluebellhub.scheduler.rank_ratios import admission_ratio, make_balance
from bluebellhub.scheduler.shares import (
    count_arrival,
    make_target_share,
    set_other_demand,
)
from bluebellhub.site.tests.overloaded_engines import CHAT, LONG, SHORT, Load
from bluebellhub.site.tests.overloaded_fleet import simulate
from bluebellhub.site.tests.small_site import make_registration, make_small_site
from bluebellhub.site.upstreams import apply_registration

KINDS = (LONG, CHAT._replace(rank=1), SHORT._replace(rank=2))
FLOOR = 0.21
# What a late response is worth, in relation to one in time.
LATE_WORTH = 0.3
LONG_WORK = (6610, 378)
CHAT_WORK = (628, 288)
SHORT_WORK = (1800, 27)
# A kind that is served less often than this, compared with all, is starved.
STARVED_RATIO = 0.25
# As much work at an upstream as all VMs aim at.
FULL_WORK = 9
# Nothing that arrived at the start counts as demand any more.
LATER_S = 10.0


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('vms', [20, 70])
def test_lowest_rank_earns_its_floor_under_overload(vms, seed):
    result = simulate(Load(vms=vms, kinds=KINDS), seed=seed)
    counts = result.counts
    earned = counts['in_time', 'short'] + LATE_WORTH * counts['late', 'short']
    assert earned / counts['all', 'short'] >= FLOOR


def _make_share(per_s, works):
    """Return a share whose ranks ask for as much, from all VMs together."""
    share = make_target_share()
    for _ in range(50):
        for rank, work in works.items():
            count_arrival(share, rank, 'yard', work, 0.0)
    set_other_demand(share, per_s)
    return share


def _upstreams(count):
    site = make_small_site()
    for number in range(count):
        apply_registration(site, make_registration(f'u{number}', slots=8), 0.0)
    return [
        upstream._replace(other_vms_work=FULL_WORK)
        for upstream in site.scheduler.upstreams.values()
    ]


@pytest.mark.parametrize(
    ('per_s', 'works'),
    [
        ({0: 30.0, 1: 30.0}, {0: LONG_WORK, 1: SHORT_WORK}),
        ({0: 30.0, 1: 30.0}, {0: SHORT_WORK, 1: LONG_WORK}),
        (
            {0: 10.0, 1: 30.0, 2: 30.0},
            {0: LONG_WORK, 1: CHAT_WORK, 2: SHORT_WORK},
        ),
        (
            {0: 10.0, 1: 10.0, 2: 30.0},
            {0: LONG_WORK, 1: LONG_WORK, 2: SHORT_WORK},
        ),
        (
            {0: 30.0, 1: 40.0, 2: 60.0},
            {0: LONG_WORK, 1: CHAT_WORK, 2: SHORT_WORK},
        ),
        (
            {0: 60.0, 1: 80.0, 2: 120.0},
            {0: LONG_WORK, 1: CHAT_WORK, 2: SHORT_WORK},
        ),
        (
            {0: 10.0, 1: 60.0, 2: 80.0, 3: 120.0},
            {0: SHORT_WORK, 1: LONG_WORK, 2: CHAT_WORK, 3: SHORT_WORK},
        ),
    ],
)
def test_lowest_rank_is_not_starved_by_those_above(per_s, works):
    """Ranks were strict: the higher ones left nothing for the lowest."""
    share = _make_share(per_s, works)
    balance = make_balance(share, _upstreams(4), LATER_S)
    ratios = [
        min(1.0, admission_ratio(balance, rank)) for rank in sorted(works)
    ]
    assert ratios == sorted(ratios, reverse=True)
    served_per_s = sum(map(mul, ratios, per_s.values()))
    mean_ratio = served_per_s / sum(per_s.values())
    assert ratios[-1] >= STARVED_RATIO * mean_ratio
    assert ratios[-1] < 1


@pytest.mark.parametrize('low_per_s', [500.0, 5000.0, 50_000.0])
def test_flood_of_low_ranks_costs_the_top_rank_little(low_per_s):
    works = {0: LONG_WORK, **dict.fromkeys(range(1, 9), SHORT_WORK)}
    per_s = {0: 10.0, **dict.fromkeys(range(1, 9), low_per_s)}
    share = _make_share(per_s, works)
    balance = make_balance(share, _upstreams(4), LATER_S)
    assert admission_ratio(balance, 0) >= 0.8
