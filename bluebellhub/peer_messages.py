"""Messages between VMs: the registry of their types and the encoding.

A package registers the types that it exchanges, under the names that they
have on the wire.  A VM understands the messages of the packages it loaded.

During a rolling upgrade VMs of several builds exchange messages.  Each VM
announces the version of the messages that it reads, and gets those that are
newer in the form of that version.  A new field goes to the end of its type,
with a default; the version rises with it, and the form before it is registered.
"""

from collections.abc import Callable
from functools import cache
from typing import Any, Final

import msgspec

from bluebellhub.added_fields import without_added_fields
from bluebellhub.errors import PeerMessageError, UnknownEntryError
from bluebellhub.registry import Registry, make_registry

__all__ = [
    'MESSAGE_VERSION',
    'Message',
    'decode_message',
    'encode_for_version',
    'encode_message',
    'message_types',
    'older_forms',
    'wire_name',
]

# The version of the messages of this build.
MESSAGE_VERSION: Final = 2

Message = Any
# Gets a message and the version that its receiver reads.  Returns the message
# in the form of that version, or ``None`` if that version lacks it.
OlderForm = Callable[[Any, int], Any]

message_types: Registry[Any] = make_registry('message type')
older_forms: Registry[OlderForm] = make_registry('older form of a message')

_encoder: Final = msgspec.msgpack.Encoder()
_frame_decoder: Final = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])


def wire_name(message: Message) -> str:
    """Return the name of a message's type on the wire.

    The name is independent of the class name, which may change.  A type
    outside the registry goes by the name of its class.
    """
    kind = type(message)
    for name, registered in message_types.entries.items():
        if registered is kind:
            return name
    return kind.__name__


@cache
def _decoder(name: str) -> msgspec.msgpack.Decoder:
    """Return the decoder of a type; raises `UnknownEntryError`."""
    return msgspec.msgpack.Decoder(message_types.find(name))


def encode_message(message: Message) -> bytes:
    """Return a message encoded together with the name of its type."""
    return _encoder.encode((wire_name(message), message))


def encode_for_version(message: Message, version: int) -> bytes | None:
    """Return a message in the form that a VM of another build reads.

    This is ``None`` if messages of that version have no such type.
    """
    name = wire_name(message)
    if version >= MESSAGE_VERSION or name not in older_forms.entries:
        return encode_message(message)
    older = older_forms.find(name)(message, version)
    return None if older is None else _encoder.encode((name, older))


def _decode(name: str, raw: msgspec.Raw) -> Message:
    """Decode a message of a type; raises `UnknownEntryError`."""
    try:
        return _decoder(name).decode(raw)
    except msgspec.ValidationError:
        kind = message_types.find(name)
        plain = msgspec.msgpack.decode(raw)
        return msgspec.convert(without_added_fields(plain, kind), kind)


def decode_message(encoded: bytes) -> Message:
    """Return the decoded message, without fields that a newer build added.

    Raises `PeerMessageError` if the type is unknown or the content invalid.
    """
    try:
        name, raw = _frame_decoder.decode(encoded)
        return _decode(name, raw)
    except UnknownEntryError as error:
        raise PeerMessageError(f'unknown message type {error.got!r}') from None
    except (msgspec.MsgspecError, RecursionError) as error:
        raise PeerMessageError(f'cannot decode message: {error}') from None
