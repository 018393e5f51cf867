"""The client of the platform's store."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, NamedTuple, NotRequired, TypedDict, TypeVar

import httpx
import logbook
import msgspec
import trio

from bluebellhub.adapters.sockets import SOCKET_OPTIONS
from bluebellhub.errors import (
    ConflictError,
    StoreError,
    StoreUnavailableError,
)

__all__ = [
    'Change',
    'HistoryGoneError',
    'Listing',
    'Store',
    'StoredEntry',
    'close_store',
    'create_entry',
    'list_kind',
    'make_store',
    'replace_entry',
    'watch_kind',
    'write_status',
]

CALL_TIMEOUT_S: Final = 1.0
# A watch that stays silent this much longer than it was asked to is lost.
WATCH_SLACK_S: Final = 0.7
MS_PER_S: Final = 1000
GONE: Final = 410
CONFLICT: Final = 409
OBJECTS: Final = '/api/objects'

log = logbook.Logger('bluebellhub.store')
Decoded = TypeVar('Decoded')


class HistoryGoneError(StoreError):
    """The store no longer has the changes since a revision."""


class StoredEntry(NamedTuple):
    """An object of the store.

    ``spec`` is as its writer left it, ``status`` what we say of it.
    """

    name: str
    revision: int
    spec: Any
    status: Any = None


class Change(NamedTuple):
    """An object that was written or removed."""

    entry: StoredEntry
    is_removed: bool


class Listing(NamedTuple):
    """All objects of a kind, and the revision to watch from."""

    entries: list[StoredEntry]
    revision: int


class Store(NamedTuple):
    """The root: the connections to the store."""

    client: httpx.AsyncClient


class Metadata(TypedDict):
    """An object's own data; the revision is that of its last change."""

    name: str
    revision: NotRequired[int]


class StoredObject(TypedDict):
    """An object on the wire."""

    metadata: Metadata
    spec: NotRequired[Any]
    status: NotRequired[Any]


class Page(TypedDict):
    """A part of a listing; ``at`` is the store's revision."""

    items: list[Any]
    at: int
    more: NotRequired[bool]


class Event(TypedDict):
    """A change on the wire."""

    object: Any
    deleted: NotRequired[bool]


class Events(TypedDict):
    """The changes up to the revision ``at``."""

    events: list[Event]
    at: int


def make_store(address: str) -> Store:
    """Create a client of the store at an IP number and port."""
    # Plain HTTP: without `verify` a client loads all certificates.
    transport = httpx.AsyncHTTPTransport(
        verify=False,
        socket_options=SOCKET_OPTIONS,
        limits=httpx.Limits(max_connections=32),
    )
    client = httpx.AsyncClient(
        base_url=f'http://{address}{OBJECTS}',
        timeout=CALL_TIMEOUT_S,
        transport=transport,
    )
    return Store(client)


async def close_store(store: Store) -> None:
    """Close the connections."""
    await store.client.aclose()


async def list_kind(store: Store, kind: str) -> Listing:
    """Read all objects of a kind; raises `StoreUnavailableError`."""
    entries: list[StoredEntry] = []
    revisions: list[int] = []
    query: dict[str, str] = {}
    while True:
        page = await _get(store, kind, query, CALL_TIMEOUT_S, Page)
        entries.extend(_read_entries(page['items']))
        revisions.append(page['at'])
        if not page.get('more') or not page['items']:
            # Changes between two pages come again through the watch.
            return Listing(entries, revisions[0])
        query = {'after': _read_entry(page['items'][-1]).name}


async def watch_kind(
    store: Store, kind: str, since: int, wait_s: float
) -> tuple[list[Change], int]:
    """Wait for changes after a revision; returns them and the next one.

    Raises `HistoryGoneError` if the store has dropped its history since
    then, and `StoreUnavailableError`.
    """
    query = {'watch': str(since), 'waitMs': str(int(wait_s * MS_PER_S))}
    timeout_s = wait_s + WATCH_SLACK_S
    found = await _get(store, kind, query, timeout_s, Events)
    changes = []
    for event in found['events']:
        for entry in _read_entries([event['object']]):
            changes.append(Change(entry, event.get('deleted', False)))
    return changes, found['at']


async def create_entry(
    store: Store, kind: str, name: str, spec: Mapping[str, Any]
) -> None:
    """Create an object.

    Raises `ConflictError` if there is one and `StoreUnavailableError`.
    """
    body = {'metadata': {'name': name}, 'spec': spec}
    response = await _call(
        kind, lambda: store.client.post(f'/{kind}', json=body)
    )
    _check(kind, response)


async def replace_entry(
    store: Store, kind: str, name: str, spec: Mapping[str, Any]
) -> None:
    """Replace an object's fields; raises `StoreUnavailableError`."""
    body = {'metadata': {'name': name}, 'spec': spec}
    response = await _call(
        kind, lambda: store.client.put(f'/{kind}/{name}', json=body)
    )
    _check(kind, response)


async def write_status(
    store: Store, kind: str, name: str, status: Mapping[str, Any], revision: int
) -> None:
    """Write an object's status if it is still at ``revision``.

    Raises `ConflictError` and `StoreUnavailableError`.
    """
    metadata = {'name': name, 'revision': revision}
    body = {'metadata': metadata, 'status': status}
    response = await _call(
        kind, lambda: store.client.put(f'/{kind}/{name}/status', json=body)
    )
    _check(kind, response)


async def _get(
    store: Store,
    kind: str,
    query: Mapping[str, str],
    timeout_s: float,
    shape: type[Decoded],
) -> Decoded:
    response = await _call(
        kind,
        lambda: store.client.get(f'/{kind}', params=query, timeout=timeout_s),
        timeout_s,
    )
    _check(kind, response)
    try:
        return msgspec.json.decode(response.content, type=shape)
    except msgspec.MsgspecError as error:
        raise StoreUnavailableError(kind, str(error)) from None


async def _call(
    kind: str,
    send: Callable[[], Awaitable[httpx.Response]],
    timeout_s: float = CALL_TIMEOUT_S,
) -> httpx.Response:
    """Send a call; ``timeout_s`` bounds the whole of it."""
    with trio.move_on_after(timeout_s):
        try:
            return await send()
        except httpx.HTTPError as error:
            cause = type(error).__name__
            raise StoreUnavailableError(kind, cause) from None
    raise StoreUnavailableError(kind, f'no answer in {timeout_s:g} s')


def _check(kind: str, response: httpx.Response) -> None:
    status = response.status_code
    if status == GONE:
        raise HistoryGoneError(f'{kind}: the history is gone')
    if status == CONFLICT:
        raise ConflictError(kind, 0, 1)
    if not response.is_success:
        raise StoreUnavailableError(kind, f'status {status}')


def _read_entries(found: list[Any]) -> list[StoredEntry]:
    """Decode objects; one that cannot be read is left out with a log line."""
    entries = []
    for item in found:
        try:
            entries.append(_read_entry(item))
        except msgspec.MsgspecError as error:
            log.warning('unreadable object in the store: {}', error)
    return entries


def _read_entry(item: Any) -> StoredEntry:
    stored = msgspec.convert(item, StoredObject)
    metadata = stored['metadata']
    return StoredEntry(
        metadata['name'],
        metadata.get('revision', 0),
        stored.get('spec'),
        stored.get('status'),
    )
