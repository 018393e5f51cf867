"""Replicas ordered, in virtual time, on a platform that starts them late."""

from math import sin
from random import Random
from typing import Any, NamedTuple

import pytest

from bluebellhub.scaling import (
    DomainDemand,
    ScalingBounds,
    make_scaling,
    observe_demand,
    order_ended,
    scale_orders,
)

BOUNDS = ScalingBounds(20, 47, 8.0)
SLOTS = 8.0
DOMAINS = ('brest', 'rennes', 'vannes')
STEP_S = 0.25


class Platform(NamedTuple):
    """Replicas by domain, those that start, and the orders given.

    ``options`` are the boot time and functions of the time: domains that are
    out or lost, a version move, and the outcome of a call.
    """

    replicas: dict[str, int]
    starting: list[tuple[float, str]]
    orders: list[tuple[float, str, int]]
    options: dict[str, Any]


def _execute(platform, order, now_s):
    """Change the replicas; those that are removed leave at once."""
    domain = order.domain
    waiting = [entry for entry in platform.starting if entry[1] == domain]
    missing = order.desired_count - platform.replicas[domain] - len(waiting)
    boot_s = platform.options.get('boot_s', BOUNDS.boot_s)
    platform.starting.extend([(now_s + boot_s, domain)] * max(0, missing))
    if missing < 0:
        platform.replicas[domain] += missing


def _start_replicas(platform, now_s):
    started = [entry for entry in platform.starting if entry[0] <= now_s]
    for entry in started:
        platform.starting.remove(entry)
        platform.replicas[entry[1]] += 1


def _observe(scaling, platform, demand, now_s):
    """Observe the demand; what finds no slot waits. Returns the shortage."""
    out = platform.options.get('out', lambda now_s: ())(now_s)
    lost = platform.options.get('lost', lambda now_s: ())(now_s)
    live = [name for name in DOMAINS if name not in {*out, *lost}]
    offered = demand(now_s) / len(live)
    short = 0.0
    for domain in DOMAINS:
        slots = platform.replicas[domain] * SLOTS
        used = min(offered, slots) if domain in live else 0.0
        queued = offered - used if domain in live else 0.0
        short += queued
        observed = DomainDemand(
            's',
            domain,
            used,
            queued,
            0 if domain in lost else platform.replicas[domain],
            SLOTS,
            domain in out,
            platform.options.get('is_moving', lambda now_s: False)(now_s),
        )
        observe_demand(scaling, observed, now_s)
    return short


def play(demand, until_s, replicas=20, **options):
    """Return the platform, and the shortage and replicas by moment."""
    platform = Platform(dict.fromkeys(DOMAINS, replicas), [], [], options)
    scaling = make_scaling()
    history = []
    for step in range(int(until_s / STEP_S)):
        now_s = step * STEP_S
        _start_replicas(platform, now_s)
        short = _observe(scaling, platform, demand, now_s)
        history.append((now_s, short, dict(platform.replicas)))
        orders = scale_orders(scaling, {'s': BOUNDS}, now_s)
        for order in orders[:1]:
            outcome = options.get('outcome', lambda now_s: 'accepted')(now_s)
            platform.orders.append((now_s, order.domain, order.desired_count))
            if outcome == 'accepted':
                _execute(platform, order, now_s)
            order_ended(scaling, order, now_s, outcome)
    return platform, history


def largest_shortage(history):
    return max(short for _, short, _ in history)


def counts_of(platform, domain='brest'):
    return [count for _, name, count in platform.orders if name == domain]


def steady(now_s):
    return 300.0


def busy(now_s):
    return 450.0


def wave(now_s):
    """Twice the demand and back within four minutes."""
    return 450.0 + 200.0 * sin(now_s / 38.0)


def burst(now_s):
    return 750.0 if 60.0 <= now_s < 75.0 else 300.0


def noise(now_s):
    """Requests that arrive independently of each other."""
    return max(0.0, Random(int(now_s)).gauss(400.0, 400.0**0.5))


def test_wave_is_followed_without_shortage():
    platform, history = play(wave, 240.0, replicas=30)
    assert largest_shortage(history) == 0.0
    counts = counts_of(platform)
    assert max(counts) <= 47 and min(counts) < 30
    # The replicas in use at the trough are fewer by a third than at the crest.
    assert min(counts) < max(counts) * 0.67


