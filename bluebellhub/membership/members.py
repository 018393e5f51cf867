"""What one VM knows of the others."""

from typing import Final, NamedTuple, TypedDict

from bluebellhub.invariants import check_invariant
from bluebellhub.membership.shard_map import ShardMap

__all__ = [
    'FRESH_S',
    'Heartbeat',
    'Members',
    'Peer',
    'adopt_map',
    'apply_heartbeat',
    'echo_for',
    'former_owners_stopped_at',
    'has_quorum',
    'is_isolated',
    'live_peers',
    'make_members',
    'number_heartbeat',
    'propose_map',
    'record_store_confirmation',
    'set_listed_vms',
]

FRESH_S: Final = 1.2
GONE_S: Final = 4.0
FIRST_MAP_S: Final = 1.0
ISOLATED_S: Final = 3.0
HEARTBEATS_KEPT: Final = 64
NUMBERS_PER_START: Final = 1_000_000_000


class Heartbeat(NamedTuple):
    """What a VM tells all others a few times a second.

    ``number`` counts the sender's heartbeats and ``echo`` is the newest
    number that it heard from the recipient.  ``admission_floors`` are the tier ranks
    that it admits at most, by model or service, and ``wanted`` the floors
    that it needs; ``bad`` names versions known to be bad as
    ``model/version``.
    """

    vm: str
    failure_domain: str
    number: int
    echo: int
    map_version: int
    revision: int
    leaving: bool
    admission_floors: dict[str, int]
    wanted: dict[str, int]
    bad: list[str]


class Peer(NamedTuple):
    """Another VM's last heartbeat and when it was heard.

    ``confirmed_at_s`` is when this VM sent the newest heartbeat that the
    peer has echoed: the peer's word is at least as young.
    """

    heartbeat: Heartbeat
    received_at_s: float
    confirmed_at_s: float


class MembersState(TypedDict):
    """Scalar state.

    ``settled_at_s`` is when most members of the former map were known to
    have left it, or ``None``.
    """

    shard_map: ShardMap
    settled_at_s: float | None
    store_at_s: float
    started_at_s: float
    number: int


class Members(NamedTuple):
    """The root: this VM's name, the others by name, and the shard map.

    ``listed`` is the platform's VM list as last read, and ``departed``
    the VMs that were on it and are no more.  ``sent`` maps heartbeat
    numbers to the time they were sent.
    """

    name: str
    peers: dict[str, Peer]
    listed: set[str]
    departed: set[str]
    sent: dict[int, float]
    state: MembersState


def make_members(name: str, incarnation: int, now_s: float) -> Members:
    """Create the knowledge of a VM that has heard nobody.

    ``incarnation`` grows with every start of the VM, so that the numbers of
    its heartbeats never repeat.
    """
    state: MembersState = {
        'shard_map': ShardMap(0, ()),
        'settled_at_s': None,
        'store_at_s': -float('inf'),
        'started_at_s': now_s,
        'number': incarnation * NUMBERS_PER_START,
    }
    return Members(name, {}, set(), set(), {}, state)


def number_heartbeat(members: Members, now_s: float) -> int:
    """Number a round of heartbeats that is sent now."""
    number = members.state['number'] + 1
    members.state['number'] = number
    members.sent[number] = now_s
    members.sent.pop(number - HEARTBEATS_KEPT, None)
    return number


def apply_heartbeat(
    members: Members, heartbeat: Heartbeat, now_s: float
) -> None:
    """Take a heartbeat; an older one than the last is dropped."""
    old = members.peers.get(heartbeat.vm)
    confirmed_at_s = members.sent.get(heartbeat.echo, -float('inf'))
    if old is not None:
        if heartbeat.number <= old.heartbeat.number:
            return
        confirmed_at_s = max(confirmed_at_s, old.confirmed_at_s)
    members.peers[heartbeat.vm] = Peer(heartbeat, now_s, confirmed_at_s)
    _note_settled(members, now_s)


def echo_for(members: Members, name: str) -> int:
    """Return the number of the last heartbeat heard from a VM."""
    peer = members.peers.get(name)
    return peer.heartbeat.number if peer else 0


def set_listed_vms(members: Members, names: set[str]) -> None:
    """Take the platform's VM list, which may lag."""
    members.departed.update(members.listed - names)
    members.departed.difference_update(names)
    members.listed.clear()
    members.listed.update(names)


