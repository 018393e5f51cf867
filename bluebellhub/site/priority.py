"""Order in which requests are served: the account's rank, then the route's."""

from typing import Final, NamedTuple

from bluebellhub.route import Account, Route

__all__ = ['RequestPriority', 'queue_rank', 'request_priority']

ROUTE_RANKS: Final = 16


class RequestPriority(NamedTuple):
    """The ranks of a request's account and route; a smaller rank goes first."""

    account: int
    route: int


def request_priority(route: Route, account: Account | None) -> RequestPriority:
    """Return the priority of a request.

    The route's rank stands in for the rank of an account that has none.
    """
    rank = account.rank if account else None
    return RequestPriority(route.rank if rank is None else rank, route.rank)


def queue_rank(priority: RequestPriority) -> int:
    """Return the priority as one number by which the queue is ordered.

    Route ranks are limited to `ROUTE_RANKS` values, so that the account's rank
    always takes precedence.

    >>> first = queue_rank(RequestPriority(0, 2))
    >>> first < queue_rank(RequestPriority(1, 0)) < 18
    True
    """
    route_rank = min(max(priority.route, 0), ROUTE_RANKS - 1)
    return priority.account * ROUTE_RANKS + route_rank
