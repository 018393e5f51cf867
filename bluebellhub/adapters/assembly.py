"""Assembly of a VM's parts from its settings."""

from typing import NamedTuple

import trio

from bluebellhub.adapters.connections import make_connections
from bluebellhub.adapters.front_end import FrontEnd
from bluebellhub.adapters.node import Node, make_node
from bluebellhub.adapters.orders import make_desk
from bluebellhub.adapters.platform import Platform, make_platform
from bluebellhub.clock import now_s
from bluebellhub.configuration import (
    Change,
    Configuration,
    make_configuration,
)
from bluebellhub.configuration.kinds import check_object
from bluebellhub.routing import policies
from bluebellhub.scheduler import Scheduler, make_scheduler
from bluebellhub.scheduler.configure import apply_change
from bluebellhub.scheduler.room import whole_window
from bluebellhub.scheduler.state import Plan
from bluebellhub.scheduler.submit import account_limits
from bluebellhub.settings import Settings

__all__ = ['Assembly', 'assemble']


class Assembly(NamedTuple):
    """The parts of one VM."""

    node: Node
    front: FrontEnd
    platform: Platform | None
    configuration: Configuration


def assemble(settings: Settings, nursery: trio.Nursery) -> Assembly:
    """Create all parts; raises `HubError` for objects that fail checks."""
    policies.find(settings.policy)
    scheduler = make_scheduler(Plan(settings.policy), whole_window)
    _apply_static(scheduler, settings)
    connections = make_connections(settings.limits.connect_timeout_s)
    node = make_node(settings, scheduler, connections, nursery)
    platform = None
    if settings.platform is not None:
        platform = make_platform(settings.platform, scheduler.counters)
    desk = make_desk(platform, nursery)
    front = FrontEnd(node, account_limits, desk)
    return Assembly(node, front, platform, make_configuration())


def _apply_static(scheduler: Scheduler, settings: Settings) -> None:
    lists = (('contract', settings.contracts), ('upstream', settings.upstreams))
    for kind, entries in lists:
        for fields in entries:
            given = dict(fields)
            name = str(given.pop('name', ''))
            record = check_object(kind, name, given)
            change = Change(kind, name, 0, record)
            apply_change(scheduler, change, now_s())
    if settings.warm_start:
        _warm(scheduler)


def _warm(scheduler: Scheduler) -> None:
    """Take the upstreams in the settings as warm."""
    from bluebellhub.upstream import make_upstream

    for name, upstream in scheduler.upstreams.items():
        scheduler.upstreams[name] = make_upstream(upstream.spec, warm=True)
