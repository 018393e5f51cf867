"""Messages between VMs over loopback: reconnection and bad frames."""

from collections import Counter
from typing import Final

import pytest
import trio
import zmq

from bluebellhub.adapters.peer_link import (
    PeerLink,
    close_link,
    make_peer_link,
    receive_all,
    reconnect,
    send,
    set_peer,
)
from bluebellhub.errors import InvariantError, UnknownEntryError
from bluebellhub.fleet import encode_message
from bluebellhub.order import Claim

TIMEOUT_S: Final = 10.0
COUNT: Final = 20


@pytest.fixture
def links():
    """Return two links; the first knows the second."""
    first, second = _link('first'), _link('second')
    set_peer(first, 'second', _address(second))
    yield first, second
    close_link(first)
    close_link(second)


def _link(name: str) -> PeerLink:
    return make_peer_link(name, '127.0.0.1:*', Counter())


def _address(link: PeerLink) -> str:
    endpoint = link.inbox.getsockopt(zmq.LAST_ENDPOINT).decode()
    return endpoint.removeprefix('tcp://').rstrip('\0')


def _claim(number: int) -> Claim:
    return Claim(str(number), 'key', 'body')


@pytest.mark.parametrize('every', [1, 3, COUNT])
async def test_sender_is_known_after_reconnection(links, every):
    """A message on the way while its connection is replaced may be lost.

    One that arrives names its sender, over the old connection as well.
    """
    first, second = links
    got: list[tuple[str, object]] = []
    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            for number in range(COUNT):
                send(first, 'second', _claim(number))
                if number % every == every - 1:
                    await trio.sleep(0.02)
                    reconnect(first, 'second')
            nursery.start_soon(
                receive_all, second, lambda *pair: got.append(pair)
            )
            while ('first', _claim(COUNT)) not in got:
                send(first, 'second', _claim(COUNT))
                await trio.sleep(0.02)
            nursery.cancel_scope.cancel()
    assert {sender for sender, _ in got} == {'first'}
    assert second.counters['peer_messages', 'refused'] == 0


@pytest.mark.parametrize(
    'frames',
    [
        [b'first'],
        [b'first', b'not a message'],
        [b'first', encode_message(_claim(0)), b'more'],
        [b'\xff\xfe', encode_message(_claim(0))],
    ],
)
async def test_bad_frames_are_counted_and_the_next_message_arrives(
    links, frames
):
    first, second = links
    got: list[tuple[str, object]] = []
    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                receive_all, second, lambda *pair: got.append(pair)
            )
            first.outboxes['second'].send_multipart(frames)
            send(first, 'second', _claim(1))
            while not got:
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
    assert got == [('first', _claim(1))]
    assert second.counters['peer_messages', 'refused'] == 1


@pytest.mark.parametrize(
    ('error', 'is_fatal'),
    [
        (UnknownEntryError('kind', 'new', ['old']), False),
        (InvariantError('one_owner', 'two'), True),
    ],
)
async def test_only_a_broken_invariant_ends_the_reading(links, error, is_fatal):
    first, second = links
    ended = []

    def receive(_sender: str, _message: object) -> None:
        raise error

    async def read() -> None:
        try:
            await receive_all(second, receive)
        except InvariantError:
            ended.append(True)

    with trio.fail_after(TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            send(first, 'second', _claim(1))
            while not second.counters['peer_messages', 'received']:
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
    assert bool(ended) == is_fatal
