"""Registry of how queued requests expire, by scheduling discipline."""

from collections.abc import Callable

from bluebellhub.registry import Registry, make_registry
from bluebellhub.scheduler.events import Event
from bluebellhub.scheduler.state import Scheduler

__all__ = ['expiries']

Expiry = Callable[[Scheduler, list[Event], str, float], None]

expiries: Registry[Expiry] = make_registry('expiry')
