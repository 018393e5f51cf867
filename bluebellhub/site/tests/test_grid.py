"""Whom VMs tell their news, and that everybody hears of everybody."""

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

# A VM in three tells its sums to VMs that have no counterpart of their own.
FAR_MOST = 2 * 2


def _places(count, domains=3):
    return {
        f'hub-{number}': VmLocation('', f'd{number % domains}')
        for number in range(count)
    }


def _told(name, places, dead):
    """Return whom a VM tells directly, and in its row's or domain's name."""
    grid = make_grid(name, places)
    alive = set(places) - dead
    return row_peers(grid), column_peers(grid, alive), remote_peers(grid, alive)


def _hearers(places, dead):
    """Return, for each VM that lives, the VMs that hear of it singly."""
    alive = [name for name in places if name not in dead]
    tells = {name: _told(name, places, dead) for name in alive}
    heard = {}
    for name in alive:
        direct = {name, *tells[name][0]} - dead
        by_relay = {peer for mate in direct for peer in tells[mate][1]}
        heard[name] = (direct | by_relay) - dead
    return heard


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
def test_everybody_hears_of_the_own_domain(count, domains, dead):
    places = _places(count, domains)
    gone = set(list(places)[:dead])
    is_mesh = count <= ROW_MAX
    for name, hearers in _hearers(places, gone).items():
        near = {
            other
            for other, place in places.items()
            if is_mesh or place.domain == places[name].domain
        }
        assert hearers == near - gone, name


@pytest.mark.parametrize(('count', 'domains', 'dead'), SIZES)
def test_everybody_hears_of_the_other_domains(count, domains, dead):
    places = _places(count, domains)
    gone = set(list(places)[:dead])
    alive = {name for name in places if name not in gone}
    told = {}
    for name in alive:
        for to in _told(name, places, gone)[2]:
            told.setdefault(to, []).append(places[name].domain)
    for name in alive if count > ROW_MAX else ():
        others = {places[other].domain for other in alive}
        others.discard(places[name].domain)
        assert sorted(told.get(name, [])) == sorted(others)


@pytest.mark.parametrize('count', [8, 16, 17, 60, 85, 320])
def test_a_vm_tells_few(count):
    places = _places(count)
    most = max(ROW_MAX, 3 * sqrt(count / 3)) + FAR_MOST
    for name in places:
        told = [to for group in _told(name, places, set()) for to in group]
        assert len(told) <= most
        assert len(told) == len(set(told))
        assert name not in told


def test_all_vms_lay_out_the_same_grid():
    places = _places(40, 1)
    turned = dict(reversed(places.items()))
    grids = [make_grid(name, turned) for name in places]
    assert {grid.rows for grid in grids} == {grids[0].rows}
    assert all(grid.vm in grid.rows[grid.row] for grid in grids)


def test_a_vm_that_is_not_listed_yet_tells_nobody_wrongly():
    grid = make_grid('hub-new', _places(20))
    assert grid.rows == (('hub-new',),)
    assert not row_peers(grid)
