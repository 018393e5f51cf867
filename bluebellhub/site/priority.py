"""In which order requests are served: the account's rank, then the route's."""

from typing import Final, NamedTuple

from bluebellhub.route import Account, Route

__all__ = ['RequestPriority', 'queue_rank', 'request_priority']

ROUTE_RANKS: Final = 16


class RequestPriority(NamedTuple):
    """The ranks of a request's account and route; smaller ones go first."""

    account: int
    route: int


def request_priority(route: Route, account: Account | None) -> RequestPriority:
    """Return the standing of a request; the account's rank goes first."""
    rank = account.rank if account else None
    return RequestPriority(route.rank if rank is None else rank, route.rank)


def queue_rank(priority: RequestPriority) -> int:
    """Return one number for the order of the queue.

    >>> queue_rank(RequestPriority(0, 2)) < queue_rank(RequestPriority(1, 0)) < 18
    True
    """
    minor = min(max(priority.route, 0), ROUTE_RANKS - 1)
    return priority.account * ROUTE_RANKS + minor
