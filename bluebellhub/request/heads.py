"""Heads of requests and responses, as decoded by a front end."""

from typing import Final, NamedTuple

__all__ = [
    'ERROR_STATUS_MIN',
    'Headers',
    'LimitField',
    'RequestHead',
    'ResponseHead',
    'TokenCounts',
    'UpstreamLoad',
]

# The lowest status that states a failure, of the caller or of the upstream.
ERROR_STATUS_MIN: Final = 400

Headers = tuple[tuple[bytes, bytes], ...]


class TokenCounts(NamedTuple):
    """Number of prompt tokens, and the maximum of output tokens."""

    prompt: int
    output_max: int


class RequestHead(NamedTuple):
    """Head of a caller's request.

    ``key`` is the key of the client account.  ``time_limit_s`` counts from
    the arrival of the request.  ``resume_after`` is the id of the last event
    of an earlier response that the caller received.  ``forwarded_headers``
    are sent on to the upstream.  ``prompt_parts`` are the ids of the parts
    of the prompt: the last is that of the request or its session, and other
    requests may share the others.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    key: str | None
    time_limit_s: float | None
    tokens: TokenCounts | None
    resume_after: bytes | None
    forwarded_headers: Headers
    prompt_parts: tuple[str, ...] = ()


class UpstreamLoad(NamedTuple):
    """Load that an upstream reports: numbers of requests and of slots.

    ``slowdown`` is how long work takes there at this moment, in relation to
    the usual time; ``None`` if the upstream does not state it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


class LimitField(NamedTuple):
    """A limit per second that an upstream states.

    ``malformed`` is what it stated instead of a number; it states no limit if
    both are ``None``.
    """

    per_s: float | None = None
    malformed: bytes | None = None


NO_LIMIT: Final = LimitField()


class ResponseHead(NamedTuple):
    """Head of an upstream's response.

    ``request_id`` is the id of the request that the response belongs to, if
    the upstream states it.  ``is_signed`` is true if the response has the
    upstream's signature, ``not_executed`` if the upstream guarantees that it
    never executed the request, and ``is_misdirected`` if another upstream
    has the address.  ``is_encoded`` is true if the body has a content
    encoding, so that it is not the body that the upstream produced.  The
    upstream keeps an idle connection open for ``idle_s`` seconds; 0 means
    that it closes the connection.  ``forwarded_headers`` are sent on to the
    caller.  ``rate_limit`` counts the requests that the upstream takes from all
    VMs together; one that rejects more than ``rejection_limit`` fails.
    ``malformed_load`` has what it stated instead of a load.  An upstream that
    turned the request away wants no other from this VM for ``pause_s`` seconds,
    if it is set; ``malformed_pause`` has what was stated instead.  An upstream
    that ``is_leaving`` gets no requests any more.
    """

    status: int
    request_id: str | None
    is_signed: bool
    not_executed: bool
    is_misdirected: bool
    is_encoded: bool
    is_event_stream: bool
    load: UpstreamLoad | None
    idle_s: float
    forwarded_headers: Headers
    rate_limit: LimitField = NO_LIMIT
    rejection_limit: LimitField = NO_LIMIT
    malformed_load: bytes | None = None
    pause_s: float | None = None
    malformed_pause: bytes | None = None
    is_leaving: bool = False
