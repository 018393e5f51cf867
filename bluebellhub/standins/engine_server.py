"""The engine model behind HTTP, with faults on demand.

It speaks the chat completions protocol as server-sent events whose ids are
``attempt/offset``, so that a cut stream can be resumed and a crossed answer
is noticed.  ``POST /control`` sets faults as a JSON object.
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

__all__ = ['EngineServer', 'make_engine_app', 'make_engine_server', 'run']

IDLE_S: Final = 0.002
REPORTS_KEPT: Final = 1000
QUEUED_EMISSIONS: Final = 4096


class ServerFaults(TypedDict):
    """Faults of the connection rather than of the engine.

    ``cut_after`` and ``stall_after`` count tokens of the next answer;
    ``crossed`` makes the next answer carry another one's id.
    """

    cut_after: int
    stall_after: int
    crossed: bool
    report_lag_s: float
    fence: int


class EngineServer(NamedTuple):
    """The root: the model and the channels of its running jobs."""

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
    return EngineServer(engine, {}, faults, deque(maxlen=REPORTS_KEPT))


async def run(server: EngineServer) -> None:
    """Run the engine's steps in real time until cancelled."""
    while True:
        server.reports.append(report_load(server.engine, trio.current_time()))
        if is_idle(server.engine):
            await trio.sleep(IDLE_S)
            continue
        result = run_step(server.engine, trio.current_time())
        await trio.sleep(result.elapsed_s)
        for emission in result.emissions:
            _hand_out(server, emission)


def _hand_out(server: EngineServer, emission: Emission) -> None:
    channel = server.channels.get(emission.job_id)
    if channel is None:
        return
    try:
        channel.send_nowait(None if emission.failed else emission)
    except (trio.WouldBlock, trio.BrokenResourceError):
        cancel(server.engine, emission.job_id)


def make_engine_app(server: EngineServer) -> HttpApp:
    """Create the application around a server."""
    app = make_http_app('engine')
    app.config['RESPONSE_TIMEOUT'] = None
    _add_answers(app, server)
    _add_state(app, server)
    return app


def _job_of(job_id: str, raw: bytes, offset: int) -> Job:
    body = parse_chat(raw)
    tokens, blocks = analyze_prompt(body)
    output = body.get('max_tokens', 64)
    return Job(job_id, 'default', tokens, output, blocks, offset)


def _add_answers(app: HttpApp, server: EngineServer) -> None:
    @app.post('/v1/chat/completions')
    async def answer() -> Response:
        job_id = request.headers['X-Request-Id']
        offset = int(request.headers.get('Last-Event-ID', '0'))
        job = _job_of(job_id, await read_body(), offset)
        outgoing, incoming = trio.open_memory_channel[Emission | None](
            QUEUED_EMISSIONS
        )
        try:
            lost = accept(server.engine, job, trio.current_time())
        except EngineDownError:
            return Response(b'down', 503)
        server.channels[job_id] = outgoing
        _drop(server, lost)
        body = _frames(server, job, incoming)
        response = Response(body, content_type='text/event-stream')
        response.timeout = None
        return response


def _drop(server: EngineServer, lost: list[str]) -> None:
    for job_id in lost:
        channel = server.channels.get(job_id)
        if channel is not None:
            channel.send_nowait(None)


async def _frames(
    server: EngineServer,
    job: Job,
    incoming: trio.MemoryReceiveChannel[Emission | None],
) -> AsyncIterator[bytes]:
    faults = server.faults
    shown_id = 'someone-else.1' if faults['crossed'] else job.job_id
    cut_after = faults['cut_after']
    stall_after = faults['stall_after']
    faults.update({'cut_after': 0, 'stall_after': 0, 'crossed': False})
    try:
        async for emission in _until_cut(incoming, cut_after):
            if stall_after and emission.offset >= stall_after:
                await trio.sleep_forever()
            yield _frames_of(shown_id, emission)
    finally:
        server.channels.pop(job.job_id, None)
        cancel(server.engine, job.job_id)


async def _until_cut(
    incoming: trio.MemoryReceiveChannel[Emission | None], cut_after: int
) -> AsyncIterator[Emission]:
    """Yield emissions to the last one, or until a failure or a cut."""
    async for emission in incoming:
        if emission is None or (cut_after and emission.offset >= cut_after):
            return
        yield emission
        if emission.finished:
            return


def _frames_of(job_id: str, emission: Emission) -> bytes:
    token = _token_frame(job_id, emission)
    if not emission.finished:
        return token
    return b'%s%s' % (token, _end_frames(job_id, emission))


def _token_frame(job_id: str, emission: Emission) -> bytes:
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


def _end_frames(job_id: str, emission: Emission) -> bytes:
    end = f'id: {job_id}/{emission.offset + 1}\ndata: '.encode()
    details = {'cached_tokens': emission.cached_tokens}
    usage = msgspec.json.encode(
        {'choices': [], 'usage': {'prompt_tokens_details': details}}
    )
    return b'%s%s\n\n%s[DONE]\n\n' % (end, usage, end)


def _add_state(app: HttpApp, server: EngineServer) -> None:
    @app.get('/v1/load')
    async def load() -> Response:
        now_s = trio.current_time()
        lag_s = server.faults['report_lag_s']
        due = [
            report
            for report in server.reports
            if report.taken_at_s <= now_s - lag_s
        ]
        report = due[-1] if due else server.reports[0]
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
    async def order() -> Response:
        fence = int(request.headers.get('X-Fence', '0'))
        if fence < server.faults['fence']:
            return _json({'fence': server.faults['fence']}, 409)
        server.faults['fence'] = fence
        return _json({'fence': fence})

    @app.post('/control')
    async def control() -> Response:
        fields = msgspec.json.decode(await read_body())
        if fields.pop('die', False):
            _drop(server, crash(server.engine, trio.current_time()))
        for fault in fields.pop('faults', ()):
            server.engine.faults.append(make_fault(**fault))
        server.faults.update(fields)
        return _json(server.faults)


def _json(body: object, status: int = 200) -> Response:
    encoded = msgspec.json.encode(body)
    return Response(encoded, status, content_type='application/json')
