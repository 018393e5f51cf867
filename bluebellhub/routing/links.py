"""What a VM learns of its links to other failure domains.

Responses and connections show whether a link delays or loses what is sent over
it.  A crashed upstream looks the same, so one upstream alone proves nothing
unless it is the only one there.
"""

from typing import Final, NamedTuple

__all__ = [
    'ROUND_TRIP_S',
    'Link',
    'is_trusted',
    'link_trust',
    'make_link',
    'record_bad_response',
    'record_in_time',
    'record_round_trip',
]

# Until it is learned: twice the middle of the 0.9 to 3.4 ms of one way.
ROUND_TRIP_S: Final = 0.004
ROUND_TRIP_MAX_S: Final = 0.5
# The fastest of recent connections shows the link without the load of the VMs.
ROUND_TRIP_RISE: Final = 1.02
BAD_WINDOW_S: Final = 5.0
BAD_RESPONSES: Final = 2
PROOFS: Final = 3
SUSPECT_SHARE: Final = 0.1


class Link(NamedTuple):
    """The root: one VM's link to the upstreams of another failure domain.

    ``bad`` holds recent bad responses: the upstream and the time.  ``proofs``
    counts the responses in time that a suspect link still lacks; 0 means that
    it is trusted.
    """

    round_trip_s: float = ROUND_TRIP_S
    bad: tuple[tuple[str, float], ...] = ()
    proofs: int = 0


def make_link() -> Link:
    """Create a link that is trusted and of which nothing is known."""
    return Link()


def is_trusted(link: Link) -> bool:
    """Return whether requests do not fail or come late because of it."""
    return link.proofs == 0


def link_trust(link: Link) -> float:
    """Return the ratio of the usual requests that the link gets.

    A suspect link gets a few, which show when it recovers.
    """
    return 1.0 if is_trusted(link) else SUSPECT_SHARE


def record_round_trip(link: Link, round_trip_s: float) -> Link:
    """Learn the time of a round trip from a new connection.

    >>> record_round_trip(Link(), 0.002).round_trip_s
    0.002
    >>> record_round_trip(Link(0.002), 0.3).round_trip_s < 0.0021
    True
    """
    bounded = min(max(round_trip_s, 0.0), ROUND_TRIP_MAX_S)
    risen = link.round_trip_s * ROUND_TRIP_RISE
    return link._replace(round_trip_s=min(bounded, risen))


def record_in_time(link: Link) -> Link:
    """Record a response that came in time."""
    return link._replace(proofs=max(0, link.proofs - 1))


def record_bad_response(
    link: Link, upstream: str, upstream_count: int, now_s: float
) -> Link:
    """Record a response that failed or came late on the way.

    The link is suspect after two of them from different upstreams within five
    seconds, or from the same one if it is the only one there.
    """
    recent = [
        (name, at_s)
        for name, at_s in link.bad
        if now_s - at_s <= BAD_WINDOW_S
        and (name != upstream or upstream_count == 1)
    ]
    bad = (*recent, (upstream, now_s))[-BAD_RESPONSES:]
    if is_trusted(link) and len(bad) < BAD_RESPONSES:
        return link._replace(bad=bad)
    return link._replace(bad=bad, proofs=PROOFS)
