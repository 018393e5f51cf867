"""Tests of fleets whose callers ask for more than the engines can serve."""

import pytest

from bluebellhub.site.tests.overloaded_engines import Load
from bluebellhub.site.tests.overloaded_fleet import simulate

WAVE = Load()
MOST = Load(low=1.5, high=1.5)
NORMAL = Load(low=0.3, high=0.7)
SMALL = Load(vms=8, engines=6)


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize(
    ('load', 'in_time_min'),
    [
        (WAVE, 0.38),
        (WAVE._replace(vms=89, engines=16, domains=4), 0.38),
        (MOST, 0.28),
        (WAVE._replace(low=0.9, high=1.0), 0.64),
    ],
)
def test_requests_do_not_wait_behind_late_ones(load, in_time_min, seed):
    """All VMs sent to each slot that a report showed free.

    The queues at the engines never emptied, and nearly all that was admitted
    was late.
    """
    assert simulate(load, seed=seed).in_time >= in_time_min


@pytest.mark.parametrize(
    ('load', 'in_time_min', 'refused_max'),
    [
        (NORMAL, 0.97, 0.0),
        (NORMAL._replace(vms=195, engines=20, domains=5), 0.95, 0.001),
        (SMALL._replace(low=0.3, high=0.7), 0.98, 0.0),
        (SMALL._replace(low=0.3, high=0.7, engines=9), 0.98, 0.0),
        (SMALL, 0.54, 0.2),
    ],
)
def test_requests_that_upstreams_can_take_are_served(
    load, in_time_min, refused_max
):
    """The share of a VM must not refuse what free slots could serve."""
    result = simulate(load)
    assert result.in_time >= in_time_min
    assert result.refused <= refused_max
    assert result.needless <= 0.02 * result.counts['all', '']
