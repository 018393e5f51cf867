"""Entries among the registrations that another writer left."""

from contextlib import asynccontextmanager

import httpcore
import msgspec
import pytest
import trio

from bluebellhub.adapters.proxy.object_handlers import make_watcher
from bluebellhub.adapters.proxy.store_watch import watch_store
from bluebellhub.adapters.proxy.tests.scripted_upstreams import (
    running_hub,
    send_and_receive,
)
from bluebellhub.platform.object_codec import UPSTREAM_KIND
from bluebellhub.platform.store_calls import Store, make_era
from bluebellhub.platform.tests.wire import REGISTRATION, request

LIMIT_S = 3.0
SOUND = msgspec.json.encode(REGISTRATION)


def _changed(name, field):
    """Return a sound entry with another value of a field."""
    start, _, rest = SOUND.partition(b'"%s":' % name)
    return start + b'"%s":%s,' % (name, field) + rest.partition(b',')[2]


ODD = {
    'deep': b'[' * 20_000 + b']' * 20_000,
    'deep_field': b'{"service":' + b'{"a":' * 990 + b'1' + b'}' * 990 + b'}',
    'brackets_in_text': b'"' + b'[{' * 5_000 + rb'\"' + b'"',
    'large_number': _changed(b'slots', b'1e999'),
    'large_slots': _changed(b'slots', b'9' * 400),
    'large_port': _changed(b'address', b'"10.0.0.1:99999"'),
    'negative_port': _changed(b'address', b'"10.0.0.1:-1"'),
    'no_address': _changed(b'address', b'"::::"'),
    'name_as_address': _changed(b'address', b'"host:80"'),
    'other_state': _changed(b'state', b'"waiting"'),
    'no_object': b'7',
    'nothing': b'null',
}


def _object(name, spec):
    return (
        b'{"metadata":{"name":"%s","revision":2},"status":null,"spec":%s}'
        % (name, spec)
    )


class OddStore:
    """Connections to a store with an odd entry, listed or in a change."""

    def __init__(self, listed, changed):
        self.pages = [
            b'{"items":[%s],"at":2}' % b','.join(listed),
            b'{"events":[%s],"at":3}'
            % b','.join(b'{"object":%s}' % found for found in changed),
        ]

    async def request(self, method, url, *, headers, content):
        if not self.pages:
            await trio.sleep_forever()
        response = httpcore.Response(200, content=self.pages.pop(0))
        await response.aread()
        return response


@asynccontextmanager
async def _watching_vm(store):
    async with running_hub(repeat='idempotent') as hub:
        client = Store('http://store', store, make_era())
        watcher = make_watcher(hub.proxy, client, None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_store, watcher, UPSTREAM_KIND)
            yield hub
            nursery.cancel_scope.cancel()


@pytest.mark.parametrize('odd', ODD.values(), ids=ODD)
@pytest.mark.parametrize('is_listed', [True, False])
async def test_odd_entry_hides_no_sound_one_and_ends_no_vm(odd, is_listed):
    entries = [
        _object(b'a', SOUND),
        _object(b'odd', odd),
        _object(b'z', SOUND),
    ]
    pages = (entries, []) if is_listed else ([], entries)
    async with _watching_vm(OddStore(*pages)) as hub:
        upstreams = hub.proxy.site.scheduler.upstreams
        with trio.fail_after(LIMIT_S):
            while 'z' not in upstreams:
                await trio.sleep(0.01)
        assert sorted(upstreams) == ['a', 'z']


@pytest.mark.parametrize('port', [b'99999', b'-1', b'0'])
async def test_address_that_cannot_be_used_ends_no_vm(port):
    entry = _object(b'odd', _changed(b'address', b'"127.0.0.1:%s"' % port))
    async with _watching_vm(OddStore([entry], [])) as hub:
        await trio.sleep(0.1)
        response = await send_and_receive(
            hub, request(method=b'GET', headers=b'Connection: close\r\n')
        )
    assert response.startswith(b'HTTP/1.1 503 ')
