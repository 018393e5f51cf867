"""Processor time per event that the proxy forwards.

Callers read streams from a scripted upstream in three ways, all in this
process on one loop: directly, through a bare pass-through with the same
libraries (h11 on trio), and through a VM.  The cost of the direct way is
subtracted from the others.  Run it with ``python -m benchmarks.passing``.
"""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from typing import Any, Final

import h11
import trio
from tabulate import tabulate

from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    RunningHub,
    running_hub,
    send_and_receive,
)
from bluebellhub.platform.tests.wire import SIGNATURE, request

__all__ = ['main']

EVENTS: Final = 200
STREAMS: Final = 40
ROUNDS: Final = 5
READ_BYTES: Final = 65_536
HEAD: Final = (
    b'HTTP/1.1 200 OK\r\n%s'
    b'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n'
) % SIGNATURE
CLOSE: Final = b'Connection: close\r\n'
LAST: Final = b'0\r\n\r\n'
US_PER_S: Final = 1e6


async def _serve_events(stream: trio.SocketStream) -> None:
    """Respond with events, each sent by a write of its own."""
    async with stream:
        await stream.receive_some()
        await stream.send_all(HEAD)
        for number in range(1, EVENTS + 1):
            event = b'id: %d\ndata: %s\n\n' % (number, b'x' * 60)
            await stream.send_all(b'%x\r\n%s\r\n' % (len(event), event))
            await trio.lowlevel.checkpoint()
        await stream.send_all(LAST)


async def _relay_stream(port: int, caller: trio.SocketStream) -> None:
    """Forward a stream through h11 on both sides, without any decisions."""
    server, client = h11.Connection(h11.SERVER), h11.Connection(h11.CLIENT)
    async with (
        caller,
        await trio.open_tcp_stream('127.0.0.1', port) as upstream,
    ):
        server.receive_data(await caller.receive_some())
        request_events = [server.next_event(), h11.EndOfMessage()]
        await upstream.send_all(
            b''.join(client.send(event) for event in request_events)
        )
        event = None
        while not isinstance(event, h11.EndOfMessage):
            event = await _next_event(client, upstream)
            await caller.send_all(server.send(event) or b'')


async def _next_event(
    client: h11.Connection, upstream: trio.SocketStream
) -> Any:
    event = client.next_event()
    while event is h11.NEED_DATA:
        client.receive_data(await upstream.receive_some(READ_BYTES))
        event = client.next_event()
    return event


@asynccontextmanager
async def _listening(handler) -> AsyncIterator[int]:
    """Serve connections with ``handler``; yields the port."""
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            partial(trio.serve_tcp, handler, 0, host='127.0.0.1')
        )
        yield listeners[0].socket.getsockname()[1]
        nursery.cancel_scope.cancel()


async def _measure(hub: RunningHub) -> float:
    """Return the processor time per event in microseconds."""
    raw_request = request(headers=CLOSE).replace(b'3000', b'30000')
    started_at_s = time.process_time()
    for _ in range(STREAMS):
        response = await send_and_receive(hub, raw_request, until=LAST)
        assert response.count(b'data: ') == EVENTS
    return (time.process_time() - started_at_s) / STREAMS / EVENTS * US_PER_S


async def _measure_all() -> list[tuple[str, float]]:
    async with _listening(_serve_events) as port:
        direct = await _measure(RunningHub(None, port, []))
        async with _listening(partial(_relay_stream, port)) as relay_port:
            bare = await _measure(RunningHub(None, relay_port, []))
        fields = {'is_stream': True, 'timeout_s': 60.0}
        async with running_hub(
            addresses=(f'127.0.0.1:{port}',), **fields
        ) as hub:
            through_hub = await _measure(hub)
    return [('bare pass-through', bare - direct), ('hub', through_hub - direct)]


def main() -> None:
    """Print the lowest cost of ``ROUNDS`` rounds, and the ratio."""
    lowest_us: dict[str, float] = {}
    for _ in range(ROUNDS):
        for name, cost_us in trio.run(_measure_all):
            lowest_us[name] = min(cost_us, lowest_us.get(name, cost_us))
    bare_us = lowest_us['bare pass-through']
    rows = [
        (name, round(cost_us, 1), round(cost_us / bare_us, 2))
        for name, cost_us in lowest_us.items()
    ]
    print(tabulate(rows, headers=('way', 'us an event', 'ratio')))


if __name__ == '__main__':
    main()
