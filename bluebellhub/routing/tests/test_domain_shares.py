"""Leaving the failure domain: decisions, and what they achieve in a fleet."""

from statistics import mean

import pytest

from bluebellhub.routing.domain_shares import (
    link_of,
    make_domain_shares,
    may_leave,
    set_decision,
)
from bluebellhub.routing.domains import DomainLoad, decide_shares
from bluebellhub.routing.links import (
    Link,
    is_trusted,
    record_bad_response,
    record_in_time,
)
from bluebellhub.routing.tests.domain_fleet import Fleet, simulate

CALM = DomainLoad('there', slots=20, used=4, offered=4)
SHORT = DomainLoad('here', slots=20, used=20, offered=30)


def take_turns(now_s):
    """Return loads where two domains are overloaded for 5 s in turn."""
    return (1.5, 0.4, 0.4) if now_s // 5 % 2 == 0 else (0.4, 1.5, 0.4)


PLAIN = Fleet((0.5,) * 3, upstreams=1, slots=6, work_s=0.25)
MESH = Fleet(
    (1.5, 0.4, 0.4), vms=3, local_age_s=0.1, remote_age_s=0.1, decision_s=0.15
)


@pytest.mark.parametrize(
    ('here', 'there', 'reason', 'slots'),
    [
        (CALM._replace(domain='here'), CALM, 'spare', 3.25),
        (SHORT, CALM, 'short', 3.25),
        (SHORT, CALM._replace(offered=17), 'full', 0.0),
        (SHORT, CALM._replace(used=17), 'short', 0.0),
        (SHORT, CALM._replace(used=17, sent=9), 'short', 0.0),
        (SHORT, CALM._replace(age_s=2.0), 'stale', 0.0),
        (SHORT, CALM._replace(is_out=True), 'out', 0.0),
        (SHORT, CALM._replace(slots=0), 'none', 0.0),
        (SHORT._replace(slots=0), CALM, 'no_local', 13.0),
        (SHORT._replace(slots=0), CALM._replace(age_s=9.0), 'no_local', 13.0),
    ],
)
def test_reason_and_slots_follow_the_reports(here, there, reason, slots):
    pair = decide_shares(here, [there]).pairs['there']
    assert (pair.reason, pair.slots) == (reason, pytest.approx(slots))


def test_grants_rise_by_a_quarter_at_each_report_and_fall_at_once():
    """Guards against domains that take all free slots of one old report."""
    decision = None
    granted = []
    for offered, age_s in ((4, 0.1), (4, 0.3), (4, 0.1), (16, 0.1)):
        there = CALM._replace(offered=offered, age_s=age_s)
        decision = decide_shares(SHORT, [there], decision)
        granted.append(decision.pairs['there'].slots)
    assert granted == pytest.approx([3.25, 3.25, 6.5, 1.0])


def test_domains_that_are_short_divide_the_free_slots_by_need():
    third = SHORT._replace(domain='third', offered=43)
    pair = decide_shares(SHORT, [CALM, third]).pairs['there']
    assert pair.part == pytest.approx(13 / 39)


def test_share_bounds_how_many_requests_leave():
    shares = make_domain_shares()
    set_decision(shares, 's', decide_shares(SHORT, [CALM]), 0.0)
    ids = [str(number) for number in range(1000)]
    left = [name for name in ids if may_leave(shares, 's', 'there', name, 1.0)]
    assert len(left) == pytest.approx(250, abs=50)
    shares.links['there'] = Link(proofs=3, bad=(('u', 0.0),))
    left = [name for name in ids if may_leave(shares, 's', 'there', name, 1.0)]
    assert len(left) == pytest.approx(25, abs=20)


