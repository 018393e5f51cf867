"""A store that comes back from a copy some seconds old."""

from collections import Counter
from contextlib import asynccontextmanager
from functools import partial

import pytest
import trio

from bluebellhub.adapters.peer_link import close_link, make_peer_link
from bluebellhub.adapters.proxy.moves import run_moves
from bluebellhub.adapters.proxy.object_handlers import make_watcher
from bluebellhub.adapters.proxy.store_watch import (
    expire_objects,
    watch_store,
)
from bluebellhub.adapters.proxy.tests.restorable_store import (
    copy_of,
    make_client,
    make_restorable_store,
    remove_object,
    restore,
    set_away,
    write_object,
)
from bluebellhub.adapters.proxy.tests.scripted_upstreams import running_hub
from bluebellhub.adapters.proxy.vm_announcement import keep_announcing
from bluebellhub.platform.object_codec import (
    CONFIG_KIND,
    EVACUATION_KIND,
    MOVE_KIND,
    UPSTREAM_KIND,
    VM_KIND,
)
from bluebellhub.platform.tests.wire import REGISTRATION
from bluebellhub.retention import retention
from bluebellhub.settings import Settings

LIMIT_S = 3.0
PEER_ADDRESS = '127.0.0.1:0'
SETTINGS = Settings('hub-1', 'd', '127.0.0.1:1', peer_listen='10.0.0.9:7600')
DRAINING = {**REGISTRATION, 'state': 'draining'}


def _config(version):
    return {'version': version, 'routes': [], 'services': []}


def _has_version(site):
    return site.active_config['table'].version == 30


def _is_evacuated(site):
    return 'd' in site.scheduler.domains_out


def _is_draining(site):
    upstream = site.scheduler.upstreams.get('u9')
    return upstream is not None and upstream.spec.leaving


async def _holds(condition, for_s):
    """Assert that a condition holds all the time."""
    with trio.move_on_after(for_s):
        while True:
            assert condition()
            await trio.sleep(0.01)


CHANGES = {
    CONFIG_KIND: ('config/main', _config(20), _config(30), _has_version),
    EVACUATION_KIND: ('evacuations/other', {}, {}, _is_evacuated),
    UPSTREAM_KIND: ('servers/u9', REGISTRATION, DRAINING, _is_draining),
}
WRITTEN_TO = {EVACUATION_KIND: 'evacuations/d'}


@asynccontextmanager
async def _watching_vm(store, *kinds):
    """Run a VM that watches these kinds, once it has listed them."""
    async with running_hub() as hub:
        site = hub.proxy.site
        site.flags['unread_kinds'].update(kinds)
        link = make_peer_link('hub-1', PEER_ADDRESS, Counter())
        watcher = make_watcher(hub.proxy, make_client(store), link)
        try:
            async with trio.open_nursery() as nursery:
                for kind in kinds:
                    nursery.start_soon(watch_store, watcher, kind)
                nursery.start_soon(expire_objects, watcher)
                await _until(lambda: not site.flags['unread_kinds'])
                yield watcher
                nursery.cancel_scope.cancel()
        finally:
            close_link(link)


async def _until(condition):
    with trio.fail_after(LIMIT_S):
        while not condition():
            await trio.sleep(0.01)


@pytest.mark.parametrize('writes_after', [0, 4])
@pytest.mark.parametrize('kind', CHANGES)
async def test_change_is_not_missed_after_a_restore(kind, writes_after):
    """The store has given out the revision again that the VM watches from."""
    path, before, after, is_applied = CHANGES[kind]
    store = make_restorable_store()
    write_object(store, path, before)
    copy = copy_of(store)
    for _ in range(3):
        write_object(store, 'other/x', {})
    async with _watching_vm(store, kind) as watcher:
        set_away(store, is_away=True)
        await trio.sleep(0.1)
        restore(store, copy)
        write_object(store, WRITTEN_TO.get(kind, path), after)
        for _ in range(writes_after):
            write_object(store, 'other/x', {})
        await _until(partial(is_applied, watcher.proxy.site))


async def test_vm_is_known_again_after_a_restore_without_its_address():
    """All requests are refused while the list of VMs is empty."""
    store = make_restorable_store()
    copy = copy_of(store)
    async with _watching_vm(store, VM_KIND) as watcher:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                partial(keep_announcing, watcher, SETTINGS, announced=False)
            )
            await _until(lambda: 'hub-1' in watcher.proxy.site.vms)
            set_away(store, is_away=True)
            await trio.sleep(0.1)
            restore(store, copy)
            await _until(lambda: 'hub-vms/hub-1' in store.state['objects'])
            await _until(lambda: 'hub-1' in watcher.proxy.site.vms)
            nursery.cancel_scope.cancel()


def _drain(store):
    write_object(store, 'servers/u9', DRAINING)


def _remove(store):
    remove_object(store, 'servers/u9')


