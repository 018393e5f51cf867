"""Messages between VMs of two builds, as in a rolling upgrade."""

from pathlib import Path
from types import UnionType
from typing import Any, Final, get_args, get_type_hints

import msgspec
import pytest
import yaml

from bluebellhub.errors import PeerMessageError
from bluebellhub.peer_messages import (
    decode_message,
    encode_for_version,
    encode_message,
    message_types,
)
from bluebellhub.tests.message_shapes import misfit, register_messages

SAMPLES: Final = Path(__file__).parent / 'samples'
MESSAGES: Final = dict(
    line.split() for line in (SAMPLES / 'peer_messages.txt').open()
)
register_messages()

# The shapes of messages that earlier landings read, by the version that their
# VMs announce or that follows from what they announce.
LANDINGS: Final = [('d5715b7', 1), ('1aa9241', 2)]


@pytest.mark.parametrize(('landing', 'version'), LANDINGS)
@pytest.mark.parametrize('name', MESSAGES)
def test_message_is_read_by_earlier_landings(
    landing: str, version: int, name: str
) -> None:
    """VMs deaf to the upgraded ones take the fleet for smaller than it is."""
    shapes = yaml.safe_load((SAMPLES / f'shapes/{landing}.yaml').read_text())
    message = decode_message(bytes.fromhex(MESSAGES[name]))
    encoded = encode_for_version(message, version)
    if encoded is None:
        assert name not in shapes
        return
    wire_name, plain = msgspec.msgpack.decode(encoded, strict=False)
    assert misfit(plain, shapes[wire_name]) is None
    newest = encode_message(message)
    _, plain = msgspec.msgpack.decode(newest, strict=False)
    is_read_whole = misfit(plain, shapes[wire_name]) is None
    assert (encoded == newest) is is_read_whole


@pytest.mark.parametrize('name', MESSAGES)
def test_fields_that_a_newer_build_added_are_skipped(name: str) -> None:
    """A last field that is not known would end gossip during an upgrade."""
    encoded = bytes.fromhex(MESSAGES[name])
    message = decode_message(encoded)
    wire_name, plain = msgspec.msgpack.decode(encoded)
    longer = lengthened(plain, message_types.find(name))
    newer = msgspec.msgpack.encode((wire_name, longer))
    assert newer != encoded
    assert decode_message(newer) == message


def lengthened(plain: Any, kind: Any) -> Any:
    """Return content with one more field at the end of each record."""
    options = get_args(kind) if isinstance(kind, UnionType) else (kind,)
    for option in options:
        args = get_args(option)
        if isinstance(plain, list) and hasattr(option, '_fields'):
            kinds = get_type_hints(option).values()
            pairs = zip(plain, kinds, strict=False)
            return [*(lengthened(part, each) for part, each in pairs), 'added']
        if isinstance(plain, list) and len(args) == 1:
            return [lengthened(part, args[0]) for part in plain]
        if isinstance(plain, dict) and args:
            return {key: lengthened(plain[key], args[1]) for key in plain}
    return plain


@pytest.mark.parametrize('name', ['NewsBatch', 'DutyReport'])
@pytest.mark.parametrize(
    'content',
    [b'\x91' * 5000 + b'\x90', b'\x81\x91\x01\x02', b'\xc1', b'\x92\x01'],
)
def test_malformed_message_is_refused(name: str, content: bytes) -> None:
    encoded = b'\x92' + msgspec.msgpack.encode(name) + content
    with pytest.raises(PeerMessageError):
        decode_message(encoded)
