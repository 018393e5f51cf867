"""Queue of requests that wait for an upstream of one model or service.

Higher tiers are served first.  Within a tier, weighted fair queueing by
virtual time divides the slots among client accounts, and the requests of an
account are ordered by deadline.
"""

from typing import Final, NamedTuple

from sortedcontainers import SortedDict, SortedList

__all__ = [
    'Queue',
    'QueuedRequest',
    'charge',
    'head',
    'heads',
    'make_queue',
    'put',
    'queued_cost_s',
    'ranks',
    'remove',
    'requests_below',
    'requests_of_rank',
    'size',
]

REQUEST_COST_S: Final = 0.005
HEADS_OF_ACCOUNT: Final = 3
HEADS_MAX: Final = 24


class QueuedRequest(NamedTuple):
    """A queued request; within an account, requests sort by these fields.

    ``cost_s`` is the time that it is expected to hold a slot.
    """

    deadline_s: float
    request_id: str
    account: str
    rank: int
    cost_s: float
    weight: float


class TierQueue(NamedTuple):
    """Requests of one tier by account, and the virtual time of accounts.

    ``account_order`` holds ``(virtual time, account)`` of each account that
    has queued requests.
    """

    by_account: dict[str, SortedList]
    account_order: SortedList
    virtual_time: dict[str, float]


class Queue(NamedTuple):
    """Aggregate root: tier queues by rank, and all queued requests by id.

    ``cost_s`` is the sum of the expected slot times of queued requests, by
    rank.
    """

    tiers: SortedDict
    waiting: dict[str, QueuedRequest]
    cost_s: dict[int, float]


def make_queue() -> Queue:
    """Create an empty queue."""
    return Queue(SortedDict(), {}, {})


def put(queue: Queue, entry: QueuedRequest) -> None:
    """Add a request to the queue."""
    tier = queue.tiers.get(entry.rank)
    if tier is None:
        tier = TierQueue({}, SortedList(), {})
        queue.tiers[entry.rank] = tier
    queue.waiting[entry.request_id] = entry
    queue.cost_s[entry.rank] = queue.cost_s.get(entry.rank, 0.0) + entry.cost_s
    account_requests = tier.by_account.get(entry.account)
    if account_requests is None:
        account_requests = SortedList()
        tier.by_account[entry.account] = account_requests
        _add_account(tier, entry.account)
    account_requests.add(entry)


def _add_account(tier: TierQueue, account: str) -> None:
    """Add an account to the order of its tier.

    Its virtual time starts no earlier than the least one of the accounts
    with queued requests, so an idle account gains no credit.
    """
    started = tier.account_order[0][0] if tier.account_order else 0.0
    virtual = max(tier.virtual_time.get(account, 0.0), started)
    tier.virtual_time[account] = virtual
    tier.account_order.add((virtual, account))


def head(queue: Queue) -> QueuedRequest | None:
    """Return the next request, or ``None`` if the queue is empty."""
    for tier in queue.tiers.values():
        if tier.account_order:
            account = tier.account_order[0][1]
            return tier.by_account[account][0]
    return None


def heads(queue: Queue) -> list[QueuedRequest]:
    """Return the next requests, a few of each account, in their order.

    A request that fits nowhere, or whose account has used its share, does not
    keep those behind it from being sent.
    """
    found: list[QueuedRequest] = []
    for tier in queue.tiers.values():
        for _, account in tier.account_order:
            found.extend(tier.by_account[account][:HEADS_OF_ACCOUNT])
            if len(found) >= HEADS_MAX:
                return found
    return found


def remove(queue: Queue, request_id: str) -> QueuedRequest | None:
    """Remove and return a request without charging its account."""
    entry = queue.waiting.pop(request_id, None)
    if entry is None:
        return None
    queue.cost_s[entry.rank] -= entry.cost_s
    tier = queue.tiers[entry.rank]
    account_requests = tier.by_account[entry.account]
    account_requests.remove(entry)
    if not account_requests:
        virtual = tier.virtual_time[entry.account]
        tier.account_order.remove((virtual, entry.account))
        tier.by_account.pop(entry.account)
    return entry


def charge(queue: Queue, entry: QueuedRequest) -> None:
    """Advance the account's virtual time by the cost of a dispatch."""
    tier = queue.tiers[entry.rank]
    old = tier.virtual_time.get(entry.account, 0.0)
    cost = (entry.cost_s + REQUEST_COST_S) / entry.weight
    tier.virtual_time[entry.account] = old + cost
    if entry.account in tier.by_account:
        tier.account_order.remove((old, entry.account))
        tier.account_order.add((old + cost, entry.account))


def size(queue: Queue) -> int:
    """Return the number of queued requests."""
    return len(queue.waiting)


def ranks(queue: Queue) -> list[int]:
    """Return the ranks that have queued requests, highest tier first."""
    return [rank for rank, tier in queue.tiers.items() if tier.account_order]


def requests_below(queue: Queue, rank: int) -> list[QueuedRequest]:
    """Return the queued requests of tiers below ``rank``, lowest tier first."""
    found: list[QueuedRequest] = []
    for other_rank in reversed(queue.tiers):
        if other_rank > rank:
            found.extend(requests_of_rank(queue, other_rank))
    return found


def requests_of_rank(queue: Queue, rank: int) -> list[QueuedRequest]:
    """Return the queued requests of one tier."""
    tier = queue.tiers.get(rank)
    if tier is None:
        return []
    return [
        entry
        for account_requests in tier.by_account.values()
        for entry in account_requests
    ]


def queued_cost_s(queue: Queue, rank: int) -> float:
    """Return the queued slot time in seconds of ``rank`` and higher tiers."""
    return sum(
        cost_s
        for other_rank, cost_s in queue.cost_s.items()
        if other_rank <= rank
    )
