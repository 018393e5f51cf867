"""Messages between VMs, a registry of types, and their encoding."""

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
    """An owner's word that leases on these budgets are void."""

    keys: list[str]


class MapRequest(NamedTuple):
    """A wish for the shard map if it is newer than ``version``."""

    version: int


class ConfigRequest(NamedTuple):
    """A wish for the objects newer than ``revision``."""

    revision: int


class ConfigUpdate(NamedTuple):
    """All objects changed up to ``revision`` that the asker lacks."""

    revision: int
    objects: list[StoredObject]


class OutcomeReport(NamedTuple):
    """A VM's running totals for a move, to the move's leader."""

    model: str
    to_version: str
    totals: list[RouteOutcomes]


class BadVersion(NamedTuple):
    """A version has shown itself to be bad."""

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
    """A message for the VM called ``to``."""

    to: str
    message: Message


class StoreWrite(NamedTuple):
    """A conditional update for the store."""

    kind: str
    name: str
    spec: dict[str, Any]
    version: int


class StoreRead(NamedTuple):
    """A wish to read an object of the store."""

    kind: str
    name: str


class EngineCommand(NamedTuple):
    """An order to load a version, with the leader's fencing number."""

    upstream: str
    model: str
    version: str
    fence: int


def wire_name(message: Message) -> str:
    """Return the name under which a message's type goes over the wire."""
    kind = type(message)
    return _wire_names.get(kind, kind.__name__)


def encode_message(message: Message) -> bytes:
    """Encode a message with the name of its type."""
    return _encoder.encode((wire_name(message), message))


def decode_message(encoded: bytes) -> Message:
    """Decode a message; raises `PeerMessageError`."""
    try:
        name, raw = _frame_decoder.decode(encoded)
        return _decoders[name].decode(raw)
    except KeyError as error:
        raise PeerMessageError(f'got message type {error}') from None
    except msgspec.MsgspecError as error:
        raise PeerMessageError(f'unreadable message: {error}') from None
