"""State of the decisions on leaving the failure domain, on one VM."""

from typing import Final, NamedTuple, TypedDict

from xxhash import xxh3_64_intdigest

from bluebellhub.routing.domains import NO_LOCAL, DomainDecision, PairShare
from bluebellhub.routing.links import Link, link_trust, make_link

__all__ = [
    'DomainShares',
    'ShareChange',
    'find_pair',
    'link_of',
    'make_domain_shares',
    'may_leave',
    'request_bytes',
    'set_decision',
]

HASH_RANGE: Final = 2**64
# Estimates of what a request sends over the network, both ways together: heads
# and framing, text of the prompt, and events of the response.
REQUEST_BYTES: Final = 1500
PROMPT_BYTES_PER_TOKEN: Final = 4
RESPONSE_BYTES_PER_TOKEN: Final = 120
# A pair's reason is logged at most once within this time.
LOG_INTERVAL_S: Final = 10.0


class ShareFlags(TypedDict):
    """``byte_price`` is the price of a byte in worths of a request.

    Without a price, nothing is decided: a fixed preference keeps work local.
    """

    byte_price: float | None


class DomainShares(NamedTuple):
    """The root: decisions by target, and links by failure domain.

    ``logged`` holds the reason and time of the last log line, by target and
    failure domain.
    """

    decisions: dict[str, DomainDecision]
    links: dict[str, Link]
    logged: dict[tuple[str, str], tuple[str, float]]
    flags: ShareFlags


class ShareChange(NamedTuple):
    """A pair whose reason has changed, to be logged."""

    target: str
    domain: str
    pair: PairShare


def make_domain_shares() -> DomainShares:
    """Create the state of a VM that has decided nothing yet."""
    return DomainShares({}, {}, {}, {'byte_price': 0.0})


def set_decision(
    shares: DomainShares, target: str, decision: DomainDecision, now_s: float
) -> list[ShareChange]:
    """Set the decision on a target; return the changes to log."""
    shares.decisions[target] = decision
    changes = []
    for domain, pair in decision.pairs.items():
        reason, at_s = shares.logged.get((target, domain), ('', 0.0))
        is_due = not reason or now_s - at_s >= LOG_INTERVAL_S
        if pair.reason != reason and is_due:
            shares.logged[target, domain] = (pair.reason, now_s)
            changes.append(ShareChange(target, domain, pair))
    return changes


def find_pair(
    shares: DomainShares, target: str, domain: str
) -> PairShare | None:
    """Return what the domain grants; ``None`` if nothing is decided."""
    decision = shares.decisions.get(target)
    return decision.pairs.get(domain) if decision else None


def link_of(shares: DomainShares, domain: str) -> Link:
    """Return the link to a failure domain; creates it if missing."""
    return shares.links.setdefault(domain, make_link())


def may_leave(
    shares: DomainShares,
    target: str,
    domain: str,
    request_id: str,
    now_s: float,
) -> bool:
    """Return whether a request that finds no place here may go to a domain.

    The same request gets the same result while the share is unchanged, however
    often it is tried.

    >>> may_leave(make_domain_shares(), 'plans', 'vannes', '1', 0.0)
    True
    """
    pair = find_pair(shares, target, domain)
    if pair is None:
        return True
    share = pair.share
    if pair.reason != NO_LOCAL:
        share *= link_trust(link_of(shares, domain), now_s)
    if share >= 1.0:
        return True
    digest = xxh3_64_intdigest(f'{domain}/{request_id}'.encode())
    return digest / HASH_RANGE < share


def request_bytes(prompt_tokens: int, output_tokens: int) -> int:
    """Estimate the bytes of a request and its response.

    >>> request_bytes(0, 1)
    1620
    """
    return (
        REQUEST_BYTES
        + prompt_tokens * PROMPT_BYTES_PER_TOKEN
        + output_tokens * RESPONSE_BYTES_PER_TOKEN
    )
