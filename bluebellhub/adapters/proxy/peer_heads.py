"""Headers with which VMs tell each other about forwarded requests.

They are the product's own, go over connections between VMs only, and reach
neither upstreams nor callers.
"""

import re
from typing import Final, NamedTuple

from bluebellhub.request import RefusalError
from bluebellhub.request.heads import Headers, RequestHead
from bluebellhub.request.refusal import BadRequestError

__all__ = [
    'PeerRefusal',
    'attempts_header',
    'read_attempts',
    'read_refusal',
    'read_upstream',
    'refusal_header',
    'upstream_header',
    'without_peer_headers',
]

# On how many upstreams the receiving VM may run the request.
ATTEMPTS: Final = b'bluebellhub-attempts'
# Why the receiving VM itself refuses the request, and whether it may have run.
REFUSED: Final = b'bluebellhub-refused'
# The upstream that has sent the response.
UPSTREAM: Final = b'bluebellhub-upstream'
PEER_HEADERS: Final = frozenset((ATTEMPTS, REFUSED, UPSTREAM))
ATTEMPTS_FIELD: Final = re.compile(rb'[1-9]\d?')


class PeerRefusal(NamedTuple):
    """A refusal of another VM; ``is_unsent`` if no upstream got the request."""

    reason: str
    is_unsent: bool


def attempts_header(attempts_left: int) -> tuple[bytes, bytes]:
    """Return the header that limits the upstreams to try."""
    return ATTEMPTS, b'%d' % max(1, min(attempts_left, 99))


def read_attempts(head: RequestHead) -> int:
    """Return on how many upstreams a forwarded request may run.

    Raises `BadRequestError` unless it is stated once, as one or two digits.
    """
    stated = [
        field for name, field in head.forwarded_headers if name == ATTEMPTS
    ]
    if len(stated) != 1 or not ATTEMPTS_FIELD.fullmatch(stated[0]):
        raise BadRequestError('expected the number of attempts, once')
    return int(stated[0])


def without_peer_headers(headers: Headers) -> Headers:
    """Return the headers without those that only VMs read."""
    return tuple(pair for pair in headers if pair[0] not in PEER_HEADERS)


def refusal_header(error: RefusalError) -> tuple[bytes, bytes]:
    """Return the header that tells a refusal of this VM from a response."""
    return REFUSED, f'{error.reason};{error.run}'.encode()


def read_refusal(headers: Headers) -> PeerRefusal | None:
    """Return the refusal of the VM that sent this response, if it is one."""
    for name, field in headers:
        if name == REFUSED:
            reason, _, run = field.decode('latin-1').partition(';')
            return PeerRefusal(reason, run == 'no')
    return None


def upstream_header(upstream: str) -> tuple[bytes, bytes]:
    """Return the header that names the upstream of a response."""
    return UPSTREAM, upstream.encode('latin-1')


def read_upstream(headers: Headers) -> str:
    """Return the upstream that sent a response; empty if it is not named."""
    names = [field for name, field in headers if name == UPSTREAM]
    return names[0].decode('latin-1') if names else ''
