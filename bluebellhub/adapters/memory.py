"""Memory that requests take for bytes that are kept, not passed on.

These are bodies of requests, and what is buffered of responses.  Each request
may keep a few bytes; what goes beyond that comes from a budget of the VM, so
that faulty upstreams and large requests cannot use up its memory.
"""

from typing import Final, NamedTuple, TypedDict

from bluebellhub.errors import HubError

__all__ = [
    'TOTAL_MAX_BYTES',
    'MemoryBudget',
    'MemoryExhaustedError',
    'Reservation',
    'make_memory_budget',
    'make_reservation',
    'release_memory',
    'reserve_memory',
]

# The smallest VMs have 128 MB, and use about half of it themselves.
TOTAL_MAX_BYTES: Final = 33_554_432
FREE_BYTES: Final = 65_536


class MemoryExhaustedError(HubError):
    """A request needs more memory than the budget of the VM has left."""

    def __init__(self, needed_bytes: int, left_bytes: int) -> None:
        super().__init__(f'needs {needed_bytes} bytes, {left_bytes} are left')


class MemoryBudget(TypedDict):
    """The bytes that all requests of a VM have reserved."""

    reserved_bytes: int


class Reservation(NamedTuple):
    """The part of the budget that one request has reserved."""

    budget: MemoryBudget
    own: MemoryBudget


def make_memory_budget() -> MemoryBudget:
    """Create a budget of which nothing is reserved."""
    return {'reserved_bytes': 0}


def make_reservation(budget: MemoryBudget) -> Reservation:
    """Create a reservation of no bytes."""
    return Reservation(budget, make_memory_budget())


def reserve_memory(reservation: Reservation, size: int) -> None:
    """Reserve memory for a request that keeps ``size`` bytes by now.

    A request that has kept more before needs no more.  Raises
    `MemoryExhaustedError` if the budget has not enough left.

    >>> first = make_reservation(make_memory_budget())
    >>> reserve_memory(first, FREE_BYTES + 10)
    >>> first.budget
    {'reserved_bytes': 10}
    """
    budget, own = reservation
    added = size - FREE_BYTES - own['reserved_bytes']
    if added <= 0:
        return
    left = TOTAL_MAX_BYTES - budget['reserved_bytes']
    if added > left:
        raise MemoryExhaustedError(added, left)
    budget['reserved_bytes'] += added
    own['reserved_bytes'] += added


def release_memory(reservation: Reservation) -> None:
    """Return what a request has reserved to the budget."""
    reservation.budget['reserved_bytes'] -= reservation.own['reserved_bytes']
    reservation.own['reserved_bytes'] = 0
