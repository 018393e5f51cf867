"""What the tasks that pass requests share."""

from typing import NamedTuple, TypedDict

from bluebellhub.adapters.exchange import Exchange
from bluebellhub.adapters.node import Node
from bluebellhub.adapters.proxy.caller_connection import Call, CallerLink
from bluebellhub.adapters.proxy.upstream_connection import KeptLinks
from bluebellhub.request.heads import Headers
from bluebellhub.site.admission import Admission
from bluebellhub.site.state import Site

__all__ = ['Held', 'Job', 'Progress', 'Proxy', 'make_job']


class Proxy(NamedTuple):
    """The root: decisions, connections and the callers' connections."""

    node: Node
    site: Site
    kept: KeptLinks
    links: dict[int, CallerLink]


class Held(NamedTuple):
    """An upstream's whole answer that is not passed on yet."""

    status: int
    headers: Headers
    body: bytes


class Progress(TypedDict):
    """How far an answer has come.

    ``has_begun`` tells that its head went to the caller, ``last_event``
    is the id of the last event that did, and ``first_at_s`` the time of the
    first one.  ``held`` is a failure that an
    upstream answered, for the case that no other attempt does better.
    """

    has_begun: bool
    last_event: int | None
    tokens: int
    first_at_s: float | None
    held: Held | None
    upstream: str
    outcome: str


class Job(NamedTuple):
    """A caller's request on its way through attempts."""

    call: Call
    admission: Admission
    link: CallerLink
    exchange: Exchange
    progress: Progress


def make_job(
    call: Call, admission: Admission, link: CallerLink, exchange: Exchange
) -> Job:
    """Create the job of a request that has not been sent."""
    resume_after = call.head.resume_after or b''
    progress: Progress = {
        'has_begun': False,
        'last_event': int(resume_after) if resume_after.isdigit() else None,
        'tokens': 0,
        'first_at_s': None,
        'held': None,
        'upstream': '',
        'outcome': '',
    }
    return Job(call, admission, link, exchange, progress)
