"""Heads of requests and answers, decoded and encoded."""

from collections.abc import Iterable, Mapping
from typing import Final

from bluebellhub.platform.header_names import (
    ANSWER_PROOF,
    CONNECTION_ONLY,
    DEADLINE_MS,
    EXPECT_UPSTREAM,
    LAST_EVENT_ID,
    LOAD,
    REQUEST_ID,
    SET_HERE,
    TENANT,
    TOKEN_COUNTS,
    UNRUN,
)
from bluebellhub.request.heads import (
    Headers,
    RequestHead,
    ResponseHead,
    TokenCounts,
    UpstreamLoad,
)
from bluebellhub.request.refusal import BadRequestError

__all__ = ['attempt_headers', 'read_answer_head', 'read_call_head']

Pairs = Iterable[tuple[bytes, bytes]]

BEARER: Final = b'bearer '
MS_PER_S: Final = 1000.0
MISDIRECTED: Final = 421
EVENT_STREAM: Final = b'text/event-stream'
CLOSE: Final = b'close'
# Where an upstream does not say how long it keeps a connection.
IDLE_DEFAULT_S: Final = 2.0


def read_call_head(method: bytes, target: bytes, pairs: Pairs) -> RequestHead:
    """Decode the head of a caller's request; raises `BadRequestError`."""
    headers = list(pairs)
    known = dict(headers)
    dropped = _dropped(known) | SET_HERE
    if [name for name, _ in headers].count(REQUEST_ID) != 1:
        raise BadRequestError('got no request id or several, expected one')
    return RequestHead(
        request_id=known[REQUEST_ID].decode('latin-1'),
        method=method,
        target=target,
        host=known.get(b'host', b'').decode('latin-1').partition(':')[0],
        path=target.decode('latin-1').partition('?')[0],
        key=_read_key(known.get(b'authorization', b'')),
        time_limit_s=_read_time_limit_s(known.get(DEADLINE_MS)),
        tokens=_read_tokens(known.get(TOKEN_COUNTS)),
        resume_after=known.get(LAST_EVENT_ID),
        forwarded_headers=_without(headers, dropped | {LAST_EVENT_ID}),
    )


def attempt_headers(
    head: RequestHead,
    upstream: str,
    account: str,
    left_s: float,
    resume_after: bytes | None,
) -> Headers:
    """Return the headers for an upstream, but for the body's framing.

    ``left_s`` seconds are left, and ``account`` is empty for none.
    """
    added = [
        (DEADLINE_MS, b'%d' % max(1, int(left_s * MS_PER_S))),
        (EXPECT_UPSTREAM, upstream.encode('latin-1')),
    ]
    if account:
        added.append((TENANT, account.encode('latin-1')))
    if resume_after is not None:
        added.append((LAST_EVENT_ID, resume_after))
    return (*head.forwarded_headers, *added)


def read_answer_head(status: int, pairs: Pairs) -> ResponseHead:
    """Decode the head of an upstream's answer."""
    headers = list(pairs)
    known = dict(headers)
    request_id = known.get(REQUEST_ID)
    media_type = known.get(b'content-type', b'').lower()
    return ResponseHead(
        status=status,
        request_id=request_id.decode('latin-1') if request_id else None,
        is_signed=ANSWER_PROOF in known,
        not_executed=UNRUN in known or status == MISDIRECTED,
        is_misdirected=status == MISDIRECTED,
        is_encoded=b'content-encoding' in known,
        is_event_stream=media_type.startswith(EVENT_STREAM),
        load=_read_load(known.get(LOAD)),
        idle_s=_read_idle_s(known),
        forwarded_headers=_without(headers, _dropped(known)),
    )


def _without(headers: Pairs, dropped: frozenset[bytes]) -> Headers:
    return tuple(pair for pair in headers if pair[0] not in dropped)


def _dropped(known: Mapping[bytes, bytes]) -> frozenset[bytes]:
    """Return the connection's headers, those it names itself included."""
    named = known.get(b'connection', b'').lower().split(b',')
    return CONNECTION_ONLY | {name.strip() for name in named}


def _read_key(field: bytes) -> str | None:
    if not field.lower().startswith(BEARER):
        return None
    return field[len(BEARER) :].strip().decode('latin-1')


def _read_time_limit_s(field: bytes | None) -> float | None:
    if field is None or not field.isdigit():
        return None
    return int(field) / MS_PER_S


def _read_tokens(field: bytes | None) -> TokenCounts | None:
    counts = (field or b'').split(b',')
    if len(counts) != 2 or not all(count.strip().isdigit() for count in counts):
        return None
    prompt, output_max = (int(count) for count in counts)
    return TokenCounts(prompt, output_max)


def _read_load(field: bytes | None) -> UpstreamLoad | None:
    counts = (field or b'').split(b',')
    if len(counts) != 3 or not all(count.strip().isdigit() for count in counts):
        return None
    return UpstreamLoad(*(int(count) for count in counts))


def _read_idle_s(known: Mapping[bytes, bytes]) -> float:
    """Return how long an idle connection is kept; 0 if it is closed."""
    if CLOSE in known.get(b'connection', b'').lower():
        return 0.0
    for part in known.get(b'keep-alive', b'').lower().split(b','):
        name, _, seconds = part.strip().partition(b'=')
        if name == b'timeout' and seconds.isdigit():
            return float(seconds)
    return IDLE_DEFAULT_S
