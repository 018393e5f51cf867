"""News of this VM, and what follows from the others' news."""

from collections import Counter
from typing import Final

from bluebellhub.rates import Group, quota_totals
from bluebellhub.site.news import Peer, SiteNews
from bluebellhub.site.state import Site
from bluebellhub.upstream import pending_tokens

__all__ = ['HEARD_S', 'group_of', 'make_news', 'take_news', 'weigh_others']

# News older than this count as silence.
HEARD_S: Final = 1.0


def make_news(site: Site, now_s: float) -> SiteNews:
    """Return what the other VMs should know of this one."""
    busy = [
        upstream
        for upstream in site.scheduler.upstreams.values()
        if upstream.work
    ]
    return SiteNews(
        {upstream.spec.name: len(upstream.work) for upstream in busy},
        {upstream.spec.name: pending_tokens(upstream) for upstream in busy},
        quota_totals(site.quotas, now_s),
    )


def take_news(site: Site, sender: str, news: SiteNews, now_s: float) -> None:
    """Take another VM's news."""
    if sender != site.vm:
        site.peers[sender] = Peer(news, now_s)


def heard_peers(site: Site, now_s: float) -> list[Peer]:
    """Return the peers that told something a moment ago."""
    return [
        peer
        for peer in site.peers.values()
        if now_s - peer.heard_at_s <= HEARD_S
    ]


def group_of(site: Site, now_s: float) -> Group:
    """Return the VMs that hear each other, for the accounts' limits."""
    heard = heard_peers(site, now_s)
    others: dict[str, float] = {}
    for peer in heard:
        for name, amount in peer.news.admitted.items():
            others[name] = others.get(name, 0.0) + amount
    known = max(len(site.vms), len(heard) + 1)
    return Group(len(heard) + 1, known, others)


def weigh_others(site: Site, now_s: float) -> None:
    """Set the upstreams' load from other VMs to the sum of their news."""
    work: Counter[str] = Counter()
    prefill: Counter[str] = Counter()
    for peer in heard_peers(site, now_s):
        work.update(peer.news.work)
        prefill.update(peer.news.prefill)
    upstreams = site.scheduler.upstreams
    for name, upstream in upstreams.items():
        if upstream.others_work == work[name] == 0:
            continue
        upstreams[name] = upstream._replace(
            others_work=work[name],
            others_tokens=prefill[name],
            others_at_s=now_s,
        )
