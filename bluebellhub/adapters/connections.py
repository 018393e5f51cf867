"""HTTP connections to upstreams, replaced when they go silent."""

from typing import NamedTuple, TypedDict

import httpx
import trio

from bluebellhub.upstream import UpstreamSpec

__all__ = [
    'Connections',
    'Pool',
    'close_pools',
    'make_connections',
    'pool_for',
    'replace_unresponsive_pool',
    'use_pool',
]

PROBE_TIMEOUT_S = 1.0
CONNECTIONS_MAX = 256


class PoolState(TypedDict):
    """How many attempts use a pool, and whether new ones may."""

    users: int
    retired: bool


class Pool(NamedTuple):
    """One upstream's connection pool."""

    client: httpx.AsyncClient
    state: PoolState


class Connections(NamedTuple):
    """The root: the current pool of each upstream, by name."""

    pools: dict[str, Pool]
    connect_timeout_s: float


def make_connections(connect_timeout_s: float) -> Connections:
    """Create an empty set of pools."""
    return Connections({}, connect_timeout_s)


def _make_pool(address: str, connect_timeout_s: float) -> Pool:
    timeout = httpx.Timeout(None, connect=connect_timeout_s)
    limits = httpx.Limits(max_connections=CONNECTIONS_MAX)
    # Plain HTTP: without this a client loads all certificates at its start.
    client = httpx.AsyncClient(
        base_url=f'http://{address}',
        timeout=timeout,
        limits=limits,
        verify=False,
    )
    return Pool(client, {'users': 0, 'retired': False})


async def close_pools(connections: Connections) -> None:
    """Close the connections to all upstreams."""
    for pool in connections.pools.values():
        await pool.client.aclose()


def pool_for(connections: Connections, spec: UpstreamSpec) -> Pool:
    """Return the upstream's pool; makes one at first use."""
    pool = connections.pools.get(spec.name)
    if pool is None:
        pool = _make_pool(spec.address, connections.connect_timeout_s)
        connections.pools[spec.name] = pool
    return pool


class _Use(NamedTuple):
    pool: Pool

    async def __aenter__(self) -> httpx.AsyncClient:
        self.pool.state['users'] += 1
        return self.pool.client

    async def __aexit__(self, *_: object) -> None:
        self.pool.state['users'] -= 1
        if self.pool.state['retired'] and not self.pool.state['users']:
            with trio.CancelScope(shield=True):
                await self.pool.client.aclose()


def use_pool(pool: Pool) -> _Use:
    """Count one user of the pool while the context is open."""
    return _Use(pool)


async def replace_unresponsive_pool(
    connections: Connections, spec: UpstreamSpec
) -> bool:
    """Probe with a fresh connection; if it answers, retire the old pool.

    Attempts on the old pool end by their own time limits, and the last of
    them closes it.  Returns whether the upstream answered.
    """
    fresh = _make_pool(spec.address, connections.connect_timeout_s)
    answered = False
    with trio.move_on_after(PROBE_TIMEOUT_S):
        answered = await _answers(fresh.client)
    if not answered:
        await fresh.client.aclose()
        return False
    old = connections.pools.get(spec.name)
    connections.pools[spec.name] = fresh
    if old is not None:
        await _retire(old)
    return True


async def _answers(client: httpx.AsyncClient) -> bool:
    try:
        await client.get('/v1/load')
    except httpx.HTTPError:
        return False
    return True


async def _retire(pool: Pool) -> None:
    pool.state['retired'] = True
    if not pool.state['users']:
        await pool.client.aclose()
