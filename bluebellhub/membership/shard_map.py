"""The shard map, which assigns budgets and shards to VMs."""

from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from bluebellhub.peer_messages import message_types

__all__ = ['ShardMap', 'owner_of']


@message_types.register('ShardMap')
class ShardMap(NamedTuple):
    """The members at one version of the map; versions only grow.

    ``former`` are the members at the previous version.
    """

    version: int
    members: tuple[str, ...]
    former: tuple[str, ...] = ()


def owner_of(shard_map: ShardMap, key: str) -> str | None:
    """Return a key's owner by rendezvous hashing, or ``None``.

    There is no owner while the map has no members.

    >>> owner_of(ShardMap(1, ('hub-1',)), 'window:hire-1')
    'hub-1'
    """
    return max(
        shard_map.members,
        key=lambda member: xxh3_64_intdigest(f'{member}|{key}'.encode()),
        default=None,
    )
