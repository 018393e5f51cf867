"""HTTP server around the engine model, with fault injection.

Chat completions are streamed as server-sent events with ids of the form
``attempt/offset``, so that a client can resume a truncated stream and
detect a response that belongs to another request.  ``POST /control`` sets
faults from a JSON object.
"""

from collections import deque
from collections.abc import AsyncIterator
from typing import Final, NamedTuple, TypedDict

import msgspec
import trio
from quart import Response, request

from bluebellhub.adapters.chat import analyze_prompt, parse_chat
from bluebellhub.adapters.http_server import HttpApp, make_http_app, read_body
from bluebellhub.standins.engine_model import (
    Engine,
    EngineDownError,
    accept,
    cancel,
    crash,
    is_idle,
    report_load,
    run_step,
)
from bluebellhub.standins.engine_records import Emission, Job
from bluebellhub.standins.faults import make_fault
from bluebellhub.upstream import LoadReport

__all__ = ['EngineServer', 'make_engine_app', 'make_engine_server', 'run_steps']

IDLE_POLL_INTERVAL_S: Final = 0.002
LOAD_REPORTS_MAX: Final = 1000
EMISSION_BUFFER_SIZE: Final = 4096


class ServerFaults(TypedDict):
    """Faults of the server and its connections, not of the engine model.

    ``cut_after`` and ``stall_after`` are token offsets of the next response
    at which it is truncated or stalls; 0 disables them.  ``crossed`` sends
    the next response with the id of another request.  Load reports are
    published ``report_lag_s`` seconds late.  Commands with a fence lower
    than ``fence`` are refused.
    """

    cut_after: int
    stall_after: int
    crossed: bool
    report_lag_s: float
    fence: int


class EngineServer(NamedTuple):
    """Aggregate root: the model and a channel for each of its jobs."""

    engine: Engine
    channels: dict[str, trio.MemorySendChannel[Emission | None]]
    faults: ServerFaults
    reports: deque[LoadReport]


def make_engine_server(engine: Engine) -> EngineServer:
    """Create a server without faults."""
    faults: ServerFaults = {
        'cut_after': 0,
        'stall_after': 0,
        'crossed': False,
        'report_lag_s': 0.5,
        'fence': 0,
    }
    return EngineServer(engine, {}, faults, deque(maxlen=LOAD_REPORTS_MAX))


async def run_steps(server: EngineServer) -> None:
    """Run the engine's steps in real time until cancelled."""
    while True:
        server.reports.append(report_load(server.engine, trio.current_time()))
        if is_idle(server.engine):
            await trio.sleep(IDLE_POLL_INTERVAL_S)
            continue
        result = run_step(server.engine, trio.current_time())
        await trio.sleep(result.elapsed_s)
        for emission in result.emissions:
            _send_emission(server, emission)


def _send_emission(server: EngineServer, emission: Emission) -> None:
    """Queue a token for its response, or end it if the job failed.

    Cancels the job if the reader is too slow or has gone.
    """
    channel = server.channels.get(emission.job_id)
    if channel is None:
        return
    try:
        channel.send_nowait(None if emission.failed else emission)
    except (trio.WouldBlock, trio.BrokenResourceError):
        cancel(server.engine, emission.job_id)


def make_engine_app(server: EngineServer) -> HttpApp:
    """Create the HTTP application of a server."""
    app = make_http_app('engine')
    app.config['RESPONSE_TIMEOUT'] = None
    _add_chat_route(app, server)
    _add_engine_routes(app, server)
    return app


def _parse_job(job_id: str, raw: bytes, offset: int) -> Job:
    body = parse_chat(raw)
    tokens, blocks = analyze_prompt(body)
    output = body.get('max_tokens', 64)
    return Job(job_id, 'default', tokens, output, blocks, offset)


def _add_chat_route(app: HttpApp, server: EngineServer) -> None:
    @app.post('/v1/chat/completions')
    async def complete_chat() -> Response:
        job_id = request.headers['X-Request-Id']
        offset = int(request.headers.get('Last-Event-ID', '0'))
        job = _parse_job(job_id, await read_body(), offset)
        send_channel, receive_channel = trio.open_memory_channel[
            Emission | None
        ](EMISSION_BUFFER_SIZE)
        try:
            lost_ids = accept(server.engine, job, trio.current_time())
        except EngineDownError:
            return Response(b'down', 503)
        server.channels[job_id] = send_channel
        _abort_streams(server, lost_ids)
        body = _stream_frames(server, job, receive_channel)
        response = Response(body, content_type='text/event-stream')
        response.timeout = None
        return response


