"""The clock that decisions use.

It also counts the time that a VM is suspended, so a paused process finds
its leases lapsed when it wakes up.
"""

import time

__all__ = ['now_s']


def now_s() -> float:
    """Return seconds since the VM's start, suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
