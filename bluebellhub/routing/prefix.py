"""Approximate index of the prompt prefixes that upstreams have cached.

Engines publish cache events late and with gaps.  Therefore the index also
records dispatched prompts, and the cached-token counts in responses correct
it.
"""

from collections import OrderedDict
from typing import Final, NamedTuple

__all__ = [
    'BLOCK_TOKENS',
    'PrefixIndex',
    'cached_blocks',
    'correct_blocks',
    'forget_upstream',
    'make_prefix_index',
    'record_blocks',
]

BLOCK_TOKENS: Final = 64
BLOCKS_PER_UPSTREAM_MAX: Final = 4096


class PrefixIndex(NamedTuple):
    """Aggregate root: blocks of each upstream, least recently used first."""

    blocks: dict[str, OrderedDict[int, None]]
    blocks_max: int


def make_prefix_index(
    blocks_max: int = BLOCKS_PER_UPSTREAM_MAX,
) -> PrefixIndex:
    """Create an empty index with at most ``blocks_max`` per upstream."""
    return PrefixIndex({}, blocks_max)


def cached_blocks(
    index: PrefixIndex, upstream: str, prefix: tuple[int, ...]
) -> int:
    """Return the number of leading blocks that are probably cached."""
    known = index.blocks.get(upstream)
    if not known:
        return 0
    for position, block in enumerate(prefix):
        if block not in known:
            return position
    return len(prefix)


def record_blocks(
    index: PrefixIndex, upstream: str, prefix: tuple[int, ...]
) -> None:
    """Record that ``upstream`` has or will soon have these blocks."""
    known = index.blocks.setdefault(upstream, OrderedDict())
    for block in prefix:
        known[block] = None
        known.move_to_end(block)
    while len(known) > index.blocks_max:
        known.popitem(last=False)


def correct_blocks(
    index: PrefixIndex,
    upstream: str,
    prefix: tuple[int, ...],
    cached_tokens: int,
) -> None:
    """Correct the index by the cached-token count of a response.

    Remove the blocks of the prompt beyond that count, which were not cached,
    then record all its blocks, which are cached from now on.
    """
    known = index.blocks.setdefault(upstream, OrderedDict())
    for block in prefix[cached_tokens // BLOCK_TOKENS :]:
        known.pop(block, None)
    record_blocks(index, upstream, prefix)


def forget_blocks(
    index: PrefixIndex, upstream: str, evicted: tuple[int, ...]
) -> None:
    """Remove blocks that a cache event reports as evicted."""
    known = index.blocks.get(upstream)
    if known is None:
        return
    for block in evicted:
        known.pop(block, None)


def forget_upstream(index: PrefixIndex, upstream: str) -> None:
    """Remove all blocks of an upstream that restarted or left."""
    index.blocks.pop(upstream, None)
