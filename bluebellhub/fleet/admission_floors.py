"""The shed floor: no VM sheds a tier while another admits a lower one.

A VM that has to shed a tier wants a floor at that tier.  All VMs that hear
of it refuse lower tiers and say so in their heartbeats; then the tier may
be shed.  Only a heartbeat that echoes one with the wish counts: an older one
may tell of a floor that was lifted since.
"""

from bluebellhub.fleet.state import AnnouncedFloor, Fleet, map_members
from bluebellhub.membership import Peer, live_peers

__all__ = ['apply_floors', 'tell_floors', 'wanted_floors']

LAPSED_S = 3.0


def wanted_floors(fleet: Fleet, now_s: float) -> dict[str, int]:
    """Return the floors that this VM needs now."""
    wanted = fleet.scheduler.requested_floors
    for target, (_, until_s) in list(wanted.items()):
        if now_s >= until_s:
            wanted.pop(target)
    return {target: rank for target, (rank, _) in wanted.items()}


def tell_floors(fleet: Fleet, now_s: float) -> dict[str, int]:
    """Return the floors for a heartbeat; notes when each is first told."""
    wanted = wanted_floors(fleet, now_s)
    for target in list(fleet.told):
        if wanted.get(target) != fleet.told[target].rank:
            fleet.told.pop(target)
    for target, rank in wanted.items():
        fleet.told.setdefault(target, AnnouncedFloor(rank, now_s))
    return wanted


def apply_floors(fleet: Fleet, now_s: float) -> None:
    """Put the lowest floor that any VM wants in force, and count consent.

    A VM that has not been heard for `LAPSED_S` seconds has no lease left
    and admits nothing.
    """
    peers = live_peers(fleet.members, now_s, LAPSED_S)
    wanted = wanted_floors(fleet, now_s)
    admission_floors = dict(wanted)
    for peer in peers.values():
        for target, rank in peer.heartbeat.wanted.items():
            admission_floors[target] = min(
                rank, admission_floors.get(target, rank)
            )
    scheduler = fleet.scheduler
    untold = wanted.keys() - fleet.told.keys()
    if untold or admission_floors != scheduler.admission_floors:
        scheduler.admission_floors.clear()
        scheduler.admission_floors.update(admission_floors)
        fleet.due['heartbeat'] = now_s
    _count_consent(fleet, wanted, peers)


def _count_consent(
    fleet: Fleet, wanted: dict[str, int], peers: dict[str, Peer]
) -> None:
    """A wish is agreed on when every live member answers that it applies."""
    members = [peers[name] for name in map_members(fleet) if name in peers]
    agreed = fleet.scheduler.agreed_floors
    agreed.clear()
    for target, told in fleet.told.items():
        if wanted.get(target) != told.rank:
            continue
        if all(_consents(peer, target, told) for peer in members):
            agreed[target] = told.rank


def _consents(peer: Peer, target: str, told: AnnouncedFloor) -> bool:
    floor = peer.heartbeat.admission_floors.get(target)
    heard = peer.confirmed_at_s >= told.at_s
    return heard and floor is not None and floor <= told.rank
