"""Whole answers and streams of events on their way to the caller."""

from collections.abc import Callable
from typing import Final

import h11

from bluebellhub.adapters.proxy.caller_connection import (
    begin_answer,
    end_answer,
    send_piece,
)
from bluebellhub.adapters.proxy.event_stream import (
    cut_events,
    event_id,
    keep_new,
)
from bluebellhub.adapters.proxy.state import Held, Job
from bluebellhub.adapters.proxy.upstream_connection import (
    UpstreamLink,
    next_event,
)
from bluebellhub.request.heads import ResponseHead

__all__ = ['pass_events', 'pass_held', 'pass_whole', 'read_whole']

# Larger answers go on as they come instead of as a whole.
WHOLE_MAX_BYTES: Final = 1_048_576


async def read_whole(link: UpstreamLink, answer: ResponseHead) -> Held:
    """Read an answer to its end."""
    body = bytearray()
    while True:
        event = await next_event(link)
        if isinstance(event, h11.Data):
            body += event.data
        if isinstance(event, h11.EndOfMessage):
            return Held(answer.status, answer.forwarded_headers, bytes(body))


async def pass_held(job: Job, held: Held) -> None:
    """Write a whole answer to the caller."""
    job.progress['has_begun'] = True
    await begin_answer(job.link, held.status, held.headers, len(held.body))
    await send_piece(job.link, held.body)
    await end_answer(job.link)


async def pass_whole(
    job: Job, link: UpstreamLink, answer: ResponseHead
) -> None:
    """Pass an answer on once it is complete, unless it is very large."""
    held = job.progress['held']
    if held is not None and held.status == answer.status:
        await pass_held(job, held)
        return
    body = bytearray()
    event = await next_event(link)
    while not isinstance(event, h11.EndOfMessage):
        body += event.data
        if len(body) > WHOLE_MAX_BYTES:
            await _pass_large(job, link, answer, bytes(body))
            return
        event = await next_event(link)
    await pass_held(
        job, Held(answer.status, answer.forwarded_headers, bytes(body))
    )


async def _pass_large(
    job: Job, link: UpstreamLink, answer: ResponseHead, begun: bytes
) -> None:
    await _begin(job, answer)
    piece = begun
    while piece:
        await send_piece(job.link, piece)
        event = await next_event(link)
        piece = b''
        if isinstance(event, h11.Data):
            piece = bytes(event.data)
    await end_answer(job.link)


async def pass_events(
    job: Job,
    link: UpstreamLink,
    answer: ResponseHead,
    note: Callable[[], None],
) -> None:
    """Pass whole events on as they come; ``note`` is called for each."""
    first = job.progress['last_event']
    rest = b''
    while True:
        event = await next_event(link)
        if isinstance(event, h11.EndOfMessage):
            break
        cut = cut_events(rest + bytes(event.data))
        rest = cut.rest
        new = keep_new(cut.events, first)
        if new:
            first = None
            await _pass_new(job, answer, new, note)
    await _begin(job, answer)
    if rest:
        await send_piece(job.link, rest)
    await end_answer(job.link)


async def _pass_new(
    job: Job,
    answer: ResponseHead,
    events: list[bytes],
    note: Callable[[], None],
) -> None:
    await _begin(job, answer)
    await send_piece(job.link, b''.join(events))
    job.progress['last_event'] = event_id(events[-1])
    for _ in events:
        note()


async def _begin(job: Job, answer: ResponseHead) -> None:
    """Write the head unless an earlier attempt has written it."""
    if not job.progress['has_begun']:
        job.progress['has_begun'] = True
        await begin_answer(
            job.link, answer.status, answer.forwarded_headers, None
        )