def _abort_streams(server: EngineServer, lost_ids: list[str]) -> None:
    """End the responses of lost jobs without a last frame."""
    for job_id in lost_ids:
        channel = server.channels.get(job_id)
        if channel is not None:
            channel.send_nowait(None)


async def _stream_frames(
    server: EngineServer,
    job: Job,
    receive_channel: trio.MemoryReceiveChannel[Emission | None],
) -> AsyncIterator[bytes]:
    faults = server.faults
    response_id = 'someone-else.1' if faults['crossed'] else job.job_id
    cut_after = faults['cut_after']
    stall_after = faults['stall_after']
    faults.update({'cut_after': 0, 'stall_after': 0, 'crossed': False})
    try:
        async for emission in _until_disconnect(receive_channel, cut_after):
            if stall_after and emission.offset >= stall_after:
                await trio.sleep_forever()
            yield _encode_frames(response_id, emission)
    finally:
        server.channels.pop(job.job_id, None)
        cancel(server.engine, job.job_id)


async def _until_disconnect(
    receive_channel: trio.MemoryReceiveChannel[Emission | None], cut_after: int
) -> AsyncIterator[Emission]:
    """Yield emissions up to the last, a failure or the ``cut_after`` fault."""
    async for emission in receive_channel:
        if emission is None or (cut_after and emission.offset >= cut_after):
            return
        yield emission
        if emission.finished:
            return


def _encode_frames(job_id: str, emission: Emission) -> bytes:
    token = _encode_token_frame(job_id, emission)
    if not emission.finished:
        return token
    return b'%s%s' % (token, _encode_end_frames(job_id, emission))


def _encode_token_frame(job_id: str, emission: Emission) -> bytes:
    text = f'tok{emission.offset} '
    choice = {'index': 0, 'delta': {'content': text}}
    payload = msgspec.json.encode(
        {'object': 'chat.completion.chunk', 'choices': [choice]}
    )
    return b'id: %s/%d\ndata: %s\n\n' % (
        job_id.encode(),
        emission.offset,
        payload,
    )


def _encode_end_frames(job_id: str, emission: Emission) -> bytes:
    end = f'id: {job_id}/{emission.offset + 1}\ndata: '.encode()
    details = {'cached_tokens': emission.cached_tokens}
    usage = msgspec.json.encode(
        {'choices': [], 'usage': {'prompt_tokens_details': details}}
    )
    return b'%s%s\n\n%s[DONE]\n\n' % (end, usage, end)


def _add_engine_routes(app: HttpApp, server: EngineServer) -> None:
    @app.get('/v1/load')
    async def load() -> Response:
        now_s = trio.current_time()
        lag_s = server.faults['report_lag_s']
        published = [
            report
            for report in server.reports
            if report.taken_at_s <= now_s - lag_s
        ]
        report = published[-1] if published else server.reports[0]
        age_s = now_s - report.taken_at_s
        return _json({**report._asdict(), 'age_s': age_s})

    @app.get('/v1/cache-events')
    async def cache_events() -> Response:
        since = int(request.args.get('since', '0'))
        events = [
            event for event in server.engine.events if event.number > since
        ]
        return _json(events)

    @app.post('/v1/orders')
    async def execute_command() -> Response:
        fence = int(request.headers.get('X-Fence', '0'))
        if fence < server.faults['fence']:
            return _json({'fence': server.faults['fence']}, 409)
        server.faults['fence'] = fence
        return _json({'fence': fence})

    @app.post('/control')
    async def control() -> Response:
        fields = msgspec.json.decode(await read_body())
        if fields.pop('die', False):
            _abort_streams(server, crash(server.engine, trio.current_time()))
        for fault in fields.pop('faults', ()):
            server.engine.faults.append(make_fault(**fault))
        server.faults.update(fields)
        return _json(server.faults)


def _json(body: object, status: int = 200) -> Response:
    encoded = msgspec.json.encode(body)
    return Response(encoded, status, content_type='application/json')
