"""Heads of requests and responses, as decoded by a front end."""

from typing import NamedTuple

__all__ = [
    'Headers',
    'RequestHead',
    'ResponseHead',
    'TokenCounts',
    'UpstreamLoad',
]

Headers = tuple[tuple[bytes, bytes], ...]


class TokenCounts(NamedTuple):
    """Number of prompt tokens, and the maximum of output tokens."""

    prompt: int
    output_max: int


class RequestHead(NamedTuple):
    """Head of a caller's request.

    ``forwarded_headers`` are sent on to the upstream.  ``key`` is the key of
    the client account.  ``time_limit_s`` counts from the arrival of the
    request.  ``resume_after`` is the id of the last event that the caller
    received of an earlier response.
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


class UpstreamLoad(NamedTuple):
    """Load that an upstream reports: numbers of requests and of its slots."""

    running: int
    waiting: int
    slots: int


class ResponseHead(NamedTuple):
    """Head of an upstream's response.

    ``forwarded_headers`` are sent on to the caller.  ``request_id`` names
    the request that it responds to, if the upstream states it.  A response
    ``is_signed`` if it carries the upstream's signature, and
    ``not_executed`` if the upstream guarantees that it never executed the
    request.  A body that ``is_encoded`` was not produced by the upstream.
    The upstream keeps the connection open for ``idle_s`` seconds; 0 if it
    closes it.
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
