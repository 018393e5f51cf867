"""HTTP connections to upstreams, replaced when they stop responding."""

from typing import NamedTuple, TypedDict

import httpx
import trio

from bluebellhub.upstream import UpstreamSpec

__all__ = [
    'Connections',
    'Pool',
    'close_pools',
    'get_pool',
    'make_connections',
    'replace_unresponsive_pool',
    'use_pool',
]

PROBE_TIMEOUT_S = 1.0
CONNECTIONS_MAX = 256


class PoolState(TypedDict):
    """Number of attempts that use a pool, and whether it is being closed."""

    users: int
    retired: bool


class Pool(NamedTuple):
    """One upstream's connection pool."""

    client: httpx.AsyncClient
    state: PoolState


class Connections(NamedTuple):
    """Root of the aggregate: the current pool of each upstream, by name."""

    pools: dict[str, Pool]
    connect_timeout_s: float


def make_connections(connect_timeout_s: float) -> Connections:
    """Create an empty set of pools."""
    return Connections({}, connect_timeout_s)


def _make_pool(address: str, connect_timeout_s: float) -> Pool:
    timeout = httpx.Timeout(None, connect=connect_timeout_s)
    limits = httpx.Limits(max_connections=CONNECTIONS_MAX)
    # Without verify=False the client would load all certificates when it is
    # created, although only plain HTTP is used.
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


def get_pool(connections: Connections, spec: UpstreamSpec) -> Pool:
    """Return the upstream's pool, which is created at first use."""
    pool = connections.pools.get(spec.name)
    if pool is None:
        pool = _make_pool(spec.address, connections.connect_timeout_s)
        connections.pools[spec.name] = pool
    return pool


class _PoolUse(NamedTuple):
    """A context that counts a user and closes a retired, unused pool."""

    pool: Pool

    async def __aenter__(self) -> httpx.AsyncClient:
        self.pool.state['users'] += 1
        return self.pool.client

    async def __aexit__(self, *_: object) -> None:
        self.pool.state['users'] -= 1
        if self.pool.state['retired'] and not self.pool.state['users']:
            with trio.CancelScope(shield=True):
                await self.pool.client.aclose()


def use_pool(pool: Pool) -> _PoolUse:
    """Return a context that counts one user of the pool while it is open."""
    return _PoolUse(pool)


async def replace_unresponsive_pool(
    connections: Connections, spec: UpstreamSpec
) -> bool:
    """Probe with a new connection; if it works, replace the pool.

    Attempts on the old pool end by their own time limits, and the last of
    them closes it.  Returns whether the upstream responded.
    """
    new_pool = _make_pool(spec.address, connections.connect_timeout_s)
    has_responded = False
    with trio.move_on_after(PROBE_TIMEOUT_S):
        has_responded = await _responds(new_pool.client)
    if not has_responded:
        await new_pool.client.aclose()
        return False
    old_pool = connections.pools.get(spec.name)
    connections.pools[spec.name] = new_pool
    if old_pool is not None:
        await _retire(old_pool)
    return True


async def _responds(client: httpx.AsyncClient) -> bool:
    """Return whether the upstream sends the head of any HTTP response."""
    try:
        async with client.stream('GET', '/v1/load'):
            return True
    except httpx.HTTPError:
        return False


async def _retire(pool: Pool) -> None:
    """Close the pool now, or when its last user has finished."""
    pool.state['retired'] = True
    if not pool.state['users']:
        await pool.client.aclose()
