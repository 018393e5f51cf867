"""The state of one VM as a member of the fleet."""

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
    """The identity of this VM; ``incarnation`` grows with every start."""

    name: str
    failure_domain: str
    incarnation: int


class Outbox(NamedTuple):
    """Messages, store calls and engine commands that adapters execute."""

    messages: list[Outgoing]
    writes: list[StoreWrite]
    reads: list[StoreRead]
    engine_commands: list[EngineCommand]


class Clocks(TypedDict):
    """Times of the last requests to peers, on the VM's clock."""

    config_asked_at_s: float
    map_asked_at_s: float


class AnnouncedFloor(NamedTuple):
    """A requested floor, and when it was first sent in a heartbeat."""

    rank: int
    at_s: float


class Fleet(NamedTuple):
    """Aggregate root: the state of one VM as a member of the fleet.

    ``budgets`` and ``windows`` are those that this VM owns.  ``moves`` holds
    all version moves, ``leader_states`` those that this VM leads.
    ``bad_versions`` lists versions known to be bad as ``model/version``.

    ``status_versions`` holds the versions of the change statuses in the
    store, and ``reported_versions`` the object versions that are known to be
    active on all VMs.  ``next_run_s`` holds the next time of each periodic
    task, ``peak_demand`` the decaying peak of the demand for each budget,
    and ``announced_floors`` the floors that this VM has requested, by model
    or service.  The last entry of ``time_of_day`` returns seconds since the
    epoch.
    """

    identity: Identity
    scheduler: Scheduler
    members: Members
    holder: Holder
    configuration: Configuration
    budgets: dict[str, Budget]
    windows: dict[str, Window]
    moves: dict[str, VersionMove]
    leader_states: dict[str, LeaderState]
    bad_versions: set[str]
    status_versions: dict[tuple[str, str], int]
    reported_versions: dict[tuple[str, str], int]
    next_run_s: dict[str, float]
    peak_demand: dict[str, float]
    announced_floors: dict[str, AnnouncedFloor]
    clocks: Clocks
    outbox: Outbox
    time_of_day: list[Callable[[], float]]


def make_fleet(identity: Identity, scheduler: Scheduler, now_s: float) -> Fleet:
    """Return the state of a VM that knows no other VM and leads no move."""
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
        leader_states={},
        bad_versions=set(),
        status_versions={},
        reported_versions={},
        next_run_s={},
        peak_demand={},
        announced_floors={},
        clocks=clocks,
        outbox=Outbox([], [], [], []),
        time_of_day=[time.time],
    )


def map_members(fleet: Fleet) -> tuple[str, ...]:
    """Return the names of the members of the shard map."""
    return fleet.members.state['shard_map'].members


def is_owner(fleet: Fleet, key: str) -> bool:
    """Return whether this VM owns ``key`` under the shard map."""
    shard_map = fleet.members.state['shard_map']
    return owner_of(shard_map, key) == fleet.identity.name


def send_all(fleet: Fleet, message: object) -> None:
    """Add a message to the outbox for every known peer."""
    for name in fleet.members.peers:
        fleet.outbox.messages.append(Outgoing(name, message))
