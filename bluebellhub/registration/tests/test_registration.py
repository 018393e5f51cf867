"""Registrations: lifetimes, removals and outages of the store."""

import pytest

from bluebellhub.registration import (
    Registration,
    drop_overdue,
    forget,
    make_roster,
    note_outage,
    register,
    replace_all,
)


def _entry(name='u1', born_ms=5, state='ready', **fields):
    given = {
        'service': 's',
        'address': '10.0.0.1:1',
        'failure_domain': 'd',
        'version': 'v1',
        'slots': 4,
        **fields,
    }
    return Registration(name, state=state, born_ms=born_ms, **given)


@pytest.mark.parametrize(
    ('second', 'changed', 'kept'),
    [
        (_entry(), False, _entry()),
        (_entry(state='draining'), True, _entry(state='draining')),
        (_entry(born_ms=9), True, _entry(born_ms=9)),
        (_entry(born_ms=1), False, _entry()),
        (_entry(address='10.0.0.2:1'), True, _entry(address='10.0.0.2:1')),
    ],
)
def test_a_later_lifetime_replaces_an_earlier_one(second, changed, kept):
    roster = make_roster()
    assert register(roster, _entry())
    assert register(roster, second) is changed
    assert roster.entries['u1'] == kept


@pytest.mark.parametrize(
    ('state', 'outage', 'removed_at_s', 'gone'),
    [
        ('ready', None, 10.0, True),
        ('draining', None, 10.0, True),
        ('ready', (8.0, None), 10.0, False),
        ('ready', (8.0, 9.0), 10.0, False),
        ('ready', (5.0, 7.0), 10.0, True),
        ('draining', (8.0, 9.0), 10.0, True),
    ],
)
def test_a_removal_around_an_outage_waits(state, outage, removed_at_s, gone):
    roster = make_roster()
    register(roster, _entry(state=state))
    if outage is not None:
        began_s, ended_s = outage
        note_outage(roster, began_s, is_on=True)
        if ended_s is not None:
            note_outage(roster, ended_s, is_on=False)
    assert forget(roster, 'u1', removed_at_s) is gone
    assert ('u1' in roster.entries) is not gone


@pytest.mark.parametrize(
    ('checked_at_s', 'returns', 'gone'),
    [
        (11.9, False, []),
        (12.1, False, ['u1']),
        (12.1, True, []),
    ],
)
def test_two_seconds_after_the_outage_what_is_missing_is_gone(
    checked_at_s, returns, gone
):
    roster = make_roster()
    register(roster, _entry())
    note_outage(roster, 4.0, is_on=True)
    note_outage(roster, 10.0, is_on=False)
    assert replace_all(roster, [], 10.0) == []
    if returns:
        register(roster, _entry())
    assert drop_overdue(roster, checked_at_s) == gone
    assert ('u1' in roster.entries) is not bool(gone)


def test_nothing_is_dropped_while_the_store_is_away():
    roster = make_roster()
    register(roster, _entry())
    note_outage(roster, 1.0, is_on=True)
    assert not forget(roster, 'u1', 2.0)
    assert drop_overdue(roster, 60.0) == []


@pytest.mark.parametrize(
    ('listed', 'gone'),
    [
        ([], ['u1', 'u2']),
        ([_entry('u1')], ['u2']),
        ([_entry('u1'), _entry('u2')], []),
        ([_entry('u3')], ['u1', 'u2']),
    ],
)
def test_a_listing_replaces_what_was_known(listed, gone):
    roster = make_roster()
    register(roster, _entry('u1'))
    register(roster, _entry('u2'))
    assert replace_all(roster, listed, 50.0) == gone
    assert sorted(roster.entries) == sorted(entry.name for entry in listed)
