"""The clock that all decisions use.

It includes the time for which a VM is suspended, so that a process that was
paused finds its leases expired when it resumes.
"""

import time

__all__ = ['now_epoch_s', 'now_s']


def now_s() -> float:
    """Return the seconds since the VM's boot, including suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def now_epoch_s() -> float:
    """Return the Unix time in seconds, for what outlives a VM's uptime."""
    return time.time()
