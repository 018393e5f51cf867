"""The state of a virtual fleet, and operations on it for tests."""

from collections import Counter
from random import Random
from typing import Any, Final, NamedTuple, TypedDict

from bluebellhub.fleet import Fleet
from bluebellhub.standins.platform_model import (
    PlatformModel,
    make_platform_model,
    read_object,
    write_object,
)
from bluebellhub.standins.virtual_clock import VirtualClock, make_clock

__all__ = [
    'LinkFaults',
    'VirtualFleet',
    'VmState',
    'can_reach_store',
    'kill_vm',
    'make_virtual_fleet',
    'next_active_s',
    'pause_vm',
    'write_as_operator',
]

DELAY_MAX_S: Final = 0.0015


class LinkFaults(TypedDict):
    """Faults of the network between VMs.

    ``loss`` and ``doubled`` are the probabilities that a message is lost or
    duplicated; ``delay_max_s`` is the longest delay.
    """

    loss: float
    doubled: float
    delay_max_s: float


class VmState(TypedDict):
    """Whether a VM is running, and the end of its latest pause."""

    alive: bool
    paused_until_s: float


class VirtualFleet(NamedTuple):
    """Aggregate root of the virtual fleet.

    ``partitions`` holds unordered pairs of VMs whose messages are lost in
    both directions, and ordered pairs of a sender and a receiver whose
    messages are lost in this direction only.  ``store_partitions`` holds
    the VMs that cannot reach the store.  ``traffic`` counts the messages
    and bytes that each VM has sent.
    """

    clock: VirtualClock
    platform: PlatformModel
    fleets: dict[str, Fleet]
    states: dict[str, VmState]
    partitions: set[frozenset[str] | tuple[str, str]]
    store_partitions: set[str]
    faults: LinkFaults
    random: Random
    traffic: Counter[tuple[str, str]]


def make_virtual_fleet(
    clock: VirtualClock | None = None, seed: int = 0
) -> VirtualFleet:
    """Create a fleet without VMs and without faults."""
    faults: LinkFaults = {
        'loss': 0.0,
        'doubled': 0.0,
        'delay_max_s': DELAY_MAX_S,
    }
    return VirtualFleet(
        clock or make_clock(),
        make_platform_model(),
        {},
        {},
        set(),
        set(),
        faults,
        Random(seed),
        Counter(),
    )


def kill_vm(virtual: VirtualFleet, name: str) -> None:
    """Stop a VM at once, without a shutdown."""
    virtual.states[name]['alive'] = False


def pause_vm(virtual: VirtualFleet, name: str, until_s: float) -> None:
    """Suspend a VM until ``until_s``; it keeps its state."""
    virtual.states[name]['paused_until_s'] = until_s


def write_as_operator(
    virtual: VirtualFleet, kind: str, name: str, spec: dict[str, Any]
) -> None:
    """Write a configuration object as an operator would."""
    version = read_object(virtual.platform, kind, name).version
    write_object(virtual.platform, kind, name, spec, version)


def next_active_s(
    virtual: VirtualFleet, fleet: Fleet, now_s: float
) -> float | None:
    """Return when the VM can run next: now or at the end of its pause.

    Returns None if it was killed or replaced by a restart.
    """
    name = fleet.identity.name
    is_current = virtual.fleets.get(name) is fleet
    state = virtual.states[name]
    if not is_current or not state['alive']:
        return None
    return max(now_s, state['paused_until_s'])


def can_reach_store(virtual: VirtualFleet, fleet: Fleet) -> bool:
    """Return whether the VM's store calls succeed."""
    partitioned = fleet.identity.name in virtual.store_partitions
    return not partitioned and not virtual.platform.state['down']
