"""Decodes and encodes the heads of requests and responses."""

from collections.abc import Iterable, Mapping
from email.utils import parsedate_to_datetime
from typing import Final

from bluebellhub.platform.figures import (
    read_count,
    read_counts,
    read_decimal,
    read_limit,
)
from bluebellhub.platform.header_names import (
    CLIENT_ACCOUNT,
    DEADLINE_MS,
    EXPECT_UPSTREAM,
    HOP_BY_HOP,
    LAST_EVENT_ID,
    LEAVING,
    NOT_EXECUTED,
    PROMPT_PARTS,
    RATE_LIMIT,
    REJECTION_LIMIT,
    REQUEST_ID,
    RESPONSE_SIGNATURE,
    RESTRICTED,
    RETRY_AFTER,
    SERVER_LOAD,
    TOKEN_COUNTS,
)
from bluebellhub.request.heads import (
    Headers,
    RequestHead,
    ResponseHead,
    TokenCounts,
    UpstreamLoad,
)
from bluebellhub.request.refusal import BadRequestError

__all__ = [
    'attempt_headers',
    'read_request_head',
    'read_response_head',
    'relayed_headers',
]

Pairs = Iterable[tuple[bytes, bytes]]

AUTHORIZATION: Final = b'authorization'
BEARER: Final = b'bearer '
HEADER_ENCODING: Final = 'latin-1'
MS_PER_S: Final = 1000.0
MISDIRECTED: Final = 421
UNAVAILABLE: Final = 503
EVENT_STREAM: Final = b'text/event-stream'
CLOSE: Final = b'close'
# Used if an upstream does not state how long it keeps an idle connection.
IDLE_DEFAULT_S: Final = 2.0
# Figures of a load that every upstream states: running, waiting and slots.
LOAD_COUNTS: Final = 3
# Slowdowns outside of these bounds are taken for a fault of the upstream.
SLOWDOWN_MIN: Final = 0.1
SLOWDOWN_MAX: Final = 100.0
PERCENT: Final = 100.0


def read_request_head(
    method: bytes, target: bytes, pairs: Pairs
) -> RequestHead:
    """Decode the head of a caller's request.

    Raises `BadRequestError` unless it has exactly one request id.
    """
    headers = list(pairs)
    by_name = dict(headers)
    excluded = _hop_by_hop(by_name) | RESTRICTED
    if [name for name, _ in headers].count(REQUEST_ID) != 1:
        raise BadRequestError('expected exactly one request id header')
    return RequestHead(
        request_id=by_name[REQUEST_ID].decode(HEADER_ENCODING),
        method=method,
        target=target,
        host=by_name.get(b'host', b'')
        .decode(HEADER_ENCODING)
        .partition(':')[0],
        path=target.decode(HEADER_ENCODING).partition('?')[0],
        key=_read_key(by_name.get(AUTHORIZATION, b'')),
        time_limit_s=_read_time_limit_s(by_name.get(DEADLINE_MS)),
        tokens=_read_tokens(by_name.get(TOKEN_COUNTS)),
        resume_after=by_name.get(LAST_EVENT_ID),
        forwarded_headers=_without(headers, excluded | {LAST_EVENT_ID}),
        prompt_parts=_read_prompt_parts(by_name.get(PROMPT_PARTS)),
    )


def attempt_headers(
    head: RequestHead,
    upstream: str,
    account: str,
    remaining_s: float,
    resume_after: bytes | None,
) -> Headers:
    """Return the headers for an upstream, except those on body framing.

    ``remaining_s`` is the time until the deadline in seconds; ``account``
    is empty for a request without a client account.
    """
    added = [
        (DEADLINE_MS, b'%d' % max(1, int(remaining_s * MS_PER_S))),
        (EXPECT_UPSTREAM, upstream.encode(HEADER_ENCODING)),
    ]
    if account:
        added.append((CLIENT_ACCOUNT, account.encode(HEADER_ENCODING)))
    if resume_after is not None:
        added.append((LAST_EVENT_ID, resume_after))
    return (*head.forwarded_headers, *added)


def relayed_headers(
    head: RequestHead, remaining_s: float, resume_after: bytes | None
) -> Headers:
    """Return the headers with which another VM gets the caller's request.

    They say what the caller's own do, but for what is left of its time limit
    and of its stream; those on body framing are not among them.
    """
    added = [(DEADLINE_MS, b'%d' % max(1, int(remaining_s * MS_PER_S)))]
    if head.key is not None:
        added.append((AUTHORIZATION, BEARER + head.key.encode(HEADER_ENCODING)))
    if resume_after is not None:
        added.append((LAST_EVENT_ID, resume_after))
    return (*head.forwarded_headers, *added)


