"""Messages between VMs over ZeroMQ.

Each VM receives on one socket and sends on one socket per peer.  The
connection to a silent peer is replaced, because it may be lost without
either end noticing.  A message consists of two frames: the sender's name and
the encoded message.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Final, NamedTuple

import logbook
import trio
import zmq

from bluebellhub.adapters.listening import listen_when_free
from bluebellhub.errors import HubError, InvariantError, PeerMessageError
from bluebellhub.faults import report_fault
from bluebellhub.peer_messages import (
    MESSAGE_VERSION,
    decode_message,
    encode_for_version,
)

__all__ = [
    'PeerLink',
    'close_link',
    'connect_peer',
    'make_peer_link',
    'open_peer_link',
    'receive_all',
    'reconnect',
    'reconnect_silent_peers',
    'send',
    'send_all',
    'set_peer_address',
    'set_peer_version',
]

QUEUED_MESSAGES_MAX: Final = 1000
HEARTBEAT_INTERVAL_MS: Final = 1000
HEARTBEAT_TIMEOUT_MS: Final = 3000
MESSAGE_MAX_BYTES: Final = 4_194_304
SILENCE_TIMEOUT_S: Final = 3.0
FRAME_COUNT: Final = 2

log = logbook.Logger('bluebellhub.peers')
MessageHandler = Callable[[str, object], None]


class PeerLink(NamedTuple):
    """Root of the aggregate: the sockets and addresses of the other VMs.

    ``versions`` holds the version of the messages that a VM reads.
    """

    name: str
    context: zmq.Context
    inbox: zmq.Socket
    outboxes: dict[str, zmq.Socket]
    addresses: dict[str, str]
    versions: dict[str, int]
    counters: Counter[tuple[str, str]]


def make_peer_link(
    name: str, listen: str, counters: Counter[tuple[str, str]]
) -> PeerLink:
    """Create a link without peers that listens on an IP address and port."""
    context = zmq.Context(io_threads=1)
    inbox = context.socket(zmq.PULL)
    inbox.setsockopt(zmq.MAXMSGSIZE, MESSAGE_MAX_BYTES)
    inbox.setsockopt(zmq.RCVHWM, QUEUED_MESSAGES_MAX)
    inbox.setsockopt(zmq.LINGER, 0)
    try:
        inbox.bind(f'tcp://{listen}')
    except zmq.ZMQError:
        context.destroy(linger=0)
        raise
    return PeerLink(name, context, inbox, {}, {}, {}, counters)


async def open_peer_link(
    name: str, listen: str, counters: Counter[tuple[str, str]]
) -> PeerLink:
    """Create a link like `make_peer_link`, once the address is free."""

    async def make() -> PeerLink:
        return make_peer_link(name, listen, counters)

    return await listen_when_free(listen, make)


def connect_peer(link: PeerLink, name: str, address: str) -> None:
    """Set a peer's address and connect; reconnect if the address changed."""
    set_peer_address(link, name, address)
    if name in link.addresses and name not in link.outboxes:
        reconnect(link, name)


def set_peer_version(link: PeerLink, name: str, version: int) -> None:
    """Set the version of the messages that a peer reads."""
    link.versions[name] = version


def set_peer_address(link: PeerLink, name: str, address: str) -> None:
    """Set a peer's address; the first message to it opens a connection."""
    if name == link.name or link.addresses.get(name) == address:
        return
    link.addresses[name] = address
    if name in link.outboxes:
        reconnect(link, name)


def reconnect(link: PeerLink, name: str) -> None:
    """Replace the connection to a peer with a new one."""
    old_socket = link.outboxes.pop(name, None)
    if old_socket is not None:
        old_socket.close(linger=0)
    outbox = link.context.socket(zmq.PUSH)
    outbox.setsockopt(zmq.SNDHWM, QUEUED_MESSAGES_MAX)
    outbox.setsockopt(zmq.LINGER, 0)
    outbox.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    outbox.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    outbox.connect(f'tcp://{link.addresses[name]}')
    link.outboxes[name] = outbox


