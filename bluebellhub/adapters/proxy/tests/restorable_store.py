"""A store in memory that can be away and come back from an older copy."""

from collections.abc import Callable
from copy import deepcopy
from typing import NamedTuple, TypedDict
from urllib.parse import parse_qs, urlsplit

import httpcore
import msgspec
import trio

from bluebellhub.platform.store_calls import Store, make_era
from bluebellhub.platform.tests.wire import STORE_PATH, STORE_URL

__all__ = [
    'RestorableStore',
    'copy_of',
    'make_client',
    'make_restorable_store',
    'remove_object',
    'restore',
    'set_away',
    'write_object',
]

NOT_FOUND = 404
GONE = 410
CONFLICT = 409
POLL_S = 0.01
MS_PER_S = 1000


class StoreState(TypedDict):
    """The content at a revision, the era, and whether calls fail."""

    objects: dict
    history: list
    revision: int
    era: int
    is_away: bool


class RestorableStore(NamedTuple):
    """Connections to the store; ``calls`` collects methods and paths."""

    state: StoreState
    calls: list

    async def request(self, method, url, *, headers, content):
        if self.state['is_away']:
            raise httpcore.ConnectError
        parts = urlsplit(url)
        path = parts.path.removeprefix(STORE_PATH)
        self.calls.append((method, path))
        body = msgspec.json.decode(content) if content else None
        query = {
            name: found[0] for name, found in parse_qs(parts.query).items()
        }
        handle = _watch if 'watch' in query else METHODS[method]
        status, answer = await handle(self.state, path, query, body)
        response = httpcore.Response(
            status,
            headers=[(b'Store-Era', b'%d' % self.state['era'])],
            content=msgspec.json.encode(answer),
        )
        await response.aread()
        return response


def make_restorable_store():
    """Create an empty store."""
    return RestorableStore(
        {
            'objects': {},
            'history': [],
            'revision': 1,
            'era': 1,
            'is_away': False,
        },
        [],
    )


def make_client(store):
    """Return a client of the store."""
    return Store(STORE_URL, store, make_era())


def write_object(store, path, spec, status=None):
    """Write an object as an operator or an upstream does."""
    _put(store.state, path, {'spec': spec, 'status': status})


def remove_object(store, path):
    """Remove an object."""
    state = store.state
    found = state['objects'].pop(path)
    state['revision'] += 1
    state['history'].append((state['revision'], path, found, True))


def copy_of(store):
    """Return a copy to restore from."""
    return deepcopy(store.state)


def restore(store, copy):
    """Replace the content by the copy's, with its revision, in a new era."""
    era = store.state['era'] + 1
    store.state.update(deepcopy(copy), era=era, is_away=False)


def set_away(store, *, is_away):
    """Let all calls fail, or none."""
    store.state['is_away'] = is_away


def _put(state, path, fields):
    state['revision'] += 1
    found = {**state['objects'].get(path, {}), **fields}
    found['metadata'] = {
        'name': path.rpartition('/')[2],
        'revision': state['revision'],
    }
    state['objects'][path] = found
    state['history'].append((state['revision'], path, found, False))


async def _list(state, kind, query, body):
    items = [
        found
        for path, found in state['objects'].items()
        if path.startswith(f'{kind}/')
    ]
    return 200, {'items': items, 'at': state['revision'], 'more': False}


async def _watch(state, kind, query, body):
    """Return what came after a revision, at once or after a while."""
    since = int(query['watch'])
    era = state['era']
    if since > state['revision']:
        return GONE, {}
    with trio.move_on_after(int(query['waitMs']) / MS_PER_S):
        while not _events(state, kind, since):
            await trio.sleep(POLL_S)
            if state['is_away'] or state['era'] != era:
                raise httpcore.ReadError
    return 200, {
        'events': _events(state, kind, since),
        'at': state['revision'],
    }


def _events(state, kind, since):
    return [
        {'object': found, 'deleted': is_removed}
        for revision, path, found, is_removed in state['history']
        if revision > since and path.startswith(f'{kind}/')
    ]


async def _create(state, kind, query, body):
    path = f'{kind}/{body["metadata"]["name"]}'
    found = state['objects'].get(path)
    if found is not None:
        return CONFLICT, found
    _put(state, path, {'spec': body['spec']})
    return 200, state['objects'][path]


async def _replace(state, path, query, body):
    base, _, last = path.rpartition('/')
    object_path, field = (
        (base, 'status') if last == 'status' else (path, 'spec')
    )
    found = state['objects'].get(object_path)
    if found is None:
        return NOT_FOUND, {}
    revision = found['metadata']['revision']
    if body['metadata'].get('revision', revision) != revision:
        return CONFLICT, found
    if {**found, field: body[field]} != found:
        _put(state, object_path, {field: body[field]})
    return 200, state['objects'][object_path]


async def _delete(state, path, query, body):
    if path not in state['objects']:
        return NOT_FOUND, {}
    state['revision'] += 1
    found = state['objects'].pop(path)
    state['history'].append((state['revision'], path, found, True))
    return 200, {}


METHODS: dict[str, Callable] = {
    'GET': _list,
    'POST': _create,
    'PUT': _replace,
    'DELETE': _delete,
}
