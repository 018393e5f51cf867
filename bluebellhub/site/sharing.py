"""News of this VM, and what follows from the others' news."""

from collections import Counter
from typing import Final

from bluebellhub.rates import adopt_level, hear_use, levels_of
from bluebellhub.route import Account, is_limited
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
from bluebellhub.upstream.speed import Speed, blend

__all__ = ['heard_share', 'make_news', 'take_news', 'weigh_others']


# So long after its start a VM takes the levels of those that run longer.
ADOPT_S: Final = 2.0
SPEEDS_EVERY: Final = 8


def make_news(site: Site, now_s: float) -> SiteNews:
    """Return what the other VMs should know of this one."""
    busy = [
        upstream
        for upstream in site.scheduler.upstreams.values()
        if upstream.work
    ]
    site.flags['news'] += 1
    return SiteNews(
        site.start_id,
        now_s - site.started_at_s,
        site.flags['news'],
        {upstream.spec.name: len(upstream.work) for upstream in busy},
        {upstream.spec.name: pending_tokens(upstream) for upstream in busy},
        dict(site.quotas.admitted),
        trials_of(site),
        words_of(site, now_s),
        levels_of(site.quotas) if _is_asked(site, now_s) else {},
        _learned_speeds(site),
    )


def _learned_speeds(site: Site) -> dict[str, Speed]:
    """Return what was learned of the upstreams, in some of the news."""
    if site.flags['news'] % SPEEDS_EVERY:
        return {}
    return {
        name: upstream.speed
        for name, upstream in site.scheduler.upstreams.items()
        if upstream.speed.observations
    }


def _blend_speeds(site: Site, told: dict[str, Speed]) -> None:
    upstreams = site.scheduler.upstreams
    for name, speed in told.items():
        upstream = upstreams.get(name)
        if upstream is not None:
            upstreams[name] = upstream._replace(
                speed=blend(upstream.speed, speed)
            )


def _is_asked(site: Site, now_s: float) -> bool:
    """Tell whether a VM is heard that has just started."""
    own_age_s = now_s - site.started_at_s
    return any(
        peer.news.age_s < min(ADOPT_S, own_age_s)
        for peer in heard_peers(site, now_s)
    )


def take_news(site: Site, sender: str, news: SiteNews, now_s: float) -> None:
    """Take another VM's news; older ones than known are dropped."""
    known = site.peers.get(sender)
    if sender == site.vm or (known and not _is_newer(news, known)):
        return
    site.peers[sender] = Peer(news, now_s, _past_starts(news, known))
    table = site.in_force['table']
    accounts = table.accounts if table else {}
    share = heard_share(site, now_s)
    limited = {
        name: account
        for name, account in accounts.items()
        if is_limited(account)
    }
    for name, amount in _heard_use(known, news, now_s).items():
        account = limited.get(name)
        if account is not None:
            hear_use(site.quotas, account, amount, share, now_s)
    _adopt_levels(site, news, limited, now_s)
    _blend_speeds(site, news.speeds)
    hear_trials(site, sender, news.trials)
    if sender == leader_of(site, now_s):
        take_words(site, news.words, now_s)


def _adopt_levels(
    site: Site, news: SiteNews, limited: dict[str, Account], now_s: float
) -> None:
    """Soon after a start, take the levels of a VM that has run for longer.

    Those of the VM that has run longest are the last to be taken.
    """
    own_age_s = now_s - site.started_at_s
    known_age_s = max(own_age_s, site.flags['adopted_age_s'])
    is_older = news.age_s > known_age_s + ADOPT_S
    if own_age_s > ADOPT_S or not is_older or not news.levels:
        return
    site.flags['adopted_age_s'] = news.age_s
    for name, level in news.levels.items():
        account = limited.get(name)
        if account is not None:
            adopt_level(site.quotas, account, level, now_s)


def _is_newer(news: SiteNews, known: Peer) -> bool:
    if news.start_id == known.news.start_id:
        return news.number > known.news.number
    return news.start_id not in known.past_starts


def _past_starts(news: SiteNews, known: Peer | None) -> frozenset[int]:
    if known is None:
        return frozenset()
    if news.start_id == known.news.start_id:
        return known.past_starts
    return known.past_starts | {known.news.start_id}


def _heard_use(
    known: Peer | None, news: SiteNews, now_s: float
) -> dict[str, float]:
    """Return what the VM admitted since its last news, by account.

    While it was silent it kept to its own share, which others left to it.
    """
    if known is None or now_s - known.heard_at_s > HEARD_S:
        return {}
    before = known.news.admitted
    if known.news.start_id != news.start_id:
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
