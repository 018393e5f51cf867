"""The quarantine in the store, which outlives all VMs."""

from typing import NamedTuple

import httpcore
import msgspec
import pytest
import trio

from bluebellhub.adapters.proxy.object_handlers import (
    make_watcher,
    object_handlers,
)
from bluebellhub.adapters.proxy.stored_quarantine import (
    STORE_INTERVAL_S,
    run_stored_quarantine,
)
from bluebellhub.adapters.proxy.tests.scripted_upstreams import running_hub
from bluebellhub.clock import now_s
from bluebellhub.platform.quarantine_object import (
    QUARANTINE_KIND,
)
from bluebellhub.platform.store import Change, StoredEntry
from bluebellhub.platform.store_calls import Store, make_era
from bluebellhub.quarantine import (
    CrashReport,
    merge_crash_reports,
    quarantined_part,
    record_passed,
)
from bluebellhub.quarantine.quarantine import CRASHES_MIN, EVIDENCE_S

CONFLICT = 409
OK = 200


class MemoryStore(NamedTuple):
    """Connections to a store that keeps objects and records the calls."""

    objects: dict
    calls: list

    async def request(self, method, url, *, headers, content):
        self.calls.append(method)
        status = OK
        if method == 'DELETE':
            self.objects.pop(url.rpartition('/')[2], None)
        else:
            body = msgspec.json.decode(content)
            name = body['metadata']['name']
            status = CONFLICT if name in self.objects else OK
            self.objects.setdefault(name, body['spec'])
        response = httpcore.Response(status, content=b'{}')
        await response.aread()
        return response


def _watcher(hub, memory):
    store = Store('http://store', memory, make_era())
    return make_watcher(hub.proxy, store, None)


def _list(watcher, memory):
    """Apply a listing of the objects, as at the start of a VM."""
    entries = [
        StoredEntry(name, 1, spec, None)
        for name, spec in memory.objects.items()
    ]
    handler = object_handlers.find(QUARANTINE_KIND)
    handler.apply_listing(watcher, entries)


def _add_crashes(hub, age_s):
    quarantine = hub.proxy.site.scheduler.quarantine
    reports = [
        CrashReport('a/b', f'u{number}/1', age_s)
        for number in range(CRASHES_MIN)
    ]
    merge_crash_reports(quarantine, reports, now_s())


def _is_quarantined(hub):
    quarantine = hub.proxy.site.scheduler.quarantine
    return quarantined_part(quarantine, ['a/b'], now_s()) is not None


async def _store_for_a_while(watcher):
    with trio.move_on_after(STORE_INTERVAL_S * 1.5):
        await run_stored_quarantine(watcher)


@pytest.mark.parametrize('age_s', [0.0, EVIDENCE_S / 2])
async def test_quarantine_survives_the_end_of_all_vms(age_s):
    memory = MemoryStore({}, [])
    async with running_hub([(b'', 'close')]) as hub:
        watcher = _watcher(hub, memory)
        _list(watcher, memory)
        _add_crashes(hub, age_s)
        await _store_for_a_while(watcher)
    assert len(memory.objects) == 1
    async with running_hub([(b'', 'close')]) as hub:
        watcher = _watcher(hub, memory)
        _list(watcher, memory)
        assert _is_quarantined(hub)
        memory.calls.clear()
        await _store_for_a_while(watcher)
        assert not memory.calls


@pytest.mark.parametrize('ending', ['passed', 'expired'])
async def test_ended_quarantine_leaves_the_store(ending):
    memory = MemoryStore({}, [])
    async with running_hub([(b'', 'close')]) as hub:
        watcher = _watcher(hub, memory)
        _list(watcher, memory)
        _add_crashes(hub, EVIDENCE_S - STORE_INTERVAL_S / 2)
        await _store_for_a_while(watcher)
        if ending == 'passed':
            quarantine = hub.proxy.site.scheduler.quarantine
            record_passed(quarantine, ['a/b'], now_s())
        _list(watcher, memory)
        await _store_for_a_while(watcher)
        assert not _is_quarantined(hub)
    assert not memory.objects


@pytest.mark.parametrize(
    'spec',
    [None, {}, {'part': 'a/b', 'crashes': ['u1']}, {'part': 1, 'crashes': {}}],
)
async def test_malformed_entry_is_ignored(spec):
    async with running_hub([(b'', 'close')]) as hub:
        watcher = _watcher(hub, MemoryStore({}, []))
        entry = StoredEntry('x', 1, spec, None)
        handler = object_handlers.find(QUARANTINE_KIND)
        handler.apply_change(watcher, Change(entry, is_removed=False))
        assert not _is_quarantined(hub)