def live_peers(
    members: Members, now_s: float, within_s: float = GONE_S
) -> dict[str, Peer]:
    """Return the VMs heard within ``within_s`` seconds."""
    return {
        name: peer
        for name, peer in members.peers.items()
        if now_s - peer.received_at_s < within_s
    }


def adopt_map(members: Members, shard_map: ShardMap, now_s: float) -> bool:
    """Take a newer map; returns whether it was newer."""
    old = members.state['shard_map']
    if shard_map.version <= old.version:
        return False
    check_invariant(
        'map_versions_grow',
        holds=shard_map.version > old.version,
        detail=f'{old.version} to {shard_map.version}',
    )
    members.state['shard_map'] = shard_map
    members.state['settled_at_s'] = None if shard_map.former else now_s
    _note_settled(members, now_s)
    return True


def _note_settled(members: Members, now_s: float) -> None:
    """Note when most former members follow the new map or are gone."""
    state = members.state
    if state['settled_at_s'] is not None:
        return
    shard_map = state['shard_map']
    moved = sum(
        _has_moved(members, name, shard_map.version)
        for name in shard_map.former
    )
    if 2 * moved > len(shard_map.former):
        state['settled_at_s'] = now_s


def _has_moved(members: Members, name: str, version: int) -> bool:
    if name == members.name:
        return True
    peer = members.peers.get(name)
    if peer is not None and peer.heartbeat.map_version >= version:
        return True
    return name in members.departed


def former_owners_stopped_at(members: Members, now_s: float) -> float | None:
    """Return when owners under an older map had stopped granting.

    An owner grants only while most members of its map confirm it, so it
    stops within `FRESH_S` of most of them having moved on.  ``None`` while
    that is not known.
    """
    settled_at_s = members.state['settled_at_s']
    return None if settled_at_s is None else settled_at_s + FRESH_S


def has_quorum(members: Members, now_s: float) -> bool:
    """Tell whether this VM may act as an owner under its map.

    Most members, or the store itself, have to have confirmed the map
    within `FRESH_S`.
    """
    shard_map = members.state['shard_map']
    if members.name not in shard_map.members:
        return False
    if now_s - members.state['store_at_s'] < FRESH_S:
        return True
    agreeing = 1 + sum(
        name in members.peers and _agrees(members.peers[name], shard_map, now_s)
        for name in shard_map.members
    )
    return 2 * agreeing > len(shard_map.members)


def _agrees(peer: Peer, shard_map: ShardMap, now_s: float) -> bool:
    """A peer's word counts from when this VM asked for it."""
    young = now_s - peer.confirmed_at_s < FRESH_S
    return young and peer.heartbeat.map_version <= shard_map.version


def record_store_confirmation(members: Members, asked_at_s: float) -> None:
    """Note that the store confirmed the map in a call begun at this time."""
    newest = max(members.state['store_at_s'], asked_at_s)
    members.state['store_at_s'] = newest


def is_isolated(members: Members, now_s: float) -> bool:
    """Tell whether the VM has heard neither the store nor another VM."""
    if now_s - members.state['started_at_s'] < ISOLATED_S:
        return False
    if now_s - members.state['store_at_s'] < ISOLATED_S:
        return False
    return not live_peers(members, now_s, ISOLATED_S)


def propose_map(members: Members, now_s: float) -> ShardMap | None:
    """Return the map that should follow, or ``None`` if today's fits.

    Only a VM that hears most of the members proposes one, so that a VM
    that is cut off does not exclude the others, and only after the former
    map's owners are known to stop.
    """
    shard_map = members.state['shard_map']
    if shard_map.version and members.state['settled_at_s'] is None:
        return None
    live = live_peers(members, now_s)
    staying = {
        name for name, peer in live.items() if not peer.heartbeat.leaving
    }
    wanted = tuple(sorted({members.name, *staying}))
    if wanted == shard_map.members:
        return None
    if not _hears_most(members, live, now_s):
        return None
    return ShardMap(shard_map.version + 1, wanted, shard_map.members)


def _hears_most(members: Members, live: dict[str, Peer], now_s: float) -> bool:
    first = members.state['shard_map'].version == 0
    heard_for_s = FIRST_MAP_S if first else GONE_S
    if now_s - members.state['started_at_s'] < heard_for_s:
        return False
    counted = [
        name
        for name in members.state['shard_map'].members
        if name not in members.departed
    ]
    heard = sum(name == members.name or name in live for name in counted)
    return 2 * heard > len(counted) or not counted
