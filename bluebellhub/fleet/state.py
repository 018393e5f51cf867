"""The state of one VM's part in the fleet."""

import time
from collections.abc import Callable
from typing import NamedTuple, TypedDict

from bluebellhub.budget import Budget, Holder, make_holder
from bluebellhub.configuration import Configuration, make_configuration
from bluebellhub.fleet.messages import (
    EngineCommand,
    Outgoing,
    StoreRead,
    StoreWrite,
)
from bluebellhub.membership import Members, make_members, owner_of
from bluebellhub.scheduler import Scheduler
from bluebellhub.upstream import Window
from bluebellhub.version_move import LeaderState, VersionMove

__all__ = [
    'AnnouncedFloor',
    'Fleet',
    'Identity',
    'Outbox',
    'is_owner',
    'make_fleet',
    'map_members',
    'send_all',
]


class Identity(NamedTuple):
    """This VM; ``incarnation`` grows with every start."""

    name: str
    failure_domain: str
    incarnation: int


class Outbox(NamedTuple):
    """What the decisions want to be sent and written."""

    messages: list[Outgoing]
    writes: list[StoreWrite]
    reads: list[StoreRead]
    orders: list[EngineCommand]


class Clocks(TypedDict):
    """Times of what happens now and then, on the VM's clock."""

    config_asked_at_s: float
    map_asked_at_s: float


class AnnouncedFloor(NamedTuple):
    """A wanted floor, and when the first heartbeat with it was sent."""

    rank: int
    at_s: float


class Fleet(NamedTuple):
    """The root.

    ``budgets`` and ``windows`` are those that this VM owns, ``leads`` the
    moves that it leads; ``moves`` are all moves.  ``bad`` names versions
    known to be bad as ``model/version``, ``stored`` the versions of change
    statuses in the store and ``statuses`` the object versions that are
    known to be in force everywhere.  ``due`` holds the next time of each
    duty, ``highs`` the recent demand for each budget and ``told`` the floors
    that this VM has asked for, by model or service.  The last entry of
    ``time_of_day`` returns seconds since the epoch.
    """

    identity: Identity
    scheduler: Scheduler
    members: Members
    holder: Holder
    configuration: Configuration
    budgets: dict[str, Budget]
    windows: dict[str, Window]
    moves: dict[str, VersionMove]
    leads: dict[str, LeaderState]
    bad: set[str]
    stored: dict[tuple[str, str], int]
    statuses: dict[tuple[str, str], int]
    due: dict[str, float]
    highs: dict[str, float]
    told: dict[str, AnnouncedFloor]
    clocks: Clocks
    outbox: Outbox
    time_of_day: list[Callable[[], float]]


def make_fleet(identity: Identity, scheduler: Scheduler, now_s: float) -> Fleet:
    """Create a VM's part that has heard nobody and leads nothing."""
    scheduler.flags['fleet'] = True
    clocks: Clocks = {
        'config_asked_at_s': -float('inf'),
        'map_asked_at_s': -float('inf'),
    }
    return Fleet(
        identity=identity,
        scheduler=scheduler,
        members=make_members(identity.name, identity.incarnation, now_s),
        holder=make_holder(identity.incarnation),
        configuration=make_configuration(),
        budgets={},
        windows={},
        moves={},
        leads={},
        bad=set(),
        stored={},
        statuses={},
        due={},
        highs={},
        told={},
        clocks=clocks,
        outbox=Outbox([], [], [], []),
        time_of_day=[time.time],
    )


def map_members(fleet: Fleet) -> tuple[str, ...]:
    """Return the members of the shard map."""
    return fleet.members.state['shard_map'].members


def is_owner(fleet: Fleet, key: str) -> bool:
    """Tell whether the shard map makes this VM the owner of ``key``."""
    shard_map = fleet.members.state['shard_map']
    return owner_of(shard_map, key) == fleet.identity.name


def send_all(fleet: Fleet, message: object) -> None:
    """Put a message for all other VMs known to live into the outbox."""
    for name in fleet.members.peers:
        fleet.outbox.messages.append(Outgoing(name, message))
