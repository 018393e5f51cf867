"""A caller's request and an upstream's answer, as a front end decoded them."""

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
    """Tokens of a prompt, and the most that may be generated."""

    prompt: int
    output_max: int


class RequestHead(NamedTuple):
    """The head of a request; ``forwarded_headers`` are the headers that go on.

    ``resume_after`` is the id of the last event that the caller has of an
    earlier answer.  ``time_limit_s`` counts from the request's arrival.
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
    """What an upstream says of its load: requests, and its slots."""

    running: int
    waiting: int
    slots: int


class ResponseHead(NamedTuple):
    """The head of an upstream's answer; ``forwarded_headers`` are headers that go on.

    ``request_id`` is the one that the upstream answers, if it says so.
    An answer ``is_signed`` if it carries the upstream's proof, and
    ``not_executed`` if the upstream promises never to have run the request.
    An ``is_encoded`` body is not the upstream's own.  ``idle_s`` is how
    long the upstream keeps the connection; 0 if it closes it.
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
