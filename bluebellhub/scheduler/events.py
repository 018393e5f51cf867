"""Events that the scheduler returns for the front end to execute."""

from typing import NamedTuple

from bluebellhub.request.refusal import RefusalError

__all__ = [
    'Cancel',
    'CheckCrash',
    'CheckLinks',
    'Dispatch',
    'Event',
    'Probe',
    'Refuse',
]


class Dispatch(NamedTuple):
    """Send the request to ``upstream``; resume at token ``offset``."""

    request_id: str
    upstream: str
    attempt: int
    offset: int


class Cancel(NamedTuple):
    """Cancel the attempt at ``upstream``; the request stays in progress."""

    request_id: str
    upstream: str
    attempt: int


class Refuse(NamedTuple):
    """Send a refusal to the caller; the request has ended."""

    request_id: str
    error: RefusalError


class Probe(NamedTuple):
    """Check over a new connection whether ``upstream`` still responds."""

    upstream: str


class CheckCrash(NamedTuple):
    """Find out whether ``upstream`` at ``address`` has crashed.

    ``crash`` identifies the crash, if there was one.
    """

    crash: str
    upstream: str
    address: str


class CheckLinks(NamedTuple):
    """Find out whether any of these addresses accepts a connection."""

    addresses: tuple[str, ...]


Event = Dispatch | Cancel | Refuse | Probe | CheckCrash | CheckLinks
