"""Messages between VMs: the registry of their types and the encoding."""

from typing import Any, Final, NamedTuple

import msgspec

from bluebellhub.budget import GrantBatch, RenewalBatch
from bluebellhub.configuration import StoredObject
from bluebellhub.errors import PeerMessageError
from bluebellhub.membership import Heartbeat, ShardMap
from bluebellhub.order import Claim, ClaimAnswer, OrderOutcome
from bluebellhub.registry import Registry
from bluebellhub.site.reports import DomainReport, GossipBatch
from bluebellhub.version_move import RouteOutcomes

__all__ = [
    'BadVersion',
    'ConfigRequest',
    'ConfigUpdate',
    'EngineCommand',
    'MapRequest',
    'Message',
    'OutcomeReport',
    'Outgoing',
    'Revoke',
    'StoreRead',
    'StoreWrite',
    'decode_message',
    'encode_message',
    'message_types',
    'wire_name',
]


class Revoke(NamedTuple):
    """Revokes the leases on these budgets; sent by their owner."""

    keys: list[str]


class MapRequest(NamedTuple):
    """Requests the shard map if it is newer than ``version``."""

    version: int


class ConfigRequest(NamedTuple):
    """Requests the configuration objects newer than ``revision``."""

    revision: int


class ConfigUpdate(NamedTuple):
    """All objects changed up to ``revision`` that the receiver lacks."""

    revision: int
    objects: list[StoredObject]


class OutcomeReport(NamedTuple):
    """Cumulative outcome counts of a VM, sent to the leader of a move."""

    model: str
    to_version: str
    route_outcomes: list[RouteOutcomes]


class BadVersion(NamedTuple):
    """Reports that a version is bad."""

    model: str
    version: str


Message = Any

message_types: Registry[Any] = Registry(
    'message type',
    {
        'BadVersion': BadVersion,
        'Claim': Claim,
        'ClaimAnswer': ClaimAnswer,
        'ConfigAsk': ConfigRequest,
        'ConfigNews': ConfigUpdate,
        'DomainNews': DomainReport,
        'EvidenceReport': OutcomeReport,
        'GrantBatch': GrantBatch,
        'Heartbeat': Heartbeat,
        'MapAsk': MapRequest,
        'NewsBatch': GossipBatch,
        'Outcome': OrderOutcome,
        'RenewalBatch': RenewalBatch,
        'Revoke': Revoke,
        'ShardMap': ShardMap,
    },
)
_wire_names: Final = {
    kind: name for name, kind in message_types.entries.items()
}

_encoder: Final = msgspec.msgpack.Encoder()
_frame_decoder: Final = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_decoders: Final = {
    name: msgspec.msgpack.Decoder(kind)
    for name, kind in message_types.entries.items()
}


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


def wire_name(message: Message) -> str:
    """Return the name of a message's type on the wire.

    The name is independent of the class name, which may change.  A type
    outside the registry goes by the name of its class.
    """
    kind = type(message)
    return _wire_names.get(kind, kind.__name__)


def encode_message(message: Message) -> bytes:
    """Return a message encoded together with the name of its type."""
    return _encoder.encode((wire_name(message), message))


def decode_message(encoded: bytes) -> Message:
    """Return the decoded message.

    Raises `PeerMessageError` if the type is unknown or the content invalid.
    """
    try:
        name, raw = _frame_decoder.decode(encoded)
        return _decoders[name].decode(raw)
    except KeyError as error:
        raise PeerMessageError(f'unknown message type {error}') from None
    except msgspec.MsgspecError as error:
        raise PeerMessageError(f'cannot decode message: {error}') from None
