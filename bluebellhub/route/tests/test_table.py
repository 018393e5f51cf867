"""Tests of the active configuration: routes, accounts and versions."""

import pytest

from bluebellhub.request.refusal import (
    NoUpstreamError,
    UnauthenticatedError,
    UnknownTargetError,
)
from bluebellhub.route import (
    Account,
    Route,
    Split,
    activate_table,
    active_table,
    find_account,
    find_route,
    is_retryable,
    make_active_config,
    make_table,
    request_cost,
)


def _route(name, path, host='a.example', **fields):
    return Route(name, host, path, (Split('s', 1.0),), **fields)


TABLE = make_table(
    3,
    [
        _route('short', '/a/'),
        _route('long', '/a/b/'),
        _route('other', '/a/', host='b.example'),
        _route('open', '/open/', is_public=True),
    ],
    accounts_by_key={'k1': Account('yard'), 'k2': Account('yard')},
)


@pytest.mark.parametrize(
    ('host', 'path', 'expected'),
    [
        ('a.example', '/a/x', 'short'),
        ('a.example', '/a/b/x', 'long'),
        ('a.example', '/a/bx', 'short'),
        ('A.Example', '/a/b/', 'long'),
        ('b.example', '/a/b/x', 'other'),
        ('a.example', '/a', None),
        ('a.example', '/c/', None),
        ('c.example', '/a/', None),
        ('', '/a/', None),
    ],
)
def test_longest_prefix_wins(host, path, expected):
    if expected is None:
        with pytest.raises(UnknownTargetError):
            find_route(TABLE, host, path)
    else:
        assert find_route(TABLE, host, path).name == expected


@pytest.mark.parametrize(
    ('path', 'key', 'expected'),
    [
        ('/a/', 'k1', 'yard'),
        ('/a/', 'k2', 'yard'),
        ('/a/', 'k3', UnauthenticatedError),
        ('/a/', None, UnauthenticatedError),
        ('/a/', '', UnauthenticatedError),
        ('/open/', None, None),
        ('/open/', 'k3', None),
        ('/open/', 'k1', 'yard'),
    ],
)
def test_key_selects_account(path, key, expected):
    route = find_route(TABLE, 'a.example', path)
    if expected is UnauthenticatedError:
        with pytest.raises(UnauthenticatedError):
            find_account(TABLE, route, key)
    else:
        account = find_account(TABLE, route, key)
        assert getattr(account, 'name', None) == expected


@pytest.mark.parametrize(
    ('versions', 'adopted', 'last'),
    [
        ([3], [True], 3),
        ([3, 7], [True, True], 7),
        ([7, 3], [True, False], 7),
        ([7, 7], [True, False], 7),
        ([7, 3, 8], [True, False, True], 8),
    ],
)
def test_older_table_is_not_activated(versions, adopted, last):
    active_config = make_active_config()
    results = [
        activate_table(active_config, make_table(version, []))
        for version in versions
    ]
    assert results == adopted
    assert active_table(active_config).version == last


def test_missing_configuration_means_not_executed():
    with pytest.raises(NoUpstreamError) as caught:
        active_table(make_active_config())
    assert caught.value.run == 'no'
    assert caught.value.status == 503


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        ({'repeat': 'idempotent'}, True),
        ({'repeat': 'once'}, False),
        ({'is_stream': True}, False),
        ({'is_stream': True, 'is_resumable': True}, True),
        ({'is_stream': True, 'repeat': 'idempotent'}, False),
    ],
)
def test_idempotent_and_resumable_routes_are_retryable(fields, expected):
    assert is_retryable(_route('r', '/', **fields)) is expected


@pytest.mark.parametrize(
    ('fields', 'tokens', 'cost'),
    [
        ({}, 500, 1.0),
        ({'counts_tokens': True, 'default_tokens': 200}, 500, 500.0),
        ({'counts_tokens': True, 'default_tokens': 200}, None, 200.0),
        ({'counts_tokens': True, 'default_tokens': 200}, 0, 0.0),
    ],
)
def test_request_cost_in_unit_of_limit(fields, tokens, cost):
    assert request_cost(Account('yard', **fields), tokens) == cost
