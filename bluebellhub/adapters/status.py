"""A VM's status report for operators."""

from typing import TypedDict

from bluebellhub.adapters.node import Node
from bluebellhub.clock import now_s
from bluebellhub.fleet import Fleet
from bluebellhub.membership import live_peers

__all__ = ['NodeStatus', 'describe']


class NodeStatus(TypedDict):
    """The response body of ``GET /status``.

    ``revision`` is the revision of the active configuration and
    ``map_version`` the version of the shard map; both are 0 on a VM without
    a fleet.
    """

    vm: str
    state: str
    in_progress: int
    queued: int
    peers: int
    map_version: int
    revision: int
    upstreams: int
    domains_out: list[str]


def describe(node: Node, fleet: Fleet | None) -> NodeStatus:
    """Return the status of this VM; ``fleet`` is ``None`` without one."""
    scheduler = node.scheduler
    queued = sum(len(queue.waiting) for queue in scheduler.queues.values())
    status: NodeStatus = {
        'vm': node.settings.vm,
        'state': _state(node),
        'in_progress': len(scheduler.requests),
        'queued': queued,
        'peers': 0,
        'map_version': 0,
        'revision': 0,
        'upstreams': len(scheduler.upstreams),
        'domains_out': sorted(scheduler.domains_out),
    }
    if fleet is not None:
        status['peers'] = len(live_peers(fleet.members, now_s()))
        status['map_version'] = fleet.members.state['shard_map'].version
        status['revision'] = fleet.configuration.progress['revision']
    return status


def _state(node: Node) -> str:
    """Return the state of the VM as one word, ``ok`` if it is serving."""
    flags = node.scheduler.flags
    if flags['draining']:
        return 'draining'
    return 'isolated' if flags['isolated'] else 'ok'
