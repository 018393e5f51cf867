"""Whom a VM tells its news.

Up to `ROW_MAX` VMs each tell all others.  More of them are laid out as a
grid of even rows, in the order of their names' hashes, which every VM works
out alike.  A VM tells its own row of itself, and the VMs of its column in the
other rows what its row has told.  So each VM hears of every other one over
two hops at most, and tells about twice the square root of their number; one
of a shorter row may have two columns.

The column of a VM that is silent is taken over by the next one of its row.
"""

from collections.abc import Collection, Iterable
from itertools import pairwise
from math import sqrt
from typing import Final, NamedTuple

import xxhash

__all__ = ['ROW_MAX', 'Grid', 'column_peers', 'lay_out', 'row_peers']

ROW_MAX: Final = 16


class Grid(NamedTuple):
    """The root: the names of all VMs, row by row, and one VM's place."""

    rows: tuple[tuple[str, ...], ...]
    vm: str
    row: int


def lay_out(vm: str, vms: Iterable[str]) -> Grid:
    """Return the grid of all VMs as ``vm`` sees it."""
    names = sorted({vm, *vms}, key=_order)
    count = 1
    if len(names) > ROW_MAX:
        count = round(sqrt(len(names)))
    bounds = [len(names) * number // count for number in range(count + 1)]
    rows = tuple(tuple(names[start:end]) for start, end in pairwise(bounds))
    row = next(number for number, row in enumerate(rows) if vm in row)
    return Grid(rows, vm, row)


def _order(name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(name.encode()), name


def row_peers(grid: Grid) -> list[str]:
    """Return the VMs that hear this one directly."""
    return [name for name in grid.rows[grid.row] if name != grid.vm]


def column_peers(grid: Grid, heard: Collection[str]) -> list[str]:
    """Return the VMs of other rows that hear of this row from this VM.

    ``heard`` names the VMs that are alive as far as this one knows.
    """
    found = []
    for column in range(max(map(len, grid.rows))):
        if _teller(grid, heard, column) == grid.vm:
            found.extend(_others_in(grid, column))
    return found


def _teller(grid: Grid, heard: Collection[str], column: int) -> str:
    """Return the VM of this row that tells a column."""
    row = grid.rows[grid.row]
    for step in range(len(row)):
        name = row[(column + step) % len(row)]
        if name == grid.vm or name in heard:
            return name
    return grid.vm


def _others_in(grid: Grid, column: int) -> list[str]:
    return [
        row[column]
        for number, row in enumerate(grid.rows)
        if number != grid.row and column < len(row)
    ]
