"""Membership of the fleet as seen by one VM: heartbeats and failures."""

from typing import Final, NamedTuple, TypedDict

from bluebellhub.invariants import check_invariant
from bluebellhub.membership.heartbeat import Heartbeat
from bluebellhub.membership.shard_map import ShardMap

__all__ = [
    'CONFIRMATION_TIMEOUT_S',
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

CONFIRMATION_TIMEOUT_S: Final = 1.2
FAILURE_TIMEOUT_S: Final = 4.0
FIRST_MAP_DELAY_S: Final = 1.0
ISOLATION_TIMEOUT_S: Final = 3.0
SENT_TIMES_KEPT: Final = 64
NUMBERS_PER_INCARNATION: Final = 1_000_000_000


class Peer(NamedTuple):
    """Another VM's last heartbeat and the time when it was received.

    ``confirmed_at_s`` is the time when this VM sent the newest heartbeat
    that the peer has echoed.  The peer's state was sent after that time.
    """

    heartbeat: Heartbeat
    received_at_s: float
    confirmed_at_s: float


class MembersState(TypedDict):
    """Mutable state: the shard map, times and the heartbeat number.

    ``settled_at_s`` is the time when most members of the former map were
    known to have left it, or ``None`` before that.  ``store_at_s`` is the
    start of the newest call in which the store confirmed the map.
    """

    shard_map: ShardMap
    settled_at_s: float | None
    store_at_s: float
    started_at_s: float
    number: int


class Members(NamedTuple):
    """Aggregate root: this VM's name, its peers and the shard map.

    ``listed`` is the platform's VM list as last read, and ``departed`` the
    VMs that have been removed from it.  ``sent`` maps heartbeat numbers to
    the times when they were sent.
    """

    name: str
    peers: dict[str, Peer]
    listed: set[str]
    departed: set[str]
    sent: dict[int, float]
    state: MembersState


def make_members(name: str, incarnation: int, now_s: float) -> Members:
    """Return the state of a VM that has received no heartbeat.

    ``incarnation`` grows with every start of the VM, so that the numbers of
    its heartbeats never repeat.
    """
    state: MembersState = {
        'shard_map': ShardMap(0, ()),
        'settled_at_s': None,
        'store_at_s': -float('inf'),
        'started_at_s': now_s,
        'number': incarnation * NUMBERS_PER_INCARNATION,
    }
    return Members(name, {}, set(), set(), {}, state)


def number_heartbeat(members: Members, now_s: float) -> int:
    """Record a round of heartbeats that is sent now; returns its number."""
    number = members.state['number'] + 1
    members.state['number'] = number
    members.sent[number] = now_s
    members.sent.pop(number - SENT_TIMES_KEPT, None)
    return number


def apply_heartbeat(
    members: Members, heartbeat: Heartbeat, now_s: float
) -> None:
    """Record a heartbeat, unless a newer one has been received."""
    old = members.peers.get(heartbeat.vm)
    confirmed_at_s = members.sent.get(heartbeat.echo, -float('inf'))
    if old is not None:
        if heartbeat.number <= old.heartbeat.number:
            return
        confirmed_at_s = max(confirmed_at_s, old.confirmed_at_s)
    members.peers[heartbeat.vm] = Peer(heartbeat, now_s, confirmed_at_s)
    _update_settled(members, now_s)


def echo_for(members: Members, name: str) -> int:
    """Return the number of a VM's last heartbeat, or 0 if there is none."""
    peer = members.peers.get(name)
    return peer.heartbeat.number if peer else 0


def set_listed_vms(members: Members, names: set[str]) -> None:
    """Apply the platform's VM list, which may be out of date."""
    members.departed.update(members.listed - names)
    members.departed.difference_update(names)
    members.listed.clear()
    members.listed.update(names)


def live_peers(
    members: Members, now_s: float, within_s: float = FAILURE_TIMEOUT_S
) -> dict[str, Peer]:
    """Return the peers with a heartbeat in the last ``within_s`` seconds."""
    return {
        name: peer
        for name, peer in members.peers.items()
        if now_s - peer.received_at_s < within_s
    }


def adopt_map(members: Members, shard_map: ShardMap, now_s: float) -> bool:
    """Adopt the map if it is newer; returns whether it was."""
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
    _update_settled(members, now_s)
    return True


def _update_settled(members: Members, now_s: float) -> None:
    """Record when most former members have adopted the map or departed."""
    state = members.state
    if state['settled_at_s'] is not None:
        return
    shard_map = state['shard_map']
    left_count = sum(
        _has_left_former_map(members, name, shard_map.version)
        for name in shard_map.former
    )
    if 2 * left_count > len(shard_map.former):
        state['settled_at_s'] = now_s


def _has_left_former_map(members: Members, name: str, version: int) -> bool:
    """Return whether a VM follows the map of ``version`` or has departed."""
    if name == members.name:
        return True
    peer = members.peers.get(name)
    if peer is not None and peer.heartbeat.map_version >= version:
        return True
    return name in members.departed


def former_owners_stopped_at(members: Members, now_s: float) -> float | None:
    """Return the time by which owners under an older map stopped granting.

    An owner grants only while most members of its map confirm it, so it
    stops within `CONFIRMATION_TIMEOUT_S` after most of them have adopted a
    newer map.  Returns ``None`` while that is not known.
    """
    settled_at_s = members.state['settled_at_s']
    return (
        None if settled_at_s is None else settled_at_s + CONFIRMATION_TIMEOUT_S
    )


def has_quorum(members: Members, now_s: float) -> bool:
    """Return whether this VM may act as an owner under its map.

    Most members, or the store itself, must have confirmed the map within
    the last `CONFIRMATION_TIMEOUT_S` seconds.
    """
    shard_map = members.state['shard_map']
    if members.name not in shard_map.members:
        return False
    if now_s - members.state['store_at_s'] < CONFIRMATION_TIMEOUT_S:
        return True
    confirming = 1 + sum(
        name in members.peers
        and _confirms_map(members.peers[name], shard_map, now_s)
        for name in shard_map.members
    )
    return 2 * confirming > len(shard_map.members)


def _confirms_map(peer: Peer, shard_map: ShardMap, now_s: float) -> bool:
    """Return whether a peer has recently confirmed that it has no newer map.

    The confirmation is as old as the heartbeat of this VM that it echoes.
    """
    is_recent = now_s - peer.confirmed_at_s < CONFIRMATION_TIMEOUT_S
    return is_recent and peer.heartbeat.map_version <= shard_map.version


def record_store_confirmation(members: Members, requested_at_s: float) -> None:
    """Record that the store confirmed the map in a call begun at this time."""
    newest = max(members.state['store_at_s'], requested_at_s)
    members.state['store_at_s'] = newest


def is_isolated(members: Members, now_s: float) -> bool:
    """Return whether this VM has lost contact with the store and all VMs.

    It has if neither has responded for `ISOLATION_TIMEOUT_S` seconds.
    """
    if now_s - members.state['started_at_s'] < ISOLATION_TIMEOUT_S:
        return False
    if now_s - members.state['store_at_s'] < ISOLATION_TIMEOUT_S:
        return False
    return not live_peers(members, now_s, ISOLATION_TIMEOUT_S)


def propose_map(members: Members, now_s: float) -> ShardMap | None:
    """Return the next shard map, or ``None`` if none is needed or allowed.

    Only a VM that receives heartbeats from most members proposes a map, so
    that a partitioned VM doesn't exclude the others.  It does so only after
    the owners under the former map are known to stop.
    """
    shard_map = members.state['shard_map']
    if shard_map.version and members.state['settled_at_s'] is None:
        return None
    live = live_peers(members, now_s)
    staying = {
        name for name, peer in live.items() if not peer.heartbeat.leaving
    }
    proposed = tuple(sorted({members.name, *staying}))
    if proposed == shard_map.members:
        return None
    if not _reaches_most_members(members, live, now_s):
        return None
    return ShardMap(shard_map.version + 1, proposed, shard_map.members)


def _reaches_most_members(
    members: Members, live: dict[str, Peer], now_s: float
) -> bool:
    """Return whether most members that have not departed are live.

    After its start a VM first waits long enough to receive heartbeats.
    """
    first = members.state['shard_map'].version == 0
    observation_s = FIRST_MAP_DELAY_S if first else FAILURE_TIMEOUT_S
    if now_s - members.state['started_at_s'] < observation_s:
        return False
    expected = [
        name
        for name in members.state['shard_map'].members
        if name not in members.departed
    ]
    live_count = sum(name == members.name or name in live for name in expected)
    return 2 * live_count > len(expected) or not expected
