"""The duty object in the store."""

import pytest

from bluebellhub.adapters.proxy.tests.restorable_store import (
    make_client,
    make_restorable_store,
    write_object,
)
from bluebellhub.duty import DutyEntry, FoundEntry, UsageOrder
from bluebellhub.platform.duty_object import (
    UNREADABLE,
    DutyWritten,
    read_duty,
    write_duty,
)

ENTRY = DutyEntry(
    'hub-1', 7, 2**20 + 1, 3, False, (UsageOrder(5, {'a': 1}),), ('hub-2',)
)


async def test_written_object_is_read():
    """A next holder must find what the holder wrote."""
    store = make_client(make_restorable_store())
    assert await read_duty(store) == FoundEntry(None, 0, 1)
    written = await write_duty(store, ENTRY, 0)
    assert written == DutyWritten(False, await read_duty(store))
    assert written.found.entry == ENTRY


@pytest.mark.parametrize('revision', [0, 1])
async def test_conflict_returns_the_object(revision):
    """A write must not replace another VM's, and tells whose that is."""
    memory = make_restorable_store()
    store = make_client(memory)
    await write_duty(store, ENTRY, 0)
    other = ENTRY._replace(holder='hub-2')
    written = await write_duty(store, other, revision)
    assert written == DutyWritten(True, await read_duty(store))
    assert written.found.entry == ENTRY


async def test_renewal_changes_the_revision():
    """The store keeps the revision of an object that is written unchanged."""
    store = make_client(make_restorable_store())
    first = (await write_duty(store, ENTRY, 0)).found
    renewed = ENTRY._replace(sequence=ENTRY.sequence + 1)
    second = (await write_duty(store, renewed, first.revision)).found
    assert second.revision > first.revision


@pytest.mark.parametrize(
    'spec', [None, {}, {'holder': 3}, {'holder': 'x', 'token': -1}]
)
async def test_malformed_object_names_no_holder(spec):
    """An object that cannot be read must not stop the duties for good."""
    memory = make_restorable_store()
    write_object(memory, 'hub-duties/platform', spec)
    found = await read_duty(make_client(memory))
    assert found.entry == UNREADABLE
    assert found.revision
