"""An account's limit over a fleet whose VMs and messages fail.

The rule: in any window the fleet admits no more than the rate and the burst
allow, the overage and the slack added.
"""

import pytest

from bluebellhub.rates import QuotaBounds
from bluebellhub.site.state import Bounds
from bluebellhub.site.tests.simulated_fleet import (
    make_fleet,
    restart,
    run_fleet,
)
from bluebellhub.site.tests.small_site import YARD

WINDOW_S = 8.0
# As on the users' sites: the slack is about four seconds of the rate.
QUOTA = QuotaBounds(WINDOW_S, 0.1, 4000.0)
LIMIT = (YARD.rate_per_s * WINDOW_S + YARD.burst) * 1.1 + QUOTA.slack
DEMAND_PER_S = 4 * YARD.rate_per_s
LENGTH_S = 24.0
EVENT_S = 3.0


def _most_in_a_window(uses):
    most, amount, first = 0.0, 0.0, 0
    for at_s, cost in uses:
        amount += cost
        while uses[first][0] <= at_s - WINDOW_S:
            amount -= uses[first][1]
            first += 1
        most = max(most, amount)
    return most


def _nothing(fleet, now_s):
    fleet.loss['ratio'] = 0.0


def _lossy(fleet, now_s):
    fleet.loss['ratio'] = 0.3


def _restart_some(fleet, now_s):
    names = fleet.random.sample(sorted(fleet.sites), len(fleet.sites) // 4)
    restart(fleet, names, now_s)


def _restart_all(fleet, now_s):
    restart(fleet, list(fleet.sites), now_s)


def _cut_in_turn(fleet, now_s):
    """Cut another failure domain off, or none."""
    fleet.cut.clear()
    if int(now_s) % 2:
        fleet.cut.add(f'd{int(now_s) % 3}')


def _freeze(fleet, now_s):
    """Let some VMs stand still, and those before go on."""
    fleet.frozen.clear()
    count = len(fleet.sites) // 5
    fleet.frozen.update(fleet.random.sample(sorted(fleet.sites), count))


def _everything(fleet, now_s):
    event = fleet.random.choice([_restart_some, _cut_in_turn, _freeze, _lossy])
    event(fleet, now_s)


# KNOWN-RED.txt lists these: three starts of all VMs in one window.
RED = pytest.mark.known_red


@pytest.mark.parametrize(
    ('count', 'event', 'seed'),
    [
        (8, _nothing, 1),
        (8, _lossy, 2),
        (8, _restart_some, 3),
        (8, _restart_all, 4),
        pytest.param(8, _restart_all, 134, marks=RED),
        (8, _cut_in_turn, 5),
        (8, _freeze, 6),
        (8, _everything, 7),
        (8, _everything, 8),
        (24, _nothing, 1),
        (24, _lossy, 2),
        (24, _restart_some, 3),
        pytest.param(24, _restart_all, 4, marks=RED),
        (24, _cut_in_turn, 5),
        (24, _freeze, 6),
        (24, _everything, 7),
        (24, _everything, 8),
    ],
)
def test_the_limit_holds_in_every_window(count, event, seed):
    fleet = make_fleet(count, 3, Bounds(QUOTA), seed)
    now_s = 0.0
    while now_s < LENGTH_S:
        now_s = run_fleet(fleet, now_s, now_s + EVENT_S, DEMAND_PER_S)
        event(fleet, now_s)
    assert _most_in_a_window(fleet.uses) <= LIMIT


@pytest.mark.parametrize('count', [8, 24])
def test_an_account_gets_what_its_limit_allows(count):
    fleet = make_fleet(count, 3, Bounds(QUOTA), 9)
    run_fleet(fleet, 0.0, LENGTH_S, DEMAND_PER_S)
    admitted = sum(cost for _, cost in fleet.uses)
    assert admitted >= YARD.rate_per_s * LENGTH_S
