"""What VMs tell each other several times a second."""

from typing import NamedTuple

__all__ = ['Peer', 'SiteNews']


class SiteNews(NamedTuple):
    """A VM's work in progress and its use of the accounts' limits.

    ``number`` grows with each news of one start of the VM, which is named
    by ``started_ms``.  ``work`` counts requests and ``prefill`` tokens that
    wait for prefill, by upstream; ``admitted`` sums by account what the VM
    admitted since its start.
    """

    started_ms: int
    number: int
    work: dict[str, int]
    prefill: dict[str, int]
    admitted: dict[str, float]


class Peer(NamedTuple):
    """The newest news of another VM and when it was heard."""

    news: SiteNews
    heard_at_s: float
