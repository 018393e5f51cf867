"""Admission floors: no VM sheds a tier while another admits a lower one.

A VM that has to shed a tier requests a floor at that tier in its heartbeats.
All VMs that receive the request refuse lower tiers and report the floor in
their own heartbeats; then the tier may be shed.  A peer's heartbeat counts as
agreement only if it echoes a heartbeat that contained the request.  An older
one may report a floor that has been removed since.
"""

from bluebellhub.fleet.state import AnnouncedFloor, Fleet, map_members
from bluebellhub.membership import Peer, live_peers

__all__ = ['announce_floors', 'apply_floors', 'requested_floors']

PEER_TIMEOUT_S = 3.0


def requested_floors(fleet: Fleet, now_s: float) -> dict[str, int]:
    """Return the floors that this VM requests now; drops expired ones."""
    requested = fleet.scheduler.requested_floors
    for target, (_, until_s) in list(requested.items()):
        if now_s >= until_s:
            requested.pop(target)
    return {target: rank for target, (rank, _) in requested.items()}


def announce_floors(fleet: Fleet, now_s: float) -> dict[str, int]:
    """Return the floors for a heartbeat; records when each is first sent."""
    requested = requested_floors(fleet, now_s)
    for target in list(fleet.announced_floors):
        if requested.get(target) != fleet.announced_floors[target].rank:
            fleet.announced_floors.pop(target)
    for target, rank in requested.items():
        fleet.announced_floors.setdefault(target, AnnouncedFloor(rank, now_s))
    return requested


def apply_floors(fleet: Fleet, now_s: float) -> None:
    """Apply the lowest floor that any VM requests; updates agreed floors.

    A VM without a heartbeat for `PEER_TIMEOUT_S` seconds has no valid lease
    and admits nothing, so it is ignored.
    """
    peers = live_peers(fleet.members, now_s, PEER_TIMEOUT_S)
    requested = requested_floors(fleet, now_s)
    admission_floors = dict(requested)
    for peer in peers.values():
        for target, rank in peer.heartbeat.requested_floors.items():
            admission_floors[target] = min(
                rank, admission_floors.get(target, rank)
            )
    scheduler = fleet.scheduler
    unannounced = requested.keys() - fleet.announced_floors.keys()
    if unannounced or admission_floors != scheduler.admission_floors:
        scheduler.admission_floors.clear()
        scheduler.admission_floors.update(admission_floors)
        fleet.next_run_s['heartbeat'] = now_s
    _update_agreed_floors(fleet, requested, peers)


def _update_agreed_floors(
    fleet: Fleet, requested: dict[str, int], peers: dict[str, Peer]
) -> None:
    """Record the requested floors that all live members have agreed to."""
    members = [peers[name] for name in map_members(fleet) if name in peers]
    agreed = fleet.scheduler.agreed_floors
    agreed.clear()
    for target, announced in fleet.announced_floors.items():
        if requested.get(target) != announced.rank:
            continue
        if all(_agrees(peer, target, announced) for peer in members):
            agreed[target] = announced.rank


def _agrees(peer: Peer, target: str, announced: AnnouncedFloor) -> bool:
    """Return whether a peer applies the floor and has received the request."""
    floor = peer.heartbeat.admission_floors.get(target)
    has_echoed = peer.confirmed_at_s >= announced.at_s
    return has_echoed and floor is not None and floor <= announced.rank
