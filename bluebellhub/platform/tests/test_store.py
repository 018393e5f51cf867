"""Calls of the platform's store, against a scripted transport."""

import httpx
import pytest

from bluebellhub.platform.store import Store, list_objects

PAGES = {
    None: {'items': ['a', 'b'], 'at': 7, 'more': True},
    'b': {'items': ['c'], 'at': 9},
}


def _store(pages):
    def respond(request: httpx.Request) -> httpx.Response:
        page = pages[request.url.params.get('after')]
        items = [
            {'metadata': {'name': name, 'revision': 1}, 'spec': {}}
            for name in page['items']
        ]
        return httpx.Response(200, json={**page, 'items': items})

    transport = httpx.MockTransport(respond)
    return Store(
        httpx.AsyncClient(transport=transport, base_url='http://store')
    )


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
    listing = await list_objects(_store(pages), 'servers')
    assert [entry.name for entry in listing.entries] == names
    assert listing.revision == revision