def test_burst_is_served_after_the_boot_time_and_kept_for_a_while():
    platform, history = play(burst, 200.0, replicas=24)
    late = [short for now_s, short, _ in history if now_s >= 70.5]
    assert max(late) == 0.0
    raised = max(counts_of(platform))
    kept = [state['brest'] for now_s, _, state in history if 72 < now_s < 98]
    assert raised > 31
    assert min(kept) >= raised
    down = [entry for entry in platform.orders if entry[1] == 'brest'][-6:]
    times_s = [now_s for now_s, _, _ in down]
    assert all(b - a >= 2.0 for a, b in zip(times_s, times_s[1:]))
    counts = [count for _, _, count in down]
    assert all(a - b <= max(1, a // 10) for a, b in zip(counts, counts[1:]))


def test_noise_orders_little():
    platform, _ = play(noise, 200.0, replicas=24)
    assert max(counts_of(platform)) <= 32
    assert len(platform.orders) < 60


@pytest.mark.parametrize('kind', ['out', 'lost'])
def test_lost_domain_is_held_by_the_others(kind):
    """The others have room for its work at once, and none is lowered."""

    def gone(now_s):
        return ('vannes',) if 60.0 <= now_s < 90.0 else ()

    platform, history = play(busy, 150.0, replicas=30, **{kind: gone})
    assert largest_shortage(history) == 0.0
    assert any(60 < at_s < 90 for at_s, _, _ in platform.orders)
    counts = [
        count
        for at_s, name, count in platform.orders
        if at_s < 120 and (name != 'vannes' or at_s > 60)
    ]
    assert min(counts) >= 29


def test_version_move_keeps_the_counts():
    platform, _ = play(steady, 120.0, replicas=40, is_moving=lambda now_s: True)
    assert not platform.orders


def test_replicas_above_the_need_are_removed_slowly():
    platform, history = play(steady, 120.0, replicas=40)
    assert {state['brest'] for at_s, _, state in history if at_s < 24} == {40}
    assert counts_of(platform)[:2] == [36, 33]
    assert counts_of(platform)[-1] == 20


@pytest.mark.parametrize(
    ('demand', 'last'),
    [(lambda now_s: 0.0, 20), (lambda now_s: 5000.0, 47)],
)
def test_bounds_are_kept_and_ordered_once(demand, last):
    platform, _ = play(demand, 90.0, replicas=last)
    assert not platform.orders
    platform, _ = play(demand, 90.0, replicas=25)
    assert counts_of(platform)[-1] == last
    assert len(set(counts_of(platform))) == len(counts_of(platform))


def test_slow_start_is_ordered_again_after_its_time():
    platform, _ = play(burst, 120.0, boot_s=30.0)
    times_s = [
        at_s
        for at_s, name, count in platform.orders
        if name == 'brest' and count == max(counts_of(platform))
    ]
    gaps_s = [b - a for a, b in zip(times_s, times_s[1:])]
    assert gaps_s and min(gaps_s) >= BOUNDS.boot_s + 4.0


@pytest.mark.parametrize('outcome', ['unanswered', 'busy'])
def test_order_without_response_is_repeated(outcome):
    platform, history = play(
        burst,
        74.0,
        replicas=30,
        outcome=lambda now_s: outcome if 60 < now_s < 63 else 'accepted',
    )
    times_s = [
        at_s
        for at_s, name, _ in platform.orders
        if name == 'brest' and 60 < at_s < 63
    ]
    assert 2 <= len(times_s) <= 3
    assert history[-1][2]['brest'] > 31


def test_unanswered_order_is_replaced_even_if_nothing_is_wanted_any_more():
    """It may have been executed, so the count is ordered once more."""
    scaling = make_scaling()
    demand = DomainDemand('s', 'brest', 100.0, 0.0, 25, SLOTS)
    peak = demand._replace(in_progress=300.0)
    sent = []
    for step in range(200):
        now_s = step * STEP_S
        observe_demand(scaling, peak if 20 <= step < 28 else demand, now_s)
        for order in scale_orders(scaling, {'s': BOUNDS}, now_s):
            outcome = 'unanswered' if step < 28 else 'accepted'
            sent.append(order.desired_count)
            order_ended(scaling, order, now_s, outcome)
    assert sent[0] > 25
    assert sent[-1] < sent[0]
    assert scaling.domains['s']['brest'].flags['ordered'] == sent[-1]
