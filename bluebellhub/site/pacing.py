"""How often a VM asks the store, so that all VMs together ask seldom.

A watch that ends without a change shows that the store still answers; one
that ends with changes is begun anew.  Both cost a call, so their rates are
bounded for the whole fleet and each VM has its part.
"""

from typing import Final

__all__ = ['watch_delay_s', 'watch_timeout_s']

# Watches of one kind that all VMs together begin in a second.
IDLE_WATCHES_PER_S: Final = 6.0
CHANGED_WATCHES_PER_S: Final = 85.0
# The longest wait that the store grants, with a margin for its answer.
WATCH_TIMEOUT_MAX_S: Final = 28.0


def watch_timeout_s(least_s: float, vm_count: int) -> float:
    """Return how long a watch without changes may wait.

    >>> watch_timeout_s(1.5, 8), watch_timeout_s(1.5, 90)
    (1.5, 15.0)
    """
    return min(WATCH_TIMEOUT_MAX_S, max(least_s, vm_count / IDLE_WATCHES_PER_S))


def watch_delay_s(vm_count: int, since_change_s: float) -> float:
    """Return how long to rest after changes before the next watch.

    A change after a quiet time is followed at once; those of a burst are
    taken together.
    """
    return max(0.0, vm_count / CHANGED_WATCHES_PER_S - since_change_s)
