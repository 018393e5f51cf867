"""Processor time per token of the hub, compared with a bare pass-through.

Both use the same libraries in the same run: a source streams tokens, a bare
application forwards the bytes, and a hub forwards them with all its
decisions.  The cost of the source and the client, measured separately, is
subtracted.
"""

import time
from collections.abc import AsyncIterator
from statistics import median
from typing import Final

import httpx
import trio
from quart import Response, request
from quart_trio import QuartTrio
from tabulate import tabulate

from bluebellhub.adapters.assembly import assemble
from bluebellhub.adapters.front_end import make_app
from bluebellhub.adapters.http_server import serve_app
from bluebellhub.adapters.node import run_ticks
from bluebellhub.contract import hash_key
from bluebellhub.settings import parse_settings

__all__ = ['main']

SOURCE: Final = '127.0.0.1:18951'
BARE: Final = '127.0.0.1:18952'
HUB: Final = '127.0.0.1:18953'
TOKENS: Final = 1000
ROUNDS: Final = 3
CONCURRENT: Final = 4
SETTINGS: Final = f"""
vm: hub-1
failure_domain: d
listen: {HUB}
warm_start: true
contracts:
  - name: yard
    key_sha256: {hash_key('orchard')}
    tiers: [plan]
    models: [m]
    rate_per_s: 1000
    output_tokens_max: 100000
upstreams:
  - {{name: u, address: '{SOURCE}', targets: [m], failure_domain: d}}
"""
BODY: Final = {
    'model': 'm',
    'stream': True,
    'max_tokens': TOKENS,
    'messages': [{'role': 'user', 'content': 'hi'}],
}
HEADERS: Final = {'Authorization': 'Bearer yard.orchard'}


def _make_source(tokens_per_chunk: list[int]) -> QuartTrio:
    app = QuartTrio('source')

    @app.post('/v1/chat/completions')
    async def respond() -> Response:
        attempt_id = request.headers.get('X-Request-Id', 'bare')
        return Response(_frames(attempt_id, tokens_per_chunk[0]))

    return app


async def _frames(attempt_id: str, per_chunk: int) -> AsyncIterator[bytes]:
    text = '{"choices":[{"delta":{"content":"token "}}]}'
    for start in range(0, TOKENS, per_chunk):
        offsets = range(start, start + per_chunk)
        parts = [
            f'id: {attempt_id}/{offset}\ndata: {text}\n\n' for offset in offsets
        ]
        yield ''.join(parts).encode()
        await trio.sleep(0)
    yield f'id: {attempt_id}/{TOKENS}\ndata: [DONE]\n\n'.encode()


def _make_pass_through() -> QuartTrio:
    app = QuartTrio('bare')
    client = httpx.AsyncClient(base_url=f'http://{SOURCE}', timeout=None)

    @app.post('/v1/chat/completions')
    async def respond() -> Response:
        body = await request.get_data()
        return Response(_forward(client, body))

    return app


async def _forward(
    client: httpx.AsyncClient, body: str | bytes
) -> AsyncIterator[bytes]:
    path = '/v1/chat/completions'
    async with client.stream('POST', path, content=body) as response:
        async for chunk in response.aiter_raw():
            yield chunk


async def _read_stream(client: httpx.AsyncClient, address: str) -> None:
    """Request a stream and read it; raises `httpx.ReadError` if truncated."""
    url = f'http://{address}/v1/chat/completions'
    async with client.stream(
        'POST', url, json=BODY, headers=HEADERS
    ) as response:
        received_bytes = sum(
            [len(chunk) async for chunk in response.aiter_raw()]
        )
    if received_bytes < TOKENS:
        raise httpx.ReadError(f'{address}: got {received_bytes} bytes')


async def _measure_cpu_s(client: httpx.AsyncClient, address: str) -> float:
    """Return the processor time of ``CONCURRENT`` streams, in seconds."""
    started_at_s = time.process_time()
    async with trio.open_nursery() as nursery:
        for _ in range(CONCURRENT):
            nursery.start_soon(_read_stream, client, address)
    return time.process_time() - started_at_s


async def _measure_costs(per_chunk: int) -> list[float]:
    """Return a row: ``per_chunk``, the median costs and their ratio.

    The costs are in microseconds per token, of the bare application and of
    the hub.
    """
    async with httpx.AsyncClient(timeout=60.0) as client:
        for address in (SOURCE, BARE, HUB):
            await _measure_cpu_s(client, address)
        bare_s, hub_s = [], []
        for _ in range(ROUNDS):
            source_s = await _measure_cpu_s(client, SOURCE)
            bare_s.append(await _measure_cpu_s(client, BARE) - source_s)
            hub_s.append(await _measure_cpu_s(client, HUB) - source_s)
    us_per_token = 1e6 / (TOKENS * CONCURRENT)
    bare_us = median(bare_s) * us_per_token
    hub_us = median(hub_s) * us_per_token
    return [per_chunk, bare_us, hub_us, hub_us / bare_us]


async def _measure() -> None:
    rows = []
    per_chunk = [1]
    async with trio.open_nursery() as nursery:
        assembly = assemble(parse_settings(SETTINGS), nursery)
        nursery.start_soon(run_ticks, assembly.node)
        for app, address in (
            (_make_source(per_chunk), SOURCE),
            (_make_pass_through(), BARE),
            (make_app(assembly.front_end), HUB),
        ):
            nursery.start_soon(serve_app, app, address)
        await trio.sleep(1.0)
        for tokens in (1, 4, 16):
            per_chunk[0] = tokens
            rows.append(await _measure_costs(tokens))
        nursery.cancel_scope.cancel()
    header = ['tokens/chunk', 'bare us/token', 'hub us/token', 'ratio']
    print(tabulate(rows, header, 'github', floatfmt='.2f'))


def main() -> None:
    """Run the comparison and print its table."""
    trio.run(_measure)


if __name__ == '__main__':
    main()
