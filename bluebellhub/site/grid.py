"""The VMs that a VM sends its reports to.

Up to `ROW_MAX` VMs form a full mesh: each sends to all others. With more VMs,
those of one failure domain form a grid of rows of nearly equal length, ordered
by the hashes of their names, so that every VM computes the same grid. A VM
sends its own report to its row, and relays the reports of its row to the VMs of
its column in the other rows. So each VM gets the reports of all VMs of its
domain over at most two hops, and sends to about twice the square root of their
number. A VM of a shorter row may serve two columns.

Between failure domains only sums are sent, to the VMs at the same position in
the other domains. The next live VM of the row, or of the domain, takes over
from one that is not live.
"""

from collections.abc import Collection, Mapping
from itertools import pairwise
from math import sqrt
from typing import Final, NamedTuple

import xxhash

from bluebellhub.site.vm_location import VmLocation

__all__ = [
    'REMOTE_INTERVAL_S',
    'ROW_MAX',
    'Grid',
    'column_peers',
    'gossip_interval_s',
    'local_vm_names',
    'make_grid',
    'remote_peers',
    'report_age_s',
    'row_peers',
]

ROW_MAX: Final = 16
MESH_INTERVAL_S: Final = 0.12
# Two hops and a refresh have to fit into the liveness timeout.
GRID_INTERVAL_S: Final = 0.25
REMOTE_INTERVAL_S: Final = 0.5


class Grid(NamedTuple):
    """The root: the VMs whose reports ``vm`` gets one by one, in rows.

    ``row`` is the number of the row of ``vm``. ``remote`` holds the VMs of the
    other failure domains by domain; it is empty in a full mesh.
    """

    rows: tuple[tuple[str, ...], ...]
    vm: str
    row: int
    remote: Mapping[str, tuple[str, ...]]


def make_grid(vm: str, locations: Mapping[str, VmLocation]) -> Grid:
    """Return the grid as ``vm`` sees it.

    A VM that is not among ``locations`` yet counts as one without a domain.
    """
    all_locations = {vm: VmLocation(), **locations}
    names = sorted(all_locations, key=_hash_order)
    if len(names) <= ROW_MAX:
        return Grid((tuple(names),), vm, 0, {})
    by_domain: dict[str, tuple[str, ...]] = {}
    for name in names:
        domain = all_locations[name].domain
        by_domain[domain] = (*by_domain.get(domain, ()), name)
    rows = _split_rows(by_domain.pop(all_locations[vm].domain))
    row = next(number for number, found in enumerate(rows) if vm in found)
    return Grid(rows, vm, row, by_domain)


def _hash_order(name: str) -> tuple[int, str]:
    """Return the sort key of a VM: the hash of its name."""
    return xxhash.xxh64_intdigest(name.encode()), name


def _split_rows(names: tuple[str, ...]) -> tuple[tuple[str, ...], ...]:
    """Split names into rows whose lengths differ by at most one."""
    if len(names) <= ROW_MAX:
        return (names,)
    count = round(sqrt(len(names)))
    bounds = [len(names) * number // count for number in range(count + 1)]
    return tuple(names[start:end] for start, end in pairwise(bounds))


def local_vm_names(grid: Grid) -> list[str]:
    """Return the names of the VMs of the grid, this one included."""
    return [name for row in grid.rows for name in row]


def row_peers(grid: Grid) -> list[str]:
    """Return the other VMs of the row, which get this VM's report directly."""
    return [name for name in grid.rows[grid.row] if name != grid.vm]


def column_peers(grid: Grid, live: Collection[str]) -> list[str]:
    """Return the VMs of other rows that this VM relays its row's reports to.

    ``live`` names the live VMs as far as this VM knows.
    """
    local_row = grid.rows[grid.row]
    found = []
    for column in range(max(map(len, grid.rows))):
        if _relay_at(grid, local_row, live, column) == grid.vm:
            found.extend(_column_vms(grid, column))
    return found


def remote_peers(grid: Grid, live: Collection[str]) -> list[str]:
    """Return the VMs of other domains that this VM sends its domain's sums to.

    ``live`` names the live VMs as far as this VM knows.
    """
    local = local_vm_names(grid)
    return [
        name
        for names in grid.remote.values()
        for position, name in enumerate(names)
        if _relay_at(grid, local, live, position) == grid.vm
    ]


def _relay_at(
    grid: Grid, names: Collection[str], live: Collection[str], position: int
) -> str:
    """Return the VM among ``names`` that serves a column or a position.

    This is the one at the position, or else the next live one after it.
    """
    ordered = tuple(names)
    start = position % len(ordered)
    for name in ordered[start:] + ordered[:start]:
        if name == grid.vm or name in live:
            return name
    return grid.vm


def _column_vms(grid: Grid, column: int) -> list[str]:
    """Return the VMs in a column of the other rows."""
    return [
        row[column]
        for number, row in enumerate(grid.rows)
        if number != grid.row and column < len(row)
    ]


def gossip_interval_s(grid: Grid) -> float:
    """Return the seconds between two gossip rounds."""
    return MESH_INTERVAL_S if _is_mesh(grid) else GRID_INTERVAL_S


def report_age_s(grid: Grid) -> float:
    """Return how old the reports of other VMs are before the next arrive."""
    return MESH_INTERVAL_S if _is_mesh(grid) else REMOTE_INTERVAL_S


def _is_mesh(grid: Grid) -> bool:
    return len(grid.rows) == 1 and not grid.remote
