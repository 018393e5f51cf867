"""Polls load reports and cache events of the upstreams."""

from typing import Annotated, Final, TypedDict

import httpx
import msgspec
import trio

from bluebellhub.adapters.connections import (
    Connections,
    get_pool,
    use_pool,
)
from bluebellhub.adapters.memory import (
    MemoryExhaustedError,
    make_reservation,
    release_memory,
)
from bluebellhub.adapters.node import Node
from bluebellhub.adapters.service_response import (
    ResponseTooLargeError,
    read_response,
)
from bluebellhub.clock import now_s
from bluebellhub.errors import HubError
from bluebellhub.faults import isolate_fault
from bluebellhub.routing.cache_events import CacheEvent, apply_cache_events
from bluebellhub.scheduler import apply_load_report
from bluebellhub.upstream import LoadReport, UpstreamSpec

__all__ = ['ReportError', 'parse_events', 'parse_report', 'poll_loads']

POLL_INTERVAL_S: Final = 1.0
TIMEOUT_S: Final = 1.0
AGE_MAX_S: Final = 86_400.0
COUNT_MAX: Final = 1_000_000_000


class ReportError(HubError):
    """A load report or a list of cache events cannot be decoded."""


REFUSED_REPORTS: Final = (
    httpx.HTTPError,
    MemoryExhaustedError,
    ReportError,
    ResponseTooLargeError,
)


class ReportBody(TypedDict):
    """The fields of a load report on the wire; others are ignored.

    ``age_s`` is the age of the values in seconds.
    """

    age_s: Annotated[float, msgspec.Meta(ge=0, le=AGE_MAX_S)]
    boot_id: str
    running: Annotated[int, msgspec.Meta(ge=0, le=COUNT_MAX)]
    waiting_prefill_tokens: Annotated[int, msgspec.Meta(ge=0, le=COUNT_MAX)]


_report_decoder: Final = msgspec.json.Decoder(ReportBody)
_events_decoder: Final = msgspec.json.Decoder(list[CacheEvent])


def parse_report(content: bytes, received_at_s: float) -> LoadReport:
    """Decode a load report that arrived at ``received_at_s``.

    The returned report is dated back by its age.  Raises `ReportError`.
    """
    try:
        body = _report_decoder.decode(content)
    except msgspec.MsgspecError as error:
        raise ReportError(f'load report: {error}') from None
    return LoadReport(
        received_at_s - body['age_s'],
        body['boot_id'],
        body['running'],
        body['waiting_prefill_tokens'],
    )


def parse_events(content: bytes) -> list[CacheEvent]:
    """Decode cache events; raises `ReportError`."""
    try:
        return _events_decoder.decode(content)
    except msgspec.MsgspecError as error:
        raise ReportError(f'cache events: {error}') from None


async def poll_loads(node: Node, connections: Connections) -> None:
    """Poll all upstreams about once a second until cancelled."""
    while True:
        with trio.move_on_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for upstream in list(node.scheduler.upstreams.values()):
                    nursery.start_soon(_poll, node, connections, upstream.spec)
        await trio.sleep(POLL_INTERVAL_S)


async def _poll(
    node: Node, connections: Connections, spec: UpstreamSpec
) -> None:
    """Poll one upstream and count a failure as a refused report."""
    with isolate_fault('load_report', upstream=spec.name):
        try:
            async with use_pool(get_pool(connections, spec)) as client:
                await _poll_report(node, client, spec)
                await _poll_events(node, client, spec)
        except REFUSED_REPORTS:
            node.scheduler.counters['refused_reports', spec.name] += 1


async def _get(
    node: Node, client: httpx.AsyncClient, path: str, **query: str
) -> bytes:
    """Return the body of a response; raises `REFUSED_REPORTS`."""
    reservation = make_reservation(node.memory)
    request = client.build_request('GET', path, params=query, timeout=TIMEOUT_S)
    try:
        response = await read_response(client, request, reservation)
    finally:
        release_memory(reservation)
    return response.body


async def _poll_report(
    node: Node, client: httpx.AsyncClient, spec: UpstreamSpec
) -> None:
    report = parse_report(await _get(node, client, '/v1/load'), now_s())
    apply_load_report(node.scheduler, spec.name, report, now_s())
    node.scheduler.counters['reports', spec.name] += 1


async def _poll_events(
    node: Node, client: httpx.AsyncClient, spec: UpstreamSpec
) -> None:
    """Read an engine's cache events since the last read of the same boot."""
    upstream = node.scheduler.upstreams.get(spec.name)
    if spec.kind != 'engine' or upstream is None or upstream.report is None:
        return
    key = (spec.name, upstream.report.boot_id)
    last_event = node.cache_events.get(key, 0)
    events = await _get(node, client, '/v1/cache-events', since=str(last_event))
    node.cache_events[key] = apply_cache_events(
        node.scheduler.prefixes,
        spec.name,
        last_event,
        parse_events(events),
    )
