"""The shard map: which VM owns which budget or shard."""

from typing import NamedTuple

from xxhash import xxh3_64_intdigest

__all__ = ['ShardMap', 'owner_of']


class ShardMap(NamedTuple):
    """The members at one version; versions only grow.

    ``former`` are the members of the version before.
    """

    version: int
    members: tuple[str, ...]
    former: tuple[str, ...] = ()


def owner_of(shard_map: ShardMap, key: str) -> str | None:
    """Return the owner by rendezvous hashing; ``None`` without members.

    >>> owner_of(ShardMap(1, ('hub-1',)), 'window:hire-1')
    'hub-1'
    """
    return max(
        shard_map.members,
        key=lambda member: xxh3_64_intdigest(f'{member}|{key}'.encode()),
        default=None,
    )