def read_response_head(status: int, pairs: Pairs) -> ResponseHead:
    """Decode the head of an upstream's response."""
    headers = list(pairs)
    by_name = dict(headers)
    request_id = by_name.get(REQUEST_ID)
    media_type = by_name.get(b'content-type', b'').lower()
    stated_load = by_name.get(SERVER_LOAD)
    load = _read_load(stated_load)
    stated_pause = by_name.get(RETRY_AFTER) if status == UNAVAILABLE else None
    pause_s = _read_pause_s(stated_pause, by_name.get(b'date'))
    return ResponseHead(
        status=status,
        request_id=request_id.decode(HEADER_ENCODING) if request_id else None,
        is_signed=RESPONSE_SIGNATURE in by_name,
        not_executed=NOT_EXECUTED in by_name or status == MISDIRECTED,
        is_misdirected=status == MISDIRECTED,
        is_encoded=b'content-encoding' in by_name,
        is_event_stream=media_type.startswith(EVENT_STREAM),
        load=load,
        idle_s=_read_idle_s(by_name),
        forwarded_headers=_without(headers, _hop_by_hop(by_name)),
        rate_limit=read_limit(by_name.get(RATE_LIMIT)),
        rejection_limit=read_limit(by_name.get(REJECTION_LIMIT)),
        malformed_load=stated_load if load is None else None,
        pause_s=pause_s,
        malformed_pause=stated_pause if pause_s is None else None,
        is_leaving=by_name.get(LEAVING) == b'1',
    )


def _without(headers: Pairs, excluded: frozenset[bytes]) -> Headers:
    return tuple(pair for pair in headers if pair[0] not in excluded)


def _hop_by_hop(by_name: Mapping[bytes, bytes]) -> frozenset[bytes]:
    """Return the hop-by-hop headers, with those ``Connection`` names."""
    named = by_name.get(b'connection', b'').lower().split(b',')
    return HOP_BY_HOP | {name.strip() for name in named}


def _read_key(field: bytes) -> str | None:
    """Return the API key, the bearer token of ``Authorization``."""
    if not field.lower().startswith(BEARER):
        return None
    return field[len(BEARER) :].strip().decode(HEADER_ENCODING)


def _read_time_limit_s(field: bytes | None) -> float | None:
    """Return the time limit; ``None`` if it is absent or malformed."""
    limit_ms = read_decimal(field)
    return None if limit_ms is None else limit_ms / MS_PER_S


def _read_tokens(field: bytes | None) -> TokenCounts | None:
    """Return the token counts; ``None`` if absent or malformed."""
    counts = read_counts(field, len(TokenCounts._fields))
    return TokenCounts(*counts) if counts else None


def _read_prompt_parts(field: bytes | None) -> tuple[str, ...]:
    """Return the ids of the prompt's parts, the request's own one last.

    It is empty if the header is absent or malformed.
    """
    ids = []
    for entry in (field or b'').split(b','):
        part_id, _, tokens = entry.strip().partition(b':')
        if not part_id or not tokens.isdigit():
            return ()
        ids.append(part_id.decode(HEADER_ENCODING))
    return tuple(ids)


def _read_pause_s(field: bytes | None, date: bytes | None) -> float | None:
    """Return a pause in seconds; ``None`` if it is absent or malformed.

    A pause until a date counts from the date of the response, because the
    clock of the upstream may differ from that of this VM.
    """
    pause_s = read_decimal(field)
    if pause_s is not None or not field or not date:
        return pause_s
    try:
        ends_at, stated_at = map(
            parsedate_to_datetime, (field.decode(), date.decode())
        )
        return max(0.0, (ends_at - stated_at).total_seconds())
    except (TypeError, ValueError, OverflowError):
        return None


def _read_load(field: bytes | None) -> UpstreamLoad | None:
    """Return the upstream's load; ``None`` if absent or malformed.

    Some upstreams state their slowdown as a fourth figure, and later ones may
    state more.  Figures that are not known are ignored.
    """
    figures = [part.strip() for part in (field or b'').split(b',')]
    counts = [read_count(figure) for figure in figures[:LOAD_COUNTS]]
    found = [count for count in counts if count is not None]
    if len(found) < LOAD_COUNTS:
        return None
    running, waiting, slots = found
    slowdown = _read_slowdown(figures[LOAD_COUNTS:])
    return UpstreamLoad(running, waiting, slots, slowdown)


def _read_slowdown(figures: list[bytes]) -> float | None:
    """Return the slowdown, stated in hundredths; ``None`` if malformed."""
    stated = read_decimal(figures[0]) if figures else None
    if not stated:
        return None
    return min(SLOWDOWN_MAX, max(SLOWDOWN_MIN, stated / PERCENT))


def _read_idle_s(by_name: Mapping[bytes, bytes]) -> float:
    """Return for how many seconds the upstream keeps an idle connection.

    This is 0 if the upstream closes it after the response.
    """
    if CLOSE in by_name.get(b'connection', b'').lower():
        return 0.0
    for part in by_name.get(b'keep-alive', b'').lower().split(b','):
        name, _, seconds = part.strip().partition(b'=')
        if name == b'timeout' and seconds.isdigit():
            return float(seconds)
    return IDLE_DEFAULT_S
