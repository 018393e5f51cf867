"""What VMs tell each other several times a second."""

from typing import NamedTuple

__all__ = ['Peer', 'SiteNews']


class SiteNews(NamedTuple):
    """A VM's work in progress and its use of the accounts' limits.

    ``work`` counts requests and ``prefill`` tokens that wait for prefill,
    by upstream; ``admitted`` is by account, over the quota's window.
    """

    work: dict[str, int]
    prefill: dict[str, int]
    admitted: dict[str, float]


class Peer(NamedTuple):
    """The newest news of another VM and when it was heard."""

    news: SiteNews
    heard_at_s: float
