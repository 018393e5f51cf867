"""Cache events of engines, which arrive late and with gaps."""

from collections.abc import Iterable
from typing import NamedTuple

from bluebellhub.routing.prefix import (
    PrefixIndex,
    forget_blocks,
    forget_upstream,
    record_blocks,
)

__all__ = ['CacheEvent', 'apply_cache_events']


class CacheEvent(NamedTuple):
    """Blocks that an engine has stored and then evicted."""

    number: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


def apply_cache_events(
    index: PrefixIndex,
    upstream: str,
    known: int,
    events: Iterable[CacheEvent],
) -> int:
    """Apply events after number ``known``; return the newest number.

    After a gap, evictions may have been missed, so the blocks of the
    upstream are cleared first.  An engine numbers its events from the start
    again after it restarted.
    """
    for event in events:
        if event.number <= known:
            continue
        if event.number > known + 1:
            forget_upstream(index, upstream)
        record_blocks(index, upstream, event.stored)
        forget_blocks(index, upstream, event.evicted)
        known = event.number
    return known
