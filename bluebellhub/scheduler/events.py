"""Events that a scheduler returns for its front end to carry out."""

from typing import NamedTuple

from bluebellhub.request.refusal import RefusalError

__all__ = ['Cancel', 'Dispatch', 'Event', 'Probe', 'Refuse']


class Dispatch(NamedTuple):
    """Send the request to ``upstream``, from token ``offset`` on."""

    request_id: str
    upstream: str
    attempt: int
    offset: int


class Cancel(NamedTuple):
    """Cancel the attempt at ``upstream``; the request lives on."""

    request_id: str
    upstream: str
    attempt: int


class Refuse(NamedTuple):
    """Answer the caller with a refusal; the request has ended."""

    request_id: str
    error: RefusalError


class Probe(NamedTuple):
    """Check with a fresh connection whether ``upstream`` still answers."""

    upstream: str


Event = Dispatch | Cancel | Refuse | Probe
