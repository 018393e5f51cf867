"""How often a VM calls the store, so that the fleet's call rate is bounded.

A watch that ends without a change shows that the store still responds; one that
ends with changes is followed by another watch. Both cost a call, so their rates
are bounded for the whole fleet, and each VM gets an even part of them.
"""

from typing import Final

__all__ = [
    'STANDBY_DELAY_S',
    'WATCHING_VMS_MAX',
    'retry_interval_s',
    'watch_delay_s',
    'watch_timeout_s',
]

# Watches of one kind that all VMs together may start per second.
IDLE_WATCHES_PER_S: Final = 6.0
CHANGED_WATCHES_PER_S: Final = 85.0
# In a fleet with relays, bursts are delayed as in one of at most this size: by
# 1 s. A response that is lost after it is repeated within 2 s all the same.
WATCHING_VMS_MAX: Final = 85
# A relay next to a better one delays them by 1.5 s.
STANDBY_DELAY_S: Final = 1.5
# Calls that fail are repeated at this rate by all VMs together: six kinds each,
# in an outage, stay below 1,500 calls/s.
RETRIES_PER_S: Final = 250.0
# The longest wait that the store allows, less a margin for its response.
WATCH_TIMEOUT_MAX_S: Final = 28.0
# When all VMs and upstreams start together, the upstreams register one by one.
STARTUP_S: Final = 3.0
STARTUP_DELAY_S: Final = 1.0


def watch_timeout_s(min_s: float, vm_count: int) -> float:
    """Return how many seconds a watch without changes may wait.

    This is ``min_s`` for a small fleet and grows with ``vm_count`` up to
    `WATCH_TIMEOUT_MAX_S`.

    >>> watch_timeout_s(1.5, 8), watch_timeout_s(1.5, 90)
    (1.5, 15.0)
    """
    return min(WATCH_TIMEOUT_MAX_S, max(min_s, vm_count / IDLE_WATCHES_PER_S))


def watch_delay_s(
    vm_count: int, since_change_s: float, uptime_s: float
) -> float:
    """Return how many seconds to wait after changes before the next watch.

    ``since_change_s`` is the time since the changes before. After a quiet
    period the next watch starts at once; in a burst it is delayed, so that
    several changes are read together. This VM runs for ``uptime_s``.
    """
    interval_s = vm_count / CHANGED_WATCHES_PER_S
    if uptime_s < STARTUP_S:
        interval_s = max(interval_s, STARTUP_DELAY_S)
    return max(0.0, interval_s - since_change_s)


def retry_interval_s(vm_count: int) -> float:
    """Return how many seconds apart a VM repeats a call of a kind that fails.

    >>> retry_interval_s(16), retry_interval_s(200)
    (0.064, 0.8)
    """
    return vm_count / RETRIES_PER_S
