"""News of this VM, and what follows from the others' news."""

from collections import Counter

from bluebellhub.rates import hear_use
from bluebellhub.route import is_limited
from bluebellhub.site.hearing import HEARD_S, heard_peers
from bluebellhub.site.moving import (
    hear_trials,
    leader_of,
    take_words,
    trials_of,
    words_of,
)
from bluebellhub.site.news import Peer, SiteNews
from bluebellhub.site.state import Site
from bluebellhub.upstream import pending_tokens

__all__ = ['heard_share', 'make_news', 'take_news', 'weigh_others']


def make_news(site: Site, now_s: float) -> SiteNews:
    """Return what the other VMs should know of this one."""
    busy = [
        upstream
        for upstream in site.scheduler.upstreams.values()
        if upstream.work
    ]
    site.flags['news'] += 1
    return SiteNews(
        site.started_ms,
        site.flags['news'],
        {upstream.spec.name: len(upstream.work) for upstream in busy},
        {upstream.spec.name: pending_tokens(upstream) for upstream in busy},
        dict(site.quotas.admitted),
        trials_of(site),
        words_of(site, now_s),
    )


def take_news(site: Site, sender: str, news: SiteNews, now_s: float) -> None:
    """Take another VM's news; older ones than known are dropped."""
    known = site.peers.get(sender)
    if sender == site.vm or (known and not _is_newer(news, known.news)):
        return
    site.peers[sender] = Peer(news, now_s)
    table = site.in_force['table']
    accounts = table.accounts if table else {}
    share = heard_share(site, now_s)
    for name, amount in _heard_use(known, news, now_s).items():
        account = accounts.get(name)
        if account is not None and is_limited(account):
            hear_use(site.quotas, account, amount, share, now_s)
    hear_trials(site, sender, news.trials)
    if sender == leader_of(site, now_s):
        take_words(site, news.words, now_s)


def _is_newer(news: SiteNews, known: SiteNews) -> bool:
    return (news.started_ms, news.number) > (known.started_ms, known.number)


def _heard_use(
    known: Peer | None, news: SiteNews, now_s: float
) -> dict[str, float]:
    """Return what the VM admitted since its last news, by account.

    While it was silent it kept to its own share, which others left to it.
    """
    if known is None or now_s - known.heard_at_s > HEARD_S:
        return {}
    before = known.news.admitted
    if known.news.started_ms != news.started_ms:
        before = {}
    return {
        account: amount - before.get(account, 0.0)
        for account, amount in news.admitted.items()
    }


def heard_share(site: Site, now_s: float) -> float:
    """Return the ratio of VMs that hear each other, this one included."""
    heard = len(heard_peers(site, now_s)) + 1
    return heard / max(heard, len(site.vms))


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
