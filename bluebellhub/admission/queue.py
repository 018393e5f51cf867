"""The queue in front of the upstreams of one model or service.

The order is tier first.  Within a tier, accounts take turns by weighted
virtual time, and an account's own requests go by deadline.
"""

from typing import Final, NamedTuple

from sortedcontainers import SortedDict, SortedList

__all__ = [
    'Queue',
    'Waiting',
    'charge',
    'head',
    'lower_ranks',
    'make_queue',
    'put',
    'queued_of_rank',
    'queued_cost_s',
    'ranks',
    'remove',
    'size',
]

REQUEST_COST_S: Final = 0.005


class Waiting(NamedTuple):
    """A queued request; its order within an account is that of the fields.

    ``cost_s`` is the time that it is expected to hold a slot.
    """

    deadline_s: float
    request_id: str
    account: str
    rank: int
    cost_s: float
    weight: float


class TierQueue(NamedTuple):
    """Requests of one tier by account, and the accounts' virtual times.

    ``turns`` holds ``(virtual time, account)`` of the accounts that wait.
    """

    by_account: dict[str, SortedList]
    turns: SortedList
    virtual_time: dict[str, float]


class Queue(NamedTuple):
    """The root: tier queues by rank, all waiting requests by id.

    ``cost_s`` sums the expected slot time of the waiting requests by rank.
    """

    tiers: SortedDict
    waiting: dict[str, Waiting]
    cost_s: dict[int, float]


def make_queue() -> Queue:
    """Create an empty queue."""
    return Queue(SortedDict(), {}, {})


def put(queue: Queue, entry: Waiting) -> None:
    """Add a request."""
    tier = queue.tiers.get(entry.rank)
    if tier is None:
        tier = TierQueue({}, SortedList(), {})
        queue.tiers[entry.rank] = tier
    queue.waiting[entry.request_id] = entry
    queue.cost_s[entry.rank] = queue.cost_s.get(entry.rank, 0.0) + entry.cost_s
    own = tier.by_account.get(entry.account)
    if own is None:
        own = SortedList()
        tier.by_account[entry.account] = own
        _enter_turns(tier, entry.account)
    own.add(entry)


def _enter_turns(tier: TierQueue, account: str) -> None:
    """An account that returns starts no earlier than those that wait."""
    started = tier.turns[0][0] if tier.turns else 0.0
    virtual = max(tier.virtual_time.get(account, 0.0), started)
    tier.virtual_time[account] = virtual
    tier.turns.add((virtual, account))


def head(queue: Queue) -> Waiting | None:
    """Return the request that is next, or ``None``."""
    for tier in queue.tiers.values():
        if tier.turns:
            account = tier.turns[0][1]
            return tier.by_account[account][0]
    return None


def remove(queue: Queue, request_id: str) -> Waiting | None:
    """Take a request out without charging its account."""
    entry = queue.waiting.pop(request_id, None)
    if entry is None:
        return None
    queue.cost_s[entry.rank] -= entry.cost_s
    tier = queue.tiers[entry.rank]
    own = tier.by_account[entry.account]
    own.remove(entry)
    if not own:
        virtual = tier.virtual_time[entry.account]
        tier.turns.remove((virtual, entry.account))
        tier.by_account.pop(entry.account)
    return entry


def charge(queue: Queue, entry: Waiting) -> None:
    """Advance an account's virtual time by the cost of a dispatch."""
    tier = queue.tiers[entry.rank]
    old = tier.virtual_time.get(entry.account, 0.0)
    cost = (entry.cost_s + REQUEST_COST_S) / entry.weight
    tier.virtual_time[entry.account] = old + cost
    if entry.account in tier.by_account:
        tier.turns.remove((old, entry.account))
        tier.turns.add((old + cost, entry.account))


def size(queue: Queue) -> int:
    """Return the number of waiting requests."""
    return len(queue.waiting)


def ranks(queue: Queue) -> list[int]:
    """Return the ranks that have waiting requests, highest tier first."""
    return [rank for rank, tier in queue.tiers.items() if tier.turns]


def lower_ranks(queue: Queue, rank: int) -> list[Waiting]:
    """Return waiting requests of lower tiers, lowest tier first."""
    found: list[Waiting] = []
    for below in reversed(queue.tiers):
        if below > rank:
            found.extend(queued_of_rank(queue, below))
    return found


def queued_of_rank(queue: Queue, rank: int) -> list[Waiting]:
    """Return the waiting requests of one tier."""
    tier = queue.tiers.get(rank)
    if tier is None:
        return []
    return [entry for own in tier.by_account.values() for entry in own]


def queued_cost_s(queue: Queue, rank: int) -> float:
    """Sum the slot time of the requests of ``rank`` and higher tiers."""
    return sum(
        cost_s for below, cost_s in queue.cost_s.items() if below <= rank
    )
