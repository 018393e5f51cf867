"""Orders that the holder of the duties gives to the platform."""

from collections.abc import Mapping
from typing import Literal, NamedTuple

__all__ = ['Order', 'Outcome', 'ScaleOrder', 'UsageOrder']

# How an order ended: the API executed it, had no capacity for it, did not
# respond, had seen a higher token, or the lease ended before the order was
# sent.  An unanswered order may be executed.
Outcome = Literal['accepted', 'busy', 'unanswered', 'refused', 'unsent']


class UsageOrder(NamedTuple):
    """The report of a usage window: its number and requests by account."""

    window: int
    counts: Mapping[str, int]


class ScaleOrder(NamedTuple):
    """The number of replicas that a service shall have in a domain."""

    service: str
    domain: str
    desired_count: int


Order = UsageOrder | ScaleOrder
