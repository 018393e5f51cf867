"""Polling of the upstreams' load reports."""

from typing import Final, NamedTuple

import httpx
import trio

from bluebellhub.adapters.connections import pool_for, use_pool
from bluebellhub.adapters.node import Node
from bluebellhub.clock import now_s
from bluebellhub.errors import SettingsError
from bluebellhub.records import read_record
from bluebellhub.scheduler import hear_load
from bluebellhub.upstream import LoadReport

__all__ = ['poll_loads']

INTERVAL_S: Final = 1.0
TIMEOUT_S: Final = 1.0


class ReportBody(NamedTuple):
    """A load report's fields on the wire; ``age_s`` seconds old."""

    age_s: float
    boot_id: str
    running: int
    waiting_prefill_tokens: int


async def poll_loads(node: Node) -> None:
    """Read every upstream's report once a second until cancelled."""
    while True:
        with trio.move_on_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for name in list(node.scheduler.upstreams):
                    nursery.start_soon(_poll, node, name)
        await trio.sleep(INTERVAL_S)


async def _poll(node: Node, name: str) -> None:
    spec = node.scheduler.upstreams[name].spec
    try:
        async with use_pool(pool_for(node.connections, spec)) as client:
            response = await client.get('/v1/load', timeout=TIMEOUT_S)
        body = read_record(ReportBody, response.json(), 'load report')
    except (httpx.HTTPError, SettingsError, ValueError):
        node.scheduler.counters['refused_reports', name] += 1
        return
    _hear(node, name, body)


def _hear(node: Node, name: str, body: ReportBody) -> None:
    report = LoadReport(
        now_s() - body.age_s,
        body.boot_id,
        body.running,
        body.waiting_prefill_tokens,
    )
    hear_load(node.scheduler, name, report, now_s())
