"""A client of the platform's object API and VM list.

Objects are read with ``GET /v1/objects/KIND[/NAME]`` and written with a
conditional ``PUT``, whose ``If-Match`` header names the expected version (0
for a new object).  ``GET /v1/watch`` waits for changes after a revision.
"""

from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple, TypedDict, TypeVar

import httpx
import msgspec

from bluebellhub.configuration import StoredObject
from bluebellhub.errors import (
    ConflictError,
    ObjectError,
    StoreUnavailableError,
)

__all__ = [
    'Platform',
    'VmEntry',
    'delete_object',
    'get_object',
    'list_objects',
    'list_vms',
    'make_platform',
    'put_object',
    'watch',
]

Decoded = TypeVar('Decoded')

CALL_TIMEOUT_S: Final = 2.0
CONFLICT_STATUS: Final = 409
NOT_FOUND_STATUS: Final = 404
INVALID_STATUS: Final = 422


class VmEntry(NamedTuple):
    """A VM in the platform's list, which may lag behind."""

    name: str
    address: str
    failure_domain: str
    leaving: bool = False


class Listing(NamedTuple):
    """Objects and the revision of the store at which they were read."""

    revision: int
    objects: list[StoredObject]


class Conflict(TypedDict):
    """Response to a write that expected another version."""

    version: int


class Invalid(TypedDict):
    """Response to a write whose fields the platform rejects."""

    reason: str


class Platform(NamedTuple):
    """The HTTP client and the counters of its calls, by name of the call."""

    client: httpx.AsyncClient
    calls: Counter[tuple[str, str]]


def make_platform(
    address: str, calls: Counter[tuple[str, str]] | None = None
) -> Platform:
    """Create a client of the object API at ``address``."""
    client = httpx.AsyncClient(
        base_url=f'http://{address}', timeout=CALL_TIMEOUT_S, verify=False
    )
    return Platform(client, Counter() if calls is None else calls)


async def _call(
    platform: Platform,
    name: str,
    send: Callable[[], Awaitable[httpx.Response]],
) -> httpx.Response:
    """Count and make a call; raises `StoreUnavailableError`."""
    platform.calls['store_calls', name] += 1
    try:
        response = await send()
    except httpx.HTTPError as error:
        raise StoreUnavailableError(name, type(error).__name__) from None
    if response.is_server_error:
        reason = f'status {response.status_code}'
        raise StoreUnavailableError(name, reason)
    return response


def _decode(response: httpx.Response, kind: type[Decoded]) -> Decoded:
    """Decode a response.

    Raises `StoreUnavailableError` for one that cannot be decoded, as if
    there were no response.
    """
    try:
        return msgspec.json.decode(response.content, type=kind)
    except msgspec.MsgspecError as error:
        reason = f'status {response.status_code}, {error}'
        raise StoreUnavailableError('decode', reason) from None


async def list_objects(platform: Platform, kind: str) -> Listing:
    """Read all objects of one kind; raises `StoreUnavailableError`."""
    response = await _call(
        platform,
        'list',
        lambda: platform.client.get(f'/v1/objects/{kind}'),
    )
    return _decode(response, Listing)


async def get_object(platform: Platform, kind: str, name: str) -> StoredObject:
    """Read one object.

    An object that does not exist has version 0 and no spec.  Raises
    `StoreUnavailableError`.
    """
    response = await _call(
        platform,
        'get',
        lambda: platform.client.get(f'/v1/objects/{kind}/{name}'),
    )
    if response.status_code == NOT_FOUND_STATUS:
        return StoredObject(kind, name, 0, 0, None)
    return _decode(response, StoredObject)


async def put_object(
    platform: Platform,
    kind: str,
    name: str,
    spec: dict[str, Any],
    version: int,
) -> StoredObject:
    """Write an object if it is still at ``version``.

    Raises `ConflictError` if it is at another version, `ObjectError` if the
    platform rejects the fields, and `StoreUnavailableError` if it is unknown
    whether the write took effect.
    """
    response = await _call(
        platform,
        'put',
        lambda: platform.client.put(
            f'/v1/objects/{kind}/{name}',
            content=msgspec.json.encode(spec),
            headers={'If-Match': str(version)},
        ),
    )
    return _decode_write(response, kind, name, version)


async def delete_object(
    platform: Platform, kind: str, name: str, version: int
) -> StoredObject:
    """Delete an object if it is still at ``version``.

    Raises the same errors as `put_object`.
    """
    response = await _call(
        platform,
        'delete',
        lambda: platform.client.delete(
            f'/v1/objects/{kind}/{name}',
            headers={'If-Match': str(version)},
        ),
    )
    return _decode_write(response, kind, name, version)


def _decode_write(
    response: httpx.Response, kind: str, name: str, version: int
) -> StoredObject:
    """Decode the response to a write; raises the errors of `put_object`."""
    if response.status_code == CONFLICT_STATUS:
        conflict = _decode(response, Conflict)
        raise ConflictError(f'{kind} {name!r}', version, conflict['version'])
    if response.status_code == INVALID_STATUS:
        raise ObjectError(kind, name, _decode(response, Invalid)['reason'])
    return _decode(response, StoredObject)


async def watch(platform: Platform, since: int, wait_s: float) -> Listing:
    """Wait up to ``wait_s`` seconds for objects after revision ``since``.

    Returns configuration objects only.  Raises `StoreUnavailableError`.
    """
    response = await _call(
        platform,
        'watch',
        lambda: platform.client.get(
            '/v1/watch',
            params={'since': str(since), 'wait_s': str(wait_s)},
            timeout=wait_s + CALL_TIMEOUT_S,
        ),
    )
    return _decode(response, Listing)


async def list_vms(platform: Platform) -> list[VmEntry]:
    """Read the VM list; raises `StoreUnavailableError`."""
    response = await _call(
        platform, 'list_vms', lambda: platform.client.get('/v1/vms')
    )
    return _decode(response, list[VmEntry])
