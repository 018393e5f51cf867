"""Addresses that are in use when a VM starts."""

import socket
from collections import Counter
from functools import partial

import pytest
import trio
import zmq

from bluebellhub.adapters import listening
from bluebellhub.adapters.http_endpoint import Page, serve_pages
from bluebellhub.adapters.peer_link import close_link, open_peer_link

LIMIT_S = 10.0
HELD_S = 0.4


async def _serve(address):
    await serve_pages({'/alive': partial(Page, b'yes')}, address)


async def _link(address):
    close_link(await open_peer_link('hub-1', address, Counter()))


def _hold():
    """Listen at a free address; return the socket and the address."""
    held = socket.create_server(('127.0.0.1', 0))
    return held, '127.0.0.1:%d' % held.getsockname()[1]


async def _is_serving(address):
    host, _, port = address.partition(':')
    try:
        stream = await trio.open_tcp_stream(host, int(port))
    except OSError:
        return False
    await stream.aclose()
    return True


async def test_vm_serves_once_its_address_is_free():
    held, address = _hold()
    with trio.fail_after(LIMIT_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_serve, address)
            await trio.sleep(HELD_S)
            held.close()
            while not await _is_serving(address):
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()


async def test_peer_link_opens_once_its_address_is_free():
    held, address = _hold()
    with trio.fail_after(LIMIT_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_link, address)
            await trio.sleep(HELD_S)
            held.close()


@pytest.mark.parametrize('start', [_serve, _link])
async def test_address_that_stays_in_use_is_an_error(monkeypatch, start):
    monkeypatch.setattr(listening, 'WAIT_MAX_S', HELD_S)
    held, address = _hold()
    with held:
        with trio.fail_after(LIMIT_S):
            with pytest.raises((OSError, zmq.ZMQError)):
                await start(address)
