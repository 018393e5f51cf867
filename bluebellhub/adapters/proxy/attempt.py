"""One attempt at one upstream, from the connection to the answer's end."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

import h11
import trio

from bluebellhub.adapters.node import execute_events
from bluebellhub.adapters.proxy.caller_connection import CallerGoneError
from bluebellhub.adapters.proxy.event_stream import EventIdError
from bluebellhub.adapters.proxy.response_forwarding import (
    pass_events,
    pass_whole,
    read_whole,
)
from bluebellhub.adapters.proxy.state import Job, Proxy
from bluebellhub.adapters.proxy.upstream_connection import (
    ConnectError,
    UpstreamLink,
    connect,
    keep,
    next_event,
    send_events,
)
from bluebellhub.clock import now_s
from bluebellhub.errors import HubError
from bluebellhub.platform.headers import attempt_headers, read_answer_head
from bluebellhub.platform.responses import PROMISES
from bluebellhub.request import AttemptFailure
from bluebellhub.request.heads import ResponseHead
from bluebellhub.scheduler import request_sent, tokens_arrived
from bluebellhub.site.upstreams import apply_response_load
from bluebellhub.upstream import UpstreamSpec

__all__ = ['CALLER_GONE', 'run_attempt']

CALLER_GONE: Final = 'caller_gone'
# Part of the time limit that a repeatable request waits for one upstream.
FIRST_BYTE_SHARE: Final = 0.35
REDIRECT: Final = 300
SERVER_ERROR: Final = 500
FAILURE_KINDS: Final[Mapping[type[BaseException], str]] = MappingProxyType(
    {
        CallerGoneError: CALLER_GONE,
        EventIdError: 'cut',
        h11.RemoteProtocolError: 'cut',
        trio.BrokenResourceError: 'cut',
        trio.ClosedResourceError: 'cut',
        trio.TooSlowError: 'silent',
    }
)
FAILURES: Final = tuple(FAILURE_KINDS)


class AttemptError(HubError):
    """An attempt failed; ``failure`` tells how."""

    def __init__(self, failure: AttemptFailure) -> None:
        super().__init__(f'{failure.kind}: {failure.detail}')
        self.failure = failure


async def run_attempt(
    passing: Proxy, job: Job, spec: UpstreamSpec
) -> AttemptFailure | None:
    """Send the request and pass the answer on; returns how it failed."""
    fresh = not job.admission.request.idempotent
    try:
        async with connect(passing.kept, spec, fresh=fresh) as link:
            return await _exchange(passing, job, link)
    except ConnectError as error:
        return AttemptFailure('connect_failed', str(error))


async def _exchange(
    passing: Proxy, job: Job, link: UpstreamLink
) -> AttemptFailure | None:
    """Send and read at once: an upstream may answer before it has read."""
    request_sent(passing.node.scheduler, job.admission.request.request_id)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_events, link, _request_events(job, link))
        failure = await _read_answer(passing, job, link)
        nursery.cancel_scope.cancel()
    return failure


def _request_events(job: Job, link: UpstreamLink) -> list[Any]:
    request = job.admission.request
    head = job.call.head
    last_event = job.progress['last_event']
    headers = list(
        attempt_headers(
            head,
            link.spec.name,
            request.account,
            request.ends_at_s - now_s(),
            None if last_event is None else b'%d' % last_event,
        )
    )
    body = job.call.body
    if body or head.method not in {b'GET', b'HEAD'}:
        headers.append((b'content-length', b'%d' % len(body)))
    head_event = h11.Request(
        method=head.method, target=head.target, headers=headers
    )
    return [head_event, h11.Data(data=body), h11.EndOfMessage()]


async def _read_answer(
    passing: Proxy, job: Job, link: UpstreamLink
) -> AttemptFailure | None:
    try:
        await _pass_answer(passing, job, link)
    except AttemptError as error:
        return error.failure
    except FAILURES as error:
        kind = FAILURE_KINDS[type(error)]
        return AttemptFailure(kind, f'{type(error).__name__} {error}')
    return None


async def _pass_answer(passing: Proxy, job: Job, link: UpstreamLink) -> None:
    request = job.admission.request
    first_byte_s = request.ends_at_s - now_s()
    if request.idempotent:
        first_byte_s *= FIRST_BYTE_SHARE
    with trio.fail_after(max(0.0, first_byte_s)):
        answer = await _read_head(link)
    if answer.load is not None:
        apply_response_load(passing.site, link.spec.name, answer.load)
    await _judge(job, link, answer)
    if answer.is_event_stream:
        await pass_events(job, link, answer, lambda: _note(passing, job, link))
    else:
        _note(passing, job, link)
        await pass_whole(job, link, answer)
    keep(passing.kept, link, answer.idle_s)


async def _read_head(link: UpstreamLink) -> ResponseHead:
    while True:
        event = await next_event(link)
        if isinstance(event, h11.Response):
            return read_answer_head(event.status_code, event.headers)
        if not isinstance(event, h11.InformationalResponse):
            raise AttemptError(AttemptFailure('cut', 'no answer'))


async def _judge(job: Job, link: UpstreamLink, answer: ResponseHead) -> None:
    """Raise `AttemptError` unless the answer may go to the caller."""
    failure = _find_fault(job, answer)
    if failure is None:
        return
    if failure.kind == 'answered_error' and answer.status not in PROMISES:
        job.progress['held'] = await read_whole(link, answer)
        if not job.admission.request.idempotent:
            return
    raise AttemptError(failure)


def _find_fault(job: Job, answer: ResponseHead) -> AttemptFailure | None:
    status = f'status {answer.status}'
    wanted = job.call.head.request_id
    if answer.request_id not in {None, wanted}:
        return AttemptFailure('mismatch', 'the answer of another request')
    if answer.is_misdirected:
        return AttemptFailure('misdirected', status)
    if answer.not_executed:
        return AttemptFailure('refused', status)
    if answer.status >= SERVER_ERROR or answer.status in PROMISES:
        return AttemptFailure('answered_error', status)
    if answer.is_encoded or (answer.status < REDIRECT and not answer.is_signed):
        return AttemptFailure('mismatch', 'not proven to be the answer')
    return None


def _note(passing: Proxy, job: Job, link: UpstreamLink) -> None:
    """Tell the scheduler of a piece of the answer."""
    node = passing.node
    count = link.spec.tokens_per_event
    if job.progress['first_at_s'] is None:
        job.progress['first_at_s'] = now_s()
    events = tokens_arrived(
        node.scheduler,
        job.admission.request.request_id,
        job.progress['tokens'],
        count,
        now_s(),
    )
    job.progress['tokens'] += count
    execute_events(node, events)
