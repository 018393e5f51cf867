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
# A VM sends less than one request per second to another domain.
BAD_WINDOW_S: Final = 30.0
BAD_RESPONSES: Final = 2
BAD_RATIO: Final = 0.25
SMOOTHING_FACTOR: Final = 0.2
# At a tenth of the requests, three responses may take minutes.
SUSPECT_MAX_S: Final = 20.0
PROOFS: Final = 3
SUSPECT_SHARE: Final = 0.1


class Link(NamedTuple):
    """The root: one VM's link to the upstreams of another failure domain.

    ``bad`` holds recent bad responses: the upstream and the time, and
    ``bad_ratio`` is their smoothed ratio.  ``proofs`` counts the responses in
    time that a suspect link still lacks; 0 means that it is trusted.
    """

    round_trip_s: float = ROUND_TRIP_S
    bad: tuple[tuple[str, float], ...] = ()
    proofs: int = 0
    bad_ratio: float = 0.0


def make_link() -> Link:
    """Create a link that is trusted and of which nothing is known."""
    return Link()


def is_trusted(link: Link, now_s: float) -> bool:
    """Return whether requests do not fail or come late because of it."""
    if link.proofs == 0:
        return True
    _, last_s = link.bad[-1]
    return now_s - last_s > SUSPECT_MAX_S


def link_trust(link: Link, now_s: float) -> float:
    """Return the ratio of the usual requests that the link gets.

    A suspect link gets a few, which show when it recovers.
    """
    return 1.0 if is_trusted(link, now_s) else SUSPECT_SHARE


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
    return link._replace(
        proofs=max(0, link.proofs - 1),
        bad_ratio=link.bad_ratio * (1.0 - SMOOTHING_FACTOR),
    )


def record_bad_response(
    link: Link, upstream: str, upstream_count: int, now_s: float
) -> Link:
    """Record a response that failed or came late on the way.

    The link is suspect if many are bad, and two of them within 30 s were from
    different upstreams, or from the same one if it is the only one there.
    """
    recent = [
        (name, at_s)
        for name, at_s in link.bad
        if now_s - at_s <= BAD_WINDOW_S
        and (name != upstream or upstream_count == 1)
    ]
    bad = (*recent, (upstream, now_s))[-BAD_RESPONSES:]
    ratio = link.bad_ratio + SMOOTHING_FACTOR * (1.0 - link.bad_ratio)
    is_bad = len(bad) >= BAD_RESPONSES and ratio >= BAD_RATIO
    proofs = PROOFS if is_bad or link.proofs else 0
    return link._replace(bad=bad, proofs=proofs, bad_ratio=ratio)
