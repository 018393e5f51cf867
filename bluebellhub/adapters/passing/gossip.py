"""News between the VMs of a site."""

from typing import Final

import trio

from bluebellhub.adapters.passing.state import Passing
from bluebellhub.adapters.peer_link import (
    PeerLink,
    receive_all,
    reconnect,
    send,
)
from bluebellhub.clock import now_s
from bluebellhub.site.news import SiteNews
from bluebellhub.site.sharing import make_news, take_news, weigh_others

__all__ = ['hear_news', 'tell_news']

STEP_S: Final = 0.12
# Unchanged news are told again, as a sign of life.
REPEAT_S: Final = 0.36
SILENT_S: Final = 3.0


async def tell_news(passing: Passing, link: PeerLink) -> None:
    """Tell all other VMs what has changed here, until cancelled."""
    told: SiteNews | None = None
    told_at_s = 0.0
    reconnected: dict[str, float] = {}
    while True:
        moment_s = now_s()
        weigh_others(passing.site, moment_s)
        news = make_news(passing.site, moment_s)
        if _differ(news, told) or moment_s - told_at_s >= REPEAT_S:
            told, told_at_s = news, moment_s
            for name in link.addresses:
                send(link, name, news)
        _replace_silent(passing, link, reconnected, moment_s)
        await trio.sleep(STEP_S)


async def hear_news(passing: Passing, link: PeerLink) -> None:
    """Take the other VMs' news, until cancelled."""

    def receive(sender: str, message: object) -> None:
        if isinstance(message, SiteNews):
            take_news(passing.site, sender, message, now_s())

    await receive_all(link, receive)


def _differ(news: SiteNews, told: SiteNews | None) -> bool:
    if told is None:
        return True
    same = news._replace(
        number=told.number, age_s=told.age_s, speeds=told.speeds
    )
    return same != told


def _replace_silent(
    passing: Passing,
    link: PeerLink,
    reconnected: dict[str, float],
    moment_s: float,
) -> None:
    """Give VMs that stay silent a fresh connection."""
    for name in link.addresses:
        peer = passing.site.peers.get(name)
        last_s = max(
            peer.heard_at_s if peer else 0.0, reconnected.get(name, 0.0)
        )
        if moment_s - last_s > SILENT_S:
            reconnected[name] = moment_s
            reconnect(link, name)
