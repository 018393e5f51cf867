"""The cost of an event that the passing path passes on.

Callers read streams from a scripted upstream three ways, all in this process
on one loop: directly, through a bare pass-through with the same libraries
(h11 on trio), and through a VM.  The difference to the direct way is what
lies between.  Run it with ``python -m benchmarks.passing``.
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


async def _upstream(stream: trio.SocketStream) -> None:
    """Answer with events, each written on its own."""
    async with stream:
        await stream.receive_some()
        await stream.send_all(HEAD)
        for number in range(1, EVENTS + 1):
            event = b'id: %d\ndata: %s\n\n' % (number, b'x' * 60)
            await stream.send_all(b'%x\r\n%s\r\n' % (len(event), event))
            await trio.lowlevel.checkpoint()
        await stream.send_all(LAST)


async def _relay(port: int, caller: trio.SocketStream) -> None:
    """Pass bytes through h11 at both ends and decide nothing."""
    server, client = h11.Connection(h11.SERVER), h11.Connection(h11.CLIENT)
    async with caller, await trio.open_tcp_stream('127.0.0.1', port) as up:
        server.receive_data(await caller.receive_some())
        asked = [server.next_event(), h11.EndOfMessage()]
        await up.send_all(b''.join(client.send(event) for event in asked))
        event = None
        while not isinstance(event, h11.EndOfMessage):
            event = await _next_event(client, up)
            await caller.send_all(server.send(event) or b'')


async def _next_event(client: h11.Connection, up: trio.SocketStream) -> Any:
    event = client.next_event()
    while event is h11.NEED_DATA:
        client.receive_data(await up.receive_some(READ_BYTES))
        event = client.next_event()
    return event


@asynccontextmanager
async def _serving(handler) -> AsyncIterator[int]:
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            partial(trio.serve_tcp, handler, 0, host='127.0.0.1')
        )
        yield listeners[0].socket.getsockname()[1]
        nursery.cancel_scope.cancel()


async def _measure(hub: RunningHub) -> float:
    """Return the processor time of an event in microseconds."""
    asked = request(headers=CLOSE).replace(b'3000', b'30000')
    began_s = time.process_time()
    for _ in range(STREAMS):
        answer = await send_and_receive(hub, asked, until=LAST)
        assert answer.count(b'data: ') == EVENTS
    return (time.process_time() - began_s) / STREAMS / EVENTS * US_PER_S


async def _measure_all() -> list[tuple[str, float]]:
    async with _serving(_upstream) as port:
        direct = await _measure(RunningHub(None, port, []))
        async with _serving(partial(_relay, port)) as relayed:
            bare = await _measure(RunningHub(None, relayed, []))
        fields = {'is_stream': True, 'timeout_s': 60.0}
        async with running_hub(
            addresses=(f'127.0.0.1:{port}',), **fields
        ) as hub:
            passed = await _measure(hub)
    return [('bare pass-through', bare - direct), ('hub', passed - direct)]


def main() -> None:
    """Print the least of some rounds and the ratio."""
    least: dict[str, float] = {}
    for _ in range(ROUNDS):
        for name, cost_us in trio.run(_measure_all):
            least[name] = min(cost_us, least.get(name, cost_us))
    bare_us = least['bare pass-through']
    rows = [
        (name, round(cost_us, 1), round(cost_us / bare_us, 2))
        for name, cost_us in least.items()
    ]
    print(tabulate(rows, headers=('way', 'us an event', 'ratio')))


if __name__ == '__main__':
    main()
