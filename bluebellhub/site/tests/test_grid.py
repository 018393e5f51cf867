"""Tests of the gossip grid: who sends reports to whom, and their spread."""

from math import sqrt

import pytest

from bluebellhub.site.grid import (
    ROW_MAX,
    column_peers,
    make_grid,
    remote_peers,
    row_peers,
)
from bluebellhub.site.vm_location import VmLocation

# A VM sends its domain's sums to at most two VMs of each of the two other
# domains: its counterpart, and one that has no counterpart of its own.
REMOTE_RECEIVERS_MAX = 2 * 2


def _locations(count, domains=3):
    return {
        f'hub-{number}': VmLocation('', f'd{number % domains}')
        for number in range(count)
    }


def _receivers(name, locations, dead):
    """Return the VMs that a VM sends to: in its row, columns and elsewhere."""
    grid = make_grid(name, locations)
    live = set(locations) - dead
    return row_peers(grid), column_peers(grid, live), remote_peers(grid, live)


def _local_receivers(locations, dead):
    """Return, for each live VM, the VMs that its own report reaches."""
    live = [name for name in locations if name not in dead]
    receivers = {name: _receivers(name, locations, dead) for name in live}
    reached = {}
    for name in live:
        direct = {name, *receivers[name][0]} - dead
        relayed = {
            peer for neighbour in direct for peer in receivers[neighbour][1]
        }
        reached[name] = (direct | relayed) - dead
    return reached


SIZES = (
    (1, 1, 0),
    (2, 1, 0),
    (8, 3, 2),
    (16, 3, 0),
    (17, 1, 0),
    (17, 3, 3),
    (60, 4, 0),
    (60, 1, 15),
    (85, 3, 0),
    (85, 3, 40),
    (113, 3, 10),
    (320, 9, 36),
)


@pytest.mark.parametrize(('count', 'domains', 'dead'), SIZES)
def test_reports_reach_local_domain(count, domains, dead):
    locations = _locations(count, domains)
    dead_names = set(list(locations)[:dead])
    is_mesh = count <= ROW_MAX
    for name, reached in _local_receivers(locations, dead_names).items():
        local = {
            other
            for other, location in locations.items()
            if is_mesh or location.domain == locations[name].domain
        }
        assert reached == local - dead_names, name


@pytest.mark.parametrize(('count', 'domains', 'dead'), SIZES)
def test_each_vm_gets_one_report_per_remote_domain(count, domains, dead):
    locations = _locations(count, domains)
    dead_names = set(list(locations)[:dead])
    live = {name for name in locations if name not in dead_names}
    senders = {}
    for name in live:
        for to in _receivers(name, locations, dead_names)[2]:
            senders.setdefault(to, []).append(locations[name].domain)
    for name in live if count > ROW_MAX else ():
        others = {locations[other].domain for other in live}
        others.discard(locations[name].domain)
        assert sorted(senders.get(name, [])) == sorted(others)


@pytest.mark.parametrize('count', [8, 16, 17, 60, 85, 320])
def test_number_of_receivers_is_bounded(count):
    locations = _locations(count)
    most = max(ROW_MAX, 3 * sqrt(count / 3)) + REMOTE_RECEIVERS_MAX
    for name in locations:
        receivers = [
            to for group in _receivers(name, locations, set()) for to in group
        ]
        assert len(receivers) <= most
        assert len(receivers) == len(set(receivers))
        assert name not in receivers


def test_all_vms_compute_same_grid():
    locations = _locations(40, 1)
    reordered = dict(reversed(locations.items()))
    grids = [make_grid(name, reordered) for name in locations]
    assert {grid.rows for grid in grids} == {grids[0].rows}
    assert all(grid.vm in grid.rows[grid.row] for grid in grids)


def test_unlisted_vm_has_no_row_peers():
    grid = make_grid('hub-new', _locations(20))
    assert grid.rows == (('hub-new',),)
    assert not row_peers(grid)
