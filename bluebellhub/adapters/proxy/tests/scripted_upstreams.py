"""A VM on the loopback interface, with upstreams that follow scripts."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from typing import NamedTuple

import trio

from bluebellhub.adapters.node import make_node, run_ticks
from bluebellhub.adapters.proxy.duty_kinds import make_duty_work
from bluebellhub.adapters.proxy.server import serve_connection
from bluebellhub.adapters.proxy.state import Proxy
from bluebellhub.clock import now_s
from bluebellhub.settings import DutySettings, Settings
from bluebellhub.site.admission import admit_request
from bluebellhub.site.tests.small_site import (
    make_registration,
    make_request_head,
    make_small_site,
)
from bluebellhub.site.upstreams import apply_registration

__all__ = [
    'RunningHub',
    'fill_retry_budget',
    'listen',
    'read_head',
    'running_hub',
    'send_and_receive',
    'send_without_end',
]

LIMIT_S = 10.0


class RunningHub(NamedTuple):
    """A VM, its port and the request heads that upstreams received."""

    proxy: Proxy
    port: int
    received: list[bytes]


async def _play_script(script, received, stream):
    """Answer each connection with the next step of the script.

    A step consists of the bytes to write after a request head, and of what
    follows: ``keep`` the connection open, ``close`` it or ``reset`` it.
    """
    response, ending = script.pop(0) if len(script) > 1 else script[0]
    async with stream:
        head = await read_head(stream)
        if not head:
            return
        received.append(head)
        try:
            await stream.send_all(response)
        except trio.BrokenResourceError:
            return
        if ending == 'keep':
            await _read_to_end(stream)
        if ending == 'reset':
            # SO_LINGER with 0 s: closing the socket sends a reset.
            stream.setsockopt(1, 13, b'\x01\0\0\0\0\0\0\0')


async def read_head(stream):
    """Return a request's head and what came with it; empty at the end."""
    head = b''
    while b'\r\n\r\n' not in head:
        part = await stream.receive_some()
        if not part:
            return b''
        head += part
    return head


async def _read_to_end(stream):
    received = b'x'
    while received:
        received = await stream.receive_some()


@asynccontextmanager
async def running_hub(
    *scripts, addresses=(), duties='', **fields
) -> AsyncIterator[RunningHub]:
    """Run a VM with one upstream for each script.

    ``addresses`` are those of further upstreams that run already, and
    ``duties`` those that the settings name.
    """
    received: list[bytes] = []
    with trio.fail_after(LIMIT_S):
        async with trio.open_nursery() as nursery:
            site = make_small_site(**fields)
            site.scheduler.flags['checks_links'] = True
            for number, script in enumerate(scripts):
                port = await listen(
                    nursery, partial(_play_script, list(script), received)
                )
                entry = make_registration(
                    f'u{number}', address=f'127.0.0.1:{port}'
                )
                apply_registration(site, entry, now_s())
            for address in addresses:
                entry = make_registration(address, address=address)
                apply_registration(site, entry, now_s())
            settings = Settings('hub-1', 'd', '127.0.0.1:1')
            node = make_node(settings, site.scheduler, _probe, nursery)
            work = make_duty_work(DutySettings(duties=duties), 1)
            proxy = Proxy(node, site, {}, {}, {}, work)
            nursery.start_soon(run_ticks, node)
            port = await listen(nursery, partial(serve_connection, proxy))
            yield RunningHub(proxy, port, received)
            nursery.cancel_scope.cancel()


def fill_retry_budget(hub):
    """Admit requests, so that the retry budget allows retries."""
    for number in range(60):
        head = make_request_head(f'other-{number}')
        admit_request(hub.proxy.site, head, now_s())


async def _probe(spec):
    """Fail: a site does not probe its upstreams."""
    raise AssertionError(spec.name)


async def listen(nursery, handler):
    """Serve connections on the loopback interface; return the port."""
    listeners = await nursery.start(
        partial(trio.serve_tcp, handler, 0, host='127.0.0.1')
    )
    return listeners[0].socket.getsockname()[1]


async def send_without_end(start, part, sent_bytes, stream):
    """Serve a connection: write ``start``, then ``part`` until it fails.

    The size of each part written is added to ``sent_bytes``.
    """
    async with stream:
        await stream.receive_some()
        await stream.send_all(start)
        while True:
            try:
                await stream.send_all(part)
            except trio.BrokenResourceError:
                return
            sent_bytes.append(len(part))


async def send_and_receive(hub, *sent, until=None):
    """Send to the VM; read until it closes or has sent ``until``."""
    stream = await trio.open_tcp_stream('127.0.0.1', hub.port)
    async with stream:
        for part in sent:
            await stream.send_all(part)
        response = b''
        while until is None or until not in response:
            part = await stream.receive_some()
            if not part:
                break
            response += part
        return response
