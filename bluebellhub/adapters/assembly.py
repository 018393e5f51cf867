"""Creates the components of a VM from its settings."""

import time
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import trio

from bluebellhub.adapters.connections import (
    Connections,
    make_connections,
    replace_unresponsive_pool,
)
from bluebellhub.adapters.fleet_outbox import FleetRunner, make_runner
from bluebellhub.adapters.fleet_runner import reply_claim
from bluebellhub.adapters.front_end import FrontEnd
from bluebellhub.adapters.node import Node, make_node
from bluebellhub.adapters.order_shards import (
    OrderCoordinator,
    make_order_coordinator,
)
from bluebellhub.adapters.peer_link import (
    PeerLink,
    connect_peer,
    make_peer_link,
    send,
)
from bluebellhub.adapters.platform import make_platform
from bluebellhub.clock import now_s
from bluebellhub.configuration import ObjectChange
from bluebellhub.configuration.kinds import check_object
from bluebellhub.fleet import (
    Fleet,
    Identity,
    leased_limits,
    leased_slots,
    make_fleet,
)
from bluebellhub.membership import live_peers, owner_of
from bluebellhub.order import Claim, OrderOutcome
from bluebellhub.routing import policies
from bluebellhub.scheduler import Scheduler, make_scheduler
from bluebellhub.scheduler.capacity import full_window_slots
from bluebellhub.scheduler.configure import apply_change
from bluebellhub.scheduler.options import SchedulerOptions
from bluebellhub.scheduler.state import SlotSource
from bluebellhub.scheduler.submit import account_limits
from bluebellhub.settings import Settings
from bluebellhub.upstream import Upstream, make_upstream

__all__ = ['Assembly', 'assemble']

OWNER_LIVENESS_TIMEOUT_S = 1.2


class Assembly(NamedTuple):
    """The components of one VM.

    ``runner`` is ``None`` without a platform, because there is no fleet.
    """

    node: Node
    connections: Connections
    front_end: FrontEnd
    runner: FleetRunner | None


def assemble(settings: Settings, nursery: trio.Nursery) -> Assembly:
    """Create all components.

    Raises `HubError` for an unknown routing policy and for contracts and
    upstreams in the settings that are invalid.
    """
    policies.find(settings.policy)
    if settings.platform is None or settings.peer_listen is None:
        return _assemble_standalone(settings, nursery)
    return _assemble_fleet_member(settings, settings.platform, nursery)


def _assemble_standalone(settings: Settings, nursery: trio.Nursery) -> Assembly:
    scheduler = make_scheduler(
        SchedulerOptions(settings.policy), full_window_slots
    )
    _apply_static(scheduler, settings)
    connections = make_connections(settings.limits.connect_timeout_s)
    node = _make_node(settings, scheduler, connections, nursery)
    front_end = FrontEnd(
        node,
        connections,
        account_limits,
        make_order_coordinator(None, nursery),
    )
    return Assembly(node, connections, front_end, None)


def _make_node(
    settings: Settings,
    scheduler: Scheduler,
    connections: Connections,
    nursery: trio.Nursery,
) -> Node:
    probe = partial(replace_unresponsive_pool, connections)
    return make_node(settings, scheduler, probe, nursery)


def _assemble_fleet_member(
    settings: Settings, address: str, nursery: trio.Nursery
) -> Assembly:
    fleet = _make_fleet_member(settings)
    scheduler = fleet.scheduler
    connections = make_connections(settings.limits.connect_timeout_s)
    node = _make_node(settings, scheduler, connections, nursery)
    platform = make_platform(address, scheduler.counters)
    link = _make_link(settings, scheduler)
    runner = make_runner(fleet, node, connections, link, platform, nursery)
    orders = _make_coordinator(runner)
    runner.orders.append(orders)
    front_end = FrontEnd(
        node,
        connections,
        lambda contract: leased_limits(fleet, contract, now_s()),
        orders,
        fleet,
    )
    return Assembly(node, connections, front_end, runner)


def _make_fleet_member(settings: Settings) -> Fleet:
    """Create the fleet's state on this VM, with its scheduler."""
    fleet_cell: list[Fleet] = []
    scheduler = make_scheduler(
        SchedulerOptions(settings.policy), _leased_slot_source(fleet_cell)
    )
    incarnation = int(time.time())
    identity = Identity(settings.vm, settings.failure_domain, incarnation)
    fleet = make_fleet(identity, scheduler, now_s())
    fleet_cell.append(fleet)
    return fleet


def _make_link(settings: Settings, scheduler: Scheduler) -> PeerLink:
    listen = settings.peer_listen or ''
    link = make_peer_link(settings.vm, listen, scheduler.counters)
    for peer in settings.peers:
        connect_peer(link, peer.name, peer.address)
    return link


def _leased_slot_source(fleet_cell: list[Fleet]) -> SlotSource:
    """Return a source of leased slots that looks up the fleet when called.

    The fleet is created after the scheduler, which needs the source.
    """

    def slots(upstream: Upstream, time_s: float) -> int:
        return leased_slots(fleet_cell[0])(upstream, time_s)

    return slots


def _make_coordinator(runner: FleetRunner) -> OrderCoordinator:
    return make_order_coordinator(
        runner.platform,
        runner.nursery,
        _make_forward(runner),
        lambda answer: reply_claim(runner, answer),
    )


def _make_forward(
    runner: FleetRunner,
) -> Callable[[str, Claim | OrderOutcome], bool]:
    """Return a function that sends to the shard's owner.

    It returns false if the owner is this VM or is not live.
    """

    def forward(shard: str, message: Claim | OrderOutcome) -> bool:
        shard_map = runner.fleet.members.state['shard_map']
        owner = owner_of(shard_map, f'order:{shard}')
        if owner not in live_peers(
            runner.fleet.members, now_s(), OWNER_LIVENESS_TIMEOUT_S
        ):
            return False
        send(runner.link, str(owner), message)
        return True

    return forward


def _apply_static(scheduler: Scheduler, settings: Settings) -> None:
    """Apply the contracts and upstreams that the settings contain."""
    lists = (
        ('contract', settings.contracts),
        ('upstream', settings.upstreams),
    )
    for kind, entries in lists:
        for fields in entries:
            spec = dict(fields)
            name = str(spec.pop('name', ''))
            record = check_object(kind, name, spec)
            change = ObjectChange(kind, name, 0, record)
            apply_change(scheduler, change, now_s())
    if settings.warm_start:
        _mark_warm(scheduler)


def _mark_warm(scheduler: Scheduler) -> None:
    """Mark all upstreams as warm."""
    for name, upstream in scheduler.upstreams.items():
        scheduler.upstreams[name] = make_upstream(upstream.spec, warm=True)
