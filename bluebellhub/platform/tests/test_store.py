"""Calls of the platform's store, against a scripted transport."""

from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

import httpcore
import msgspec
import pytest

from bluebellhub.platform.store import Position, list_objects
from bluebellhub.platform.store_calls import Store, make_era

PAGES = {
    None: {'items': ['a', 'b'], 'at': 7, 'more': True},
    'b': {'items': ['c'], 'at': 9},
}


class ScriptedConnections(NamedTuple):
    """Connections on which each page of a listing is found by ``after``.

    ``queries`` collects the queries of the calls.
    """

    pages: dict
    queries: list

    async def request(self, method, url, *, headers, content):
        query = parse_qs(urlsplit(url).query)
        self.queries.append(query)
        page = self.pages[query.get('after', [None])[0]]
        items = [
            {'metadata': {'name': name, 'revision': 1}, 'spec': {}}
            for name in page['items']
        ]
        response = httpcore.Response(
            200, content=msgspec.json.encode({**page, 'items': items})
        )
        await response.aread()
        return response


@pytest.mark.parametrize(
    ('pages', 'names', 'revision'),
    [
        ({None: {'items': [], 'at': 3}}, [], 3),
        ({None: {'items': ['a'], 'at': 3}}, ['a'], 3),
        (PAGES, ['a', 'b', 'c'], 7),
    ],
)
async def test_listing_revision_is_that_of_its_first_page(
    pages, names, revision
):
    listing = await list_objects(
        Store('http://store', ScriptedConnections(pages, []), make_era()),
        'servers',
    )
    assert [entry.name for entry in listing.entries] == names
    assert listing.position == Position(revision, None)


@pytest.mark.parametrize('stale_ok', [False, True])
async def test_all_pages_of_a_stale_listing_may_be_stale(stale_ok):
    queries = []
    store = Store(
        'http://store', ScriptedConnections(PAGES, queries), make_era()
    )
    listing = await list_objects(store, 'servers', stale_ok=stale_ok)
    assert [entry.name for entry in listing.entries] == ['a', 'b', 'c']
    assert [query.get('staleOk') == ['1'] for query in queries] == [
        stale_ok
    ] * 2


class Eras(NamedTuple):
    """Connections on which each response states the next of these eras."""

    eras: list

    async def request(self, method, url, *, headers, content):
        response = httpcore.Response(
            200,
            headers=[(b'Store-Era', self.eras.pop(0))],
            content=msgspec.json.encode({'items': [], 'at': 1}),
        )
        await response.aread()
        return response


@pytest.mark.parametrize(
    ('stated', 'expected'),
    [
        ([b'3'], 3),
        ([b'3', b'4'], 4),
        # A response of an earlier era that arrives late, or no number.
        ([b'4', b'3'], 4),
        ([b'4', b''], 4),
        ([b'4', b'-5'], 4),
        ([b'x'], None),
    ],
)
async def test_latest_era_counts(stated, expected):
    store = Store('http://store', Eras(list(stated)), make_era())
    for _ in stated:
        await list_objects(store, 'servers')
    assert store.era['number'] == expected
