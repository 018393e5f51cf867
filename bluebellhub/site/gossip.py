"""What a VM tells whom: its own news, and what its row has told."""

from typing import Final, NamedTuple

from bluebellhub.site.domain_reports import make_domain_report
from bluebellhub.site.grid import Grid, column_peers, remote_peers, row_peers
from bluebellhub.site.liveness import live_vm_names
from bluebellhub.site.reports import (
    DomainReport,
    GossipBatch,
    GossipItem,
    VmReport,
)
from bluebellhub.site.state import Site
from bluebellhub.site.vm_reports import make_vm_report

__all__ = [
    'GossipState',
    'Multicast',
    'gossip_interval_s',
    'make_gossip_state',
    'make_multicasts',
]

# Unchanged news are told again, as a sign of life.
REFRESH_INTERVAL_S: Final = 0.36
MESH_INTERVAL_S: Final = 0.12
# Two hops and a repeat have to fit into the time after which VMs count as
# silent.
GRID_INTERVAL_S: Final = 0.25
REMOTE_INTERVAL_S: Final = 0.5


class GossipState(NamedTuple):
    """This VM's last news, when it told them, and what it passed on.

    ``remote_sent_at_s`` is when other failure domains were told; ``relayed`` holds the
    start and number of the last news of each VM of the row that went to this
    VM's column.
    """

    own: VmReport | None
    sent_at_s: float
    remote_sent_at_s: float
    relayed: dict[str, tuple[int, int]]


class Multicast(NamedTuple):
    """One message for several VMs."""

    to: list[str]
    message: GossipBatch | DomainReport


def make_gossip_state() -> GossipState:
    """Create the state of a VM that has told nothing."""
    return GossipState(None, 0.0, 0.0, {})


def gossip_interval_s(grid: Grid) -> float:
    """Return the seconds between two rounds of news."""
    is_mesh = len(grid.rows) == 1 and not grid.remote
    return MESH_INTERVAL_S if is_mesh else GRID_INTERVAL_S


def make_multicasts(
    site: Site, telling: GossipState, now_s: float
) -> tuple[GossipState, list[Multicast]]:
    """Return the messages of a round; none if nothing has changed."""
    grid = site.flags['grid']
    report = make_vm_report(site, now_s)
    multicasts = []
    items = []
    if _is_due(telling, report, now_s):
        telling = telling._replace(own=report, sent_at_s=now_s)
        own = GossipItem(site.vm, report)
        items.append(own)
        multicasts.append(Multicast(row_peers(grid), GossipBatch([own])))
    items.extend(_unrelayed_items(site, telling, grid))
    heard = live_vm_names(site, now_s)
    if items:
        multicasts.append(
            Multicast(column_peers(grid, heard), GossipBatch(items))
        )
    if grid.remote and now_s - telling.remote_sent_at_s >= REMOTE_INTERVAL_S:
        telling = telling._replace(remote_sent_at_s=now_s)
        remote = make_domain_report(site, report, now_s)
        multicasts.append(Multicast(remote_peers(grid, heard), remote))
    return telling, [multicast for multicast in multicasts if multicast.to]


def _is_due(telling: GossipState, report: VmReport, now_s: float) -> bool:
    told = telling.own
    if told is None or now_s - telling.sent_at_s >= REFRESH_INTERVAL_S:
        return True
    same = report._replace(
        sequence=told.sequence, age_s=told.age_s, speeds=told.speeds
    )
    return same != told


def _unrelayed_items(
    site: Site, telling: GossipState, grid: Grid
) -> list[GossipItem]:
    """Return the row's news that this VM's column has not got.

    Learned speeds go one hop only: they are blended on the way, and reach
    everybody so.
    """
    if len(grid.rows) == 1:
        return []
    found = []
    for name in row_peers(grid):
        peer = site.peers.get(name)
        if peer is None:
            continue
        mark = (peer.report.start_id, peer.report.sequence)
        if telling.relayed.get(name) != mark:
            telling.relayed[name] = mark
            found.append(GossipItem(name, peer.report._replace(speeds={})))
    return found