def _may_be_used(site):
    upstream = site.scheduler.upstreams.get('u9')
    return upstream is not None and not upstream.spec.leaving


@pytest.mark.parametrize('leaves', [_drain, _remove])
async def test_upstream_that_left_is_not_used_after_a_restore(leaves):
    """The copy has it as ready."""
    store = make_restorable_store()
    write_object(store, 'servers/u9', REGISTRATION)
    copy = copy_of(store)
    async with _watching_vm(store, UPSTREAM_KIND) as watcher:
        site = watcher.proxy.site
        await _until(lambda: _may_be_used(site))
        leaves(store)
        await _until(lambda: not _may_be_used(site))
        restore(store, copy)
        await _until(lambda: watcher.store.era['number'] == 2)
        await _holds(lambda: not _may_be_used(site), 0.5)


async def test_upstream_that_the_copy_lacks_has_time_to_register_again():
    store = make_restorable_store()
    copy = copy_of(store)
    async with _watching_vm(store, UPSTREAM_KIND) as watcher:
        site = watcher.proxy.site
        write_object(store, 'servers/u9', REGISTRATION)
        await _until(lambda: _may_be_used(site))
        restore(store, copy)
        await _until(lambda: watcher.store.era['number'] == 2)
        await _holds(lambda: _may_be_used(site), 0.5)


def _has_vm(site):
    return 'hub-2' in site.vms


def _moves(site):
    return 's' in site.moves


LOST = {
    EVACUATION_KIND: ('evacuations/d', {}, _is_evacuated),
    VM_KIND: ('hub-vms/hub-2', {'address': '10.0.0.8:7600'}, _has_vm),
    MOVE_KIND: (
        'rollouts/s',
        {'service': 's', 'target': 'v2', 'durationS': 60},
        _moves,
    ),
}


def _is_in_era(watcher, era):
    return watcher.store.era['number'] == era


@asynccontextmanager
async def _vm_after_restore_without(kind, store):
    """Run a VM that has read an object; then the store loses it twice."""
    path, spec, counts = LOST[kind]
    copy = copy_of(store)
    async with _watching_vm(store, kind) as watcher:
        site = watcher.proxy.site
        write_object(store, path, spec)
        await _until(lambda: counts(site))
        for era in (2, 3):
            restore(store, copy)
            await _until(partial(_is_in_era, watcher, era))
            await _holds(partial(counts, site), 0.3)
        yield partial(counts, site)


@pytest.mark.parametrize('kind', LOST)
async def test_object_that_the_copy_lacks_counts_for_a_while(kind, monkeypatch):
    monkeypatch.setattr(retention, 'RETENTION_S', 1.0)
    store = make_restorable_store()
    async with _vm_after_restore_without(kind, store) as counts:
        await _until(lambda: not counts())


@pytest.mark.parametrize('kind', LOST)
async def test_object_written_again_counts_until_it_is_removed(
    kind, monkeypatch
):
    monkeypatch.setattr(retention, 'RETENTION_S', 1.0)
    store = make_restorable_store()
    path, spec, _ = LOST[kind]
    async with _vm_after_restore_without(kind, store) as counts:
        write_object(store, path, spec)
        await _holds(counts, 1.0)
        remove_object(store, path)
        await _until(lambda: not counts())


MOVE_SPEC = {'service': 's', 'target': 'v2', 'durationS': 60}


@asynccontextmanager
async def _moving_vm(store, state):
    """Run a VM that leads a move and has written its state."""
    async with _watching_vm(store, MOVE_KIND) as watcher:
        site = watcher.proxy.site
        await _until(lambda: _moves(site))
        _decide(site, state)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_moves, watcher.proxy, watcher.store)
            await _until(lambda: _stored_state(store) == state)
            yield site
            nursery.cancel_scope.cancel()


@pytest.mark.parametrize('state', ['running', 'succeeded', 'rolled_back'])
async def test_state_of_a_move_is_written_again_after_a_restore(state):
    store = make_restorable_store()
    write_object(store, 'rollouts/s', MOVE_SPEC)
    copy = copy_of(store)
    async with _moving_vm(store, state) as site:
        await trio.sleep(0.1)
        _forget_decision(site)
        set_away(store, is_away=True)
        await trio.sleep(0.1)
        restore(store, copy)
        assert _stored_state(store) is None
        await _until(lambda: _stored_state(store) == state)


def _decide(site, state):
    """Let the move be at its end, with the new version good or bad."""
    gate = site.scheduler.moves['s']
    site.scheduler.moves['s'] = gate._replace(bad=state == 'rolled_back')
    if state == 'succeeded':
        site.moves['s'] = site.moves['s']._replace(full_since_s=-100.0)


def _forget_decision(site):
    """Let another VM have led: this one knows only the stored state."""
    site.moves['s'] = site.moves['s']._replace(full_since_s=None)


def _stored_state(store):
    status = store.state['objects']['rollouts/s'].get('status')
    return status and status['state']