@pytest.mark.parametrize(
    ('bad', 'count', 'in_time', 'trusted'),
    [
        ([('a', 0.0)], 2, 0, True),
        ([('a', 0.0), ('a', 1.0)], 2, 0, True),
        ([('a', 0.0), ('b', 1.0)], 2, 2, False),
        ([('a', 0.0), ('b', 1.0)], 2, 3, True),
        ([('a', 0.0), ('b', 31.0)], 2, 0, True),
        ([('a', 0.0), ('a', 1.0)], 1, 0, False),
    ],
)
def test_link_is_suspect_until_three_responses_are_in_time(
    bad, count, in_time, trusted
):
    """A crashed upstream must not close the way to its whole domain."""
    link = link_of(make_domain_shares(), 'there')
    for upstream, at_s in bad:
        link = record_bad_response(link, upstream, count, at_s)
    for _ in range(in_time):
        link = record_in_time(link)
    assert is_trusted(link, bad[-1][1]) == trusted
    assert is_trusted(link, bad[-1][1] + 21.0)


def test_log_lines_of_a_pair_are_bounded():
    shares = make_domain_shares()
    full = CALM._replace(offered=17)
    logged = [
        at_s
        for at_s in range(30)
        if set_decision(
            shares, 's', decide_shares(SHORT, [(CALM, full)[at_s % 2]]), at_s
        )
    ]
    assert logged == [0, 11, 22]


@pytest.mark.parametrize(
    ('fleet', 'gain_min', 'crossed_max'),
    [
        pytest.param(Fleet((0.5,) * 3), -0.01, 0.03, id='usual load'),
        pytest.param(Fleet((1.5, 0.4, 0.4)), 0.0, 0.3, id='one pressed'),
        pytest.param(Fleet(take_turns), 0.0, 0.3, id='two in turn'),
        pytest.param(Fleet((0.5,) * 3, empty=(0,)), 0.0, 0.4, id='no local'),
        pytest.param(Fleet((1.3,) * 3), 0.05, 0.03, id='all pressed'),
        pytest.param(
            Fleet((0.45,) * 3, out={1: (6.0, 12.0)}), -0.01, 0.2, id='out'
        ),
        pytest.param(MESH, -0.02, 0.35, id='full mesh'),
        pytest.param(PLAIN, -0.01, 0.15, id='plain, usual load'),
        pytest.param(
            PLAIN._replace(loads=(1.5, 0.4, 0.4)), 0.05, 0.35, id='plain, one'
        ),
        pytest.param(
            PLAIN._replace(loads=take_turns), 0.05, 0.35, id='plain, in turn'
        ),
        pytest.param(
            PLAIN._replace(out={1: (6.0, 12.0)}), -0.01, 0.3, id='plain, out'
        ),
    ],
)
def test_more_are_in_time_and_fewer_cross_than_by_a_constant_preference(
    fleet, gain_min, crossed_max
):
    decided, constant = (
        [
            simulate(fleet, is_decided=is_decided, duration_s=15.0, seed=seed)
            for seed in range(4)
        ]
        for is_decided in (True, False)
    )
    in_time = mean(result.in_time for result in decided)
    assert in_time >= mean(result.in_time for result in constant) + gain_min
    crossed = mean(result.crossed for result in decided)
    assert crossed <= crossed_max
    assert crossed < mean(result.crossed for result in constant)


def test_nothing_crosses_on_reports_that_are_two_seconds_old():
    fleet = Fleet((1.5, 0.4, 0.4), remote_age_s=2.0)
    assert simulate(fleet, is_decided=True).crossed == 0.0


@pytest.mark.parametrize('seed', [1, 2])
def test_lossy_pair_gets_less_than_a_sound_one(seed):
    fleet = Fleet((1.5, 0.4, 0.4), lossy={(0, 1): 0.4})
    result = simulate(fleet, is_decided=True, duration_s=40.0, seed=seed)
    pairs = result.pairs
    assert pairs[0, 1] < 0.8 * pairs[0, 2]


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('age_s', [0.25, 0.5, 1.0])
def test_crossing_requests_do_not_oscillate(age_s, seed):
    """Guards against shares that swing between none and all."""
    fleet = Fleet((1.5, 0.4, 0.4), remote_age_s=age_s)
    result = simulate(fleet, is_decided=True, duration_s=30.0, seed=seed)
    settled = result.crossing[8:]
    windows = [settled[start : start + 4] for start in range(len(settled) - 3)]
    means = [mean(window) for window in windows]
    assert max(means) < 2.5 * mean(means)
    assert min(means) > 0.15 * mean(means)
