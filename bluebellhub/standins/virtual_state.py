"""The state of a virtual fleet, and what a test does to it."""

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
    'acts_at',
    'kill_vm',
    'make_virtual_fleet',
    'pause_vm',
    'reaches_store',
    'write_as_operator',
]

DELAY_S: Final = 0.0015


class LinkFaults(TypedDict):
    """Faults of the link; ratios of messages lost and doubled."""

    loss: float
    doubled: float
    delay_max_s: float


class VmState(TypedDict):
    """Whether a VM lives, and until when it is paused."""

    alive: bool
    paused_until_s: float


class VirtualFleet(NamedTuple):
    """The root.

    ``partitions`` holds unordered pairs of VMs that do not hear each other, and
    ordered ones of a sender and a receiver that does not hear it, and
    ``store_partitions`` VMs that do not reach the store.  ``traffic`` counts
    messages and bytes sent by VM.
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
        'delay_max_s': DELAY_S,
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
    """Stop a VM without notice."""
    virtual.states[name]['alive'] = False


def pause_vm(virtual: VirtualFleet, name: str, until_s: float) -> None:
    """Suspend a VM: it keeps its memory and acts on nothing."""
    virtual.states[name]['paused_until_s'] = until_s


def write_as_operator(
    virtual: VirtualFleet, kind: str, name: str, spec: dict[str, Any]
) -> None:
    """Write a configuration object as an operator would."""
    version = read_object(virtual.platform, kind, name).version
    write_object(virtual.platform, kind, name, spec, version)


def acts_at(virtual: VirtualFleet, fleet: Fleet, now_s: float) -> float | None:
    """Return when the VM acts: now, after its pause, or never."""
    name = fleet.identity.name
    current = virtual.fleets.get(name) is fleet
    state = virtual.states[name]
    if not current or not state['alive']:
        return None
    return max(now_s, state['paused_until_s'])


def reaches_store(virtual: VirtualFleet, fleet: Fleet) -> bool:
    """Tell whether the VM's calls of the store are answered."""
    cut = fleet.identity.name in virtual.store_partitions
    return not cut and not virtual.platform.state['down']
