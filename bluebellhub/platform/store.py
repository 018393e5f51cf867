"""Client of the platform's object store."""

from collections.abc import Iterable, Mapping
from typing import Any, Final, NamedTuple, NotRequired, TypedDict, TypeVar
from urllib.parse import urlencode

import logbook
import msgspec

from bluebellhub.errors import StoreUnavailableError
from bluebellhub.platform.nesting import bound_nesting
from bluebellhub.platform.store_calls import (
    CALL_TIMEOUT_S,
    HistoryGoneError,
    Store,
    call_store,
    read_era,
)
from bluebellhub.site.stored_objects import Change, Position, StoredEntry

__all__ = [
    'Change',
    'Listing',
    'Position',
    'StoredEntry',
    'create_entry',
    'delete_entry',
    'list_objects',
    'read_stored',
    'replace_entry',
    'watch_objects',
    'write_status',
]

# A watch without a response this long after its wait time counts as lost.
WATCH_SLACK_S: Final = 0.7
MS_PER_S: Final = 1000

log = logbook.Logger('bluebellhub.store')
Decoded = TypeVar('Decoded')


class Listing(NamedTuple):
    """All objects of a kind, and the position from which to watch."""

    entries: list[StoredEntry]
    position: Position


class Metadata(TypedDict):
    """An object's name, and the revision of its last change."""

    name: str
    revision: NotRequired[int]


class NamedObject(TypedDict):
    """An object on the wire of which only the name is read."""

    metadata: Metadata


class StoredObject(TypedDict):
    """An object on the wire."""

    metadata: Metadata
    spec: NotRequired[Any]
    status: NotRequired[Any]


class Page(TypedDict):
    """One page of a listing; ``at`` is the store's revision.

    Each object is decoded by itself, so that an odd one hides no other.
    """

    items: list[msgspec.Raw]
    at: int
    more: NotRequired[bool]


class Event(TypedDict):
    """A change on the wire."""

    object: StoredObject
    deleted: NotRequired[bool]


class Events(TypedDict):
    """The changes up to the revision ``at``."""

    events: list[msgspec.Raw]
    at: int


async def list_objects(
    store: Store, kind: str, *, stale_ok: bool = False
) -> Listing:
    """Read all objects of a kind; raises `StoreUnavailableError`.

    With ``stale_ok`` the listing may be seconds old, and costs the store less.
    One during which the store is restored counts as failed.
    """
    entries: list[StoredEntry] = []
    positions: list[Position] = []
    options = {'staleOk': '1'} if stale_ok else {}
    query = options
    while True:
        page, era = await _get(store, kind, query, CALL_TIMEOUT_S, Page)
        found = _decode_each(page['items'], StoredObject)
        entries.extend(_read_entry(stored) for stored in found)
        positions.append(Position(page['at'], era))
        if era != positions[0].era:
            raise StoreUnavailableError(kind, 'restored during the listing')
        if not page.get('more') or not page['items']:
            # The watch repeats changes that happened between two pages.
            return Listing(entries, positions[0])
        query = {**options, 'after': _last_name(kind, page['items'])}


async def watch_objects(
    store: Store, kind: str, since: Position, wait_s: float
) -> tuple[list[Change], Position]:
    """Wait for changes after the position ``since``.

    Returns them, or none after ``wait_s`` seconds, and the position for the
    next call.  Raises `HistoryGoneError` if the store has dropped the
    history since ``since`` or was restored, and `StoreUnavailableError`.
    """
    query = {
        'watch': str(since.revision),
        'waitMs': str(int(wait_s * MS_PER_S)),
    }
    timeout_s = wait_s + WATCH_SLACK_S
    page, era = await _get(store, kind, query, timeout_s, Events)
    if era != since.era:
        raise HistoryGoneError(f'{kind}: the store was restored from a copy')
    changes = []
    for event in _decode_each(page['events'], Event):
        entry = _read_entry(event['object'])
        changes.append(Change(entry, event.get('deleted', False)))
    return changes, Position(page['at'], era)


async def create_entry(
    store: Store, kind: str, name: str, spec: Mapping[str, Any]
) -> None:
    """Create an object.

    Raises `ConflictError` if it exists already, and
    `StoreUnavailableError`.
    """
    body = {'metadata': {'name': name}, 'spec': spec}
    await call_store(store, 'POST', kind, body=body)


async def replace_entry(
    store: Store, kind: str, name: str, spec: Mapping[str, Any]
) -> None:
    """Replace an object's spec; raises `StoreUnavailableError`."""
    body = {'metadata': {'name': name}, 'spec': spec}
    await call_store(store, 'PUT', f'{kind}/{name}', body=body)


async def delete_entry(store: Store, kind: str, name: str) -> None:
    """Delete an object; raises `StoreUnavailableError`."""
    await call_store(store, 'DELETE', f'{kind}/{name}')


async def write_status(
    store: Store, kind: str, name: str, status: Mapping[str, Any], revision: int
) -> None:
    """Write an object's status if it is still at ``revision``.

    Raises `ConflictError` if it is not, and `StoreUnavailableError`.
    """
    metadata = {'name': name, 'revision': revision}
    body = {'metadata': metadata, 'status': status}
    path = f'{kind}/{name}/status'
    await call_store(store, 'PUT', path, body=body)


async def _get(
    store: Store,
    kind: str,
    query: Mapping[str, str],
    timeout_s: float,
    response_type: type[Decoded],
) -> tuple[Decoded, int | None]:
    """Read and decode a page of objects or of events; return its era too."""
    path = f'{kind}?{urlencode(query)}' if query else kind
    response = await call_store(store, 'GET', path, timeout_s=timeout_s)
    try:
        page = _decode_page(response.content, response_type)
    except msgspec.MsgspecError as error:
        raise StoreUnavailableError(kind, str(error)) from None
    return page, read_era(response)


def _decode_page(content: bytes, page_type: type[Decoded]) -> Decoded:
    try:
        return msgspec.json.decode(content, type=page_type)
    except RecursionError as error:
        log.warning('object nested too deeply in the store: {}', error)
        return msgspec.json.decode(bound_nesting(content), type=page_type)


def _last_name(kind: str, items: list[msgspec.Raw]) -> str:
    """Return the name of the last object of a page."""
    try:
        last = msgspec.json.decode(items[-1], type=NamedObject)
    except msgspec.MsgspecError as error:
        raise StoreUnavailableError(kind, str(error)) from None
    return last['metadata']['name']


def _decode_each(
    items: Iterable[msgspec.Raw], item_type: type[Decoded]
) -> list[Decoded]:
    """Decode objects or events; skip those that are not valid and log them."""
    found = []
    for item in items:
        try:
            found.append(msgspec.json.decode(item, type=item_type))
        except (msgspec.MsgspecError, RecursionError) as error:
            log.warning('object in the store not valid, ignored: {}', error)
    return found


def read_stored(content: bytes, kind: str) -> StoredEntry:
    """Decode a response that holds one object.

    Raises `StoreUnavailableError` if it does not.
    """
    try:
        return _read_entry(msgspec.json.decode(content, type=StoredObject))
    except (msgspec.MsgspecError, RecursionError) as error:
        raise StoreUnavailableError(kind, str(error)) from None


def _read_entry(stored: StoredObject) -> StoredEntry:
    metadata = stored['metadata']
    return StoredEntry(
        metadata['name'],
        metadata.get('revision', 0),
        stored.get('spec'),
        stored.get('status'),
    )
