"""The shed floor: no VM sheds a tier while another admits a lower one.

A VM that has to shed a tier wants a floor at that tier.  All VMs that hear
of it refuse lower tiers and say so in their heartbeats; then the tier may
be shed.
"""

from bluebellhub.fleet.state import Fleet, map_members
from bluebellhub.membership import live_peers

__all__ = ['apply_floors', 'wanted_floors']

LAPSED_S = 3.0


def wanted_floors(fleet: Fleet, now_s: float) -> dict[str, int]:
    """Return the floors that this VM needs now."""
    wanted = fleet.scheduler.floors_wanted
    for target, (_, until_s) in list(wanted.items()):
        if now_s >= until_s:
            wanted.pop(target)
    return {target: rank for target, (rank, _) in wanted.items()}


def apply_floors(fleet: Fleet, now_s: float) -> None:
    """Put the lowest floor that any VM wants in force, and count consent.

    A VM that has not been heard for `LAPSED_S` seconds has no lease left
    and admits nothing.
    """
    peers = live_peers(fleet.members, now_s, LAPSED_S)
    floors = wanted_floors(fleet, now_s)
    for peer in peers.values():
        for target, rank in peer.heartbeat.wanted.items():
            floors[target] = min(rank, floors.get(target, rank))
    scheduler = fleet.scheduler
    if floors != scheduler.floors:
        scheduler.floors.clear()
        scheduler.floors.update(floors)
        fleet.due['heartbeat'] = now_s
    _count_consent(fleet, now_s)


def _count_consent(fleet: Fleet, now_s: float) -> None:
    """A floor is agreed on when every live member applies it."""
    peers = live_peers(fleet.members, now_s, LAPSED_S)
    members = [name for name in map_members(fleet) if name in peers]
    agreed = fleet.scheduler.floors_agreed
    agreed.clear()
    for target, rank in fleet.scheduler.floors.items():
        applied = [peers[name].heartbeat.floors.get(target) for name in members]
        if all(floor is not None and floor <= rank for floor in applied):
            agreed[target] = rank
