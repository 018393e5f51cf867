"""Whom a VM tells its news.

Up to `ROW_MAX` VMs each tell all others.  With more of them, those of one
failure domain are laid out as a grid of even rows, in the order of their
names' hashes, which every VM works out alike.  A VM tells its own row of
itself, and the VMs of its column in the other rows what its row has told.  So
it hears of every VM of its domain over two hops at most, and tells about
twice the square root of their number; one of a shorter row may have two
columns.

Of the other domains a VM hears sums only, from the VM at the same position
there.  A VM that is silent is stood in for by the next one of its row, or of
its domain.
"""

from collections.abc import Collection, Mapping
from itertools import pairwise
from math import sqrt
from typing import Final, NamedTuple

import xxhash

from bluebellhub.site.vm_location import VmLocation

__all__ = [
    'ROW_MAX',
    'Grid',
    'column_peers',
    'local_vm_names',
    'make_grid',
    'remote_peers',
    'row_peers',
]

ROW_MAX: Final = 16


class Grid(NamedTuple):
    """The root: the VMs that ``vm`` hears singly, row by row.

    ``row`` is the number of its own row; ``remote`` holds the VMs of the other
    failure domains, and is empty where all VMs hear each other.
    """

    rows: tuple[tuple[str, ...], ...]
    vm: str
    row: int
    remote: Mapping[str, tuple[str, ...]]


def make_grid(vm: str, places: Mapping[str, VmLocation]) -> Grid:
    """Return the grid as ``vm`` sees it."""
    known = {vm: VmLocation(), **places}
    names = sorted(known, key=_hash_order)
    if len(names) <= ROW_MAX:
        return Grid((tuple(names),), vm, 0, {})
    by_domain: dict[str, tuple[str, ...]] = {}
    for name in names:
        domain = known[name].domain
        by_domain[domain] = (*by_domain.get(domain, ()), name)
    rows = _split_rows(by_domain.pop(known[vm].domain))
    row = next(number for number, found in enumerate(rows) if vm in found)
    return Grid(rows, vm, row, by_domain)


def _hash_order(name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(name.encode()), name


def _split_rows(names: tuple[str, ...]) -> tuple[tuple[str, ...], ...]:
    """Split names into rows that differ by one in length at most."""
    if len(names) <= ROW_MAX:
        return (names,)
    count = round(sqrt(len(names)))
    bounds = [len(names) * number // count for number in range(count + 1)]
    return tuple(names[start:end] for start, end in pairwise(bounds))


def local_vm_names(grid: Grid) -> list[str]:
    """Return the VMs that are heard singly, this one included."""
    return [name for row in grid.rows for name in row]


def row_peers(grid: Grid) -> list[str]:
    """Return the VMs that hear this one directly."""
    return [name for name in grid.rows[grid.row] if name != grid.vm]


def column_peers(grid: Grid, heard: Collection[str]) -> list[str]:
    """Return the VMs of other rows that hear of this row from this VM.

    ``heard`` names the VMs that are alive as far as this one knows.
    """
    own = grid.rows[grid.row]
    found = []
    for column in range(max(map(len, grid.rows))):
        if _relay_at(grid, own, heard, column) == grid.vm:
            found.extend(_column_vms(grid, column))
    return found


def remote_peers(grid: Grid, heard: Collection[str]) -> list[str]:
    """Return the VMs of other domains that hear of this domain from it."""
    near = local_vm_names(grid)
    return [
        name
        for names in grid.remote.values()
        for position, name in enumerate(names)
        if _relay_at(grid, near, heard, position) == grid.vm
    ]


def _relay_at(
    grid: Grid, names: Collection[str], heard: Collection[str], position: int
) -> str:
    """Return the VM that tells what the VMs ``names`` have told."""
    ordered = tuple(names)
    start = position % len(ordered)
    for name in ordered[start:] + ordered[:start]:
        if name == grid.vm or name in heard:
            return name
    return grid.vm


def _column_vms(grid: Grid, column: int) -> list[str]:
    return [
        row[column]
        for number, row in enumerate(grid.rows)
        if number != grid.row and column < len(row)
    ]
