"""Messages between the VMs of a fleet, and calls for its adapters."""

from typing import Any, NamedTuple

from bluebellhub.configuration import StoredObject
from bluebellhub.peer_messages import Message, message_types
from bluebellhub.version_move import RouteOutcomes

__all__ = [
    'BadVersion',
    'ConfigRequest',
    'ConfigUpdate',
    'EngineCommand',
    'MapRequest',
    'OutcomeReport',
    'Outgoing',
    'Revoke',
    'StoreRead',
    'StoreWrite',
]


@message_types.register('Revoke')
class Revoke(NamedTuple):
    """Revokes the leases on these budgets; sent by their owner."""

    keys: list[str]


@message_types.register('MapAsk')
class MapRequest(NamedTuple):
    """Requests the shard map if it is newer than ``version``."""

    version: int


@message_types.register('ConfigAsk')
class ConfigRequest(NamedTuple):
    """Requests the configuration objects newer than ``revision``."""

    revision: int


@message_types.register('ConfigNews')
class ConfigUpdate(NamedTuple):
    """All objects changed up to ``revision`` that the receiver lacks."""

    revision: int
    objects: list[StoredObject]


@message_types.register('EvidenceReport')
class OutcomeReport(NamedTuple):
    """Cumulative outcome counts of a VM, sent to the leader of a move."""

    model: str
    to_version: str
    route_outcomes: list[RouteOutcomes]


@message_types.register('BadVersion')
class BadVersion(NamedTuple):
    """Reports that a version is bad."""

    model: str
    version: str


class Outgoing(NamedTuple):
    """A message to the VM called ``to``."""

    to: str
    message: Message


class StoreWrite(NamedTuple):
    """A conditional update of an object in the store."""

    kind: str
    name: str
    spec: dict[str, Any]
    version: int


class StoreRead(NamedTuple):
    """A read of an object in the store."""

    kind: str
    name: str


class EngineCommand(NamedTuple):
    """Commands an upstream to load a version.

    ``fence`` is the fencing number of the leader.
    """

    upstream: str
    model: str
    version: str
    fence: int