def reconnect_silent_peers(
    link: PeerLink,
    names: Iterable[str],
    received_at_s: Mapping[str, float],
    reconnected_at_s: dict[str, float],
    now_s: float,
) -> None:
    """Replace the connections to those of ``names`` that are silent.

    ``received_at_s`` is the time of the last message from each peer.  The
    time of each replacement is kept in ``reconnected_at_s``, so that the new
    connection gets the full timeout before it is replaced as well.
    """
    for name in link.outboxes.keys() & set(names):
        last_activity_s = max(
            received_at_s.get(name, -SILENCE_TIMEOUT_S),
            reconnected_at_s.get(name, 0.0),
        )
        if now_s - last_activity_s > SILENCE_TIMEOUT_S:
            reconnected_at_s[name] = now_s
            reconnect(link, name)


def close_link(link: PeerLink) -> None:
    """Close all sockets and drop the messages that are not sent yet."""
    link.context.destroy(linger=0)


def send(link: PeerLink, to: str, message: object) -> None:
    """Send without blocking; the message is dropped if the queue is full."""
    send_all(link, (to,), message)


def send_all(link: PeerLink, names: Iterable[str], message: object) -> None:
    """Send one message to several peers; unknown peers are skipped.

    So are those of an earlier build that does not know such messages.
    """
    forms: dict[int, bytes | None] = {}
    for name in names:
        if name not in link.addresses:
            continue
        version = link.versions.get(name, MESSAGE_VERSION)
        if version not in forms:
            forms[version] = encode_for_version(message, version)
        encoded = forms[version]
        if encoded is not None:
            _send_encoded(link, name, encoded)


def _send_encoded(link: PeerLink, to: str, encoded: bytes) -> None:
    """Send to one peer, or count the message as dropped."""
    if to not in link.outboxes:
        reconnect(link, to)
    outbox = link.outboxes[to]
    try:
        outbox.send_multipart([link.name.encode(), encoded], zmq.NOBLOCK)
    except zmq.Again:
        link.counters['peer_messages', 'dropped'] += 1
        return
    link.counters['peer_messages', 'sent'] += 1
    link.counters['peer_bytes', 'sent'] += len(encoded) + len(link.name)


async def receive_all(link: PeerLink, receive: MessageHandler) -> None:
    """Pass every received message to ``receive`` until cancelled.

    The descriptor is edge-triggered, so the socket is read until it is empty
    before waiting again.  Other tasks run between two messages.
    """
    descriptor = int(link.inbox.get(zmq.FD))
    while True:
        while int(link.inbox.get(zmq.EVENTS)) & zmq.POLLIN:
            _receive_one(link, receive)
            await trio.lowlevel.checkpoint()
        with trio.move_on_after(1.0):
            await trio.lowlevel.wait_readable(descriptor)


def _receive_one(link: PeerLink, receive: MessageHandler) -> None:
    frames = link.inbox.recv_multipart(zmq.NOBLOCK)
    link.counters['peer_messages', 'received'] += 1
    link.counters['peer_bytes', 'received'] += sum(map(len, frames))
    try:
        receive(*_decode_frames(frames))
    except InvariantError:
        raise
    except (HubError, UnicodeDecodeError) as error:
        link.counters['peer_messages', 'refused'] += 1
        log.warning('refused message of {} frames: {}', len(frames), error)
    except Exception as error:
        sender = frames[0].decode(errors='replace')
        report_fault(error, 'peer_message', sender=sender)


def _decode_frames(frames: list[bytes]) -> tuple[str, object]:
    """Return the sender and the message; raises `PeerMessageError`.

    Raises `UnicodeDecodeError` for a sender's name that is not UTF-8.
    """
    if len(frames) != FRAME_COUNT:
        raise PeerMessageError(
            f'got {len(frames)} frames, expected {FRAME_COUNT}'
        )
    sender, encoded = frames
    return sender.decode(), decode_message(encoded)
