"""Decoding of the store's objects; those not valid are rejected."""

import pytest

from bluebellhub.errors import ObjectError
from bluebellhub.platform.object_codec import (
    read_registration,
    read_table,
    read_vm,
    vm_spec,
)
from bluebellhub.platform.store import StoredEntry
from bluebellhub.registration import Registration
from bluebellhub.route import CallerLimits, Split
from bluebellhub.site.vm_location import VmLocation

SERVER = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'rennes',
    'version': 'v1',
    'slots': 12,
    'state': 'ready',
    'coldRemainingMs': 1500,
    'seq': 4,
    'born': 7,
}
ROUTE = {
    'name': 'r',
    'host': 'a.example',
    'pathPrefix': '/a/',
    'kind': 'streaming',
    'timeoutMs': 12000,
    'targetLatencyMs': 400,
    'targetGapMs': 300,
    'priority': 1,
    'service': 's',
    'maxAttempts': 2,
    'resumable': True,
}
CONFIG = {
    'version': 7,
    'routes': [ROUTE],
    'services': [
        {
            'name': 's',
            'coldStartS': 3.0,
            'coldPerS': 16.0,
            'engine': {'stride': 6, 'slots': 12},
        },
        {'name': 't'},
    ],
    'limits': {
        'maxHeaderBytes': 1000,
        'maxBodyBytes': 2000,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
    'tenants': [
        {
            'name': 'yard',
            'apiKeys': ['k1', 'k2'],
            'priority': 1,
            'unit': 'tokens',
            'uncachedTokens': 200,
            'ratePerS': 100,
            'burst': 50,
        },
    ],
}


def test_registration_is_decoded():
    assert read_registration(StoredEntry('i-1', 3, SERVER)) == Registration(
        'i-1', 's', '10.0.0.1:80', 'rennes', 'v1', 12, 'ready', 1.5, 7
    )


@pytest.mark.parametrize(
    'spec',
    [
        None,
        'bytes',
        {},
        {**SERVER, 'slots': 'many'},
        {**SERVER, 'slots': 0},
        {**SERVER, 'state': 'sleeping'},
        {**SERVER, 'address': None},
        {name: field for name, field in SERVER.items() if name != 'zone'},
    ],
)
def test_invalid_registration_is_rejected(spec):
    with pytest.raises(ObjectError):
        read_registration(StoredEntry('i-1', 3, spec))


def test_configuration_is_decoded():
    table = read_table(CONFIG)
    route = table.by_host['a.example'][0]
    assert route.splits == (Split('s', 1.0),)
    assert (route.timeout_s, route.objective_s, route.gap_s) == (12, 0.4, 0.3)
    assert (route.rank, route.attempts_max) == (1, 2)
    assert route.is_stream and route.is_resumable
    assert table.services['s'].tokens_per_event == 6
    assert table.services['s'].cold_per_s == 16
    assert table.services['t'].tokens_per_event == 0
    assert table.limits == CallerLimits(1000, 2000, 3.0, 15.0)
    assert table.accounts_by_key['k1'] == table.accounts_by_key['k2']
    assert table.accounts_by_key['k1'].burst == 50


SCALING = {'minReplicas': 20, 'maxReplicas': 47, 'bootS': 8.0}


@pytest.mark.parametrize(
    ('scaling', 'field'),
    [
        (SCALING, None),
        ({**SCALING, 'minReplicas': 47}, None),
        (None, None),
        ({}, 'minReplicas'),
        ({'minReplicas': 1, 'bootS': 8.0}, 'maxReplicas'),
        ({**SCALING, 'minReplicas': -1}, 'minReplicas'),
        ({**SCALING, 'minReplicas': True}, 'minReplicas'),
        ({**SCALING, 'maxReplicas': 19}, 'maxReplicas'),
        ({**SCALING, 'maxReplicas': 10**12}, 'maxReplicas'),
        ({**SCALING, 'bootS': -0.1}, 'bootS'),
        ({**SCALING, 'bootS': 'soon'}, 'bootS'),
        ({**SCALING, 'bootS': float('nan')}, 'bootS'),
        ('many', ''),
    ],
)
def test_bounds_that_are_not_valid_leave_the_rest_in_force(scaling, field):
    """The error names the field, and the service is not scaled."""
    services = [{'name': 's', 'scaling': scaling}, {'name': 't'}]
    table = read_table({**CONFIG, 'services': services})
    assert set(table.services) == {'s', 't'}
    problems = [problem.field for problem in table.problems]
    path = 'services[s].scaling'
    if field is None:
        assert problems == []
        assert (table.services['s'].scaling is None) == (scaling is None)
    else:
        assert problems == [f'{path}.{field}'.rstrip('.')]
        assert table.services['s'].scaling is None


@pytest.mark.parametrize(
    ('fields', 'needs_key'),
    [({}, True), ({'tenants': []}, True), ({'tenants': None}, False)],
)
def test_keys_are_required_if_accounts_are_configured(fields, needs_key):
    assert read_table({**CONFIG, **fields}).needs_key is needs_key


@pytest.mark.parametrize(
    ('split', 'expected'),
    [
        ([('s', 90), ('t', 10)], (Split('s', 90.0), Split('t', 10.0))),
        ([('s', 100), ('t', 0)], (Split('s', 100.0),)),
    ],
)
def test_traffic_split_is_decoded(split, expected):
    parts = [{'service': name, 'weight': weight} for name, weight in split]
    route = {**ROUTE, 'trafficSplit': parts}
    route.pop('service')
    table = read_table({**CONFIG, 'routes': [route]})
    assert table.by_host['a.example'][0].splits == expected


@pytest.mark.parametrize(
    'spec',
    [
        None,
        {},
        {**CONFIG, 'version': 'new'},
        {**CONFIG, 'routes': [{**ROUTE, 'kind': 'odd'}]},
        {**CONFIG, 'routes': [{**ROUTE, 'timeoutMs': None}]},
    ],
)
def test_invalid_configuration_is_rejected(spec):
    with pytest.raises(ObjectError):
        read_table(spec)


@pytest.mark.parametrize('spec', [None, {}, {'address': 5}])
def test_invalid_vm_is_rejected(spec):
    with pytest.raises(ObjectError):
        read_vm(StoredEntry('vm', 1, spec))


def test_vm_is_decoded_with_or_without_failure_domain():
    location = VmLocation('10.0.0.1:7600', 'd')
    assert read_vm(StoredEntry('vm', 1, vm_spec(location))) == location
    without_domain = StoredEntry('vm', 1, {'address': '10.0.0.1:7600'})
    assert read_vm(without_domain) == VmLocation('10.0.0.1:7600')


@pytest.mark.parametrize(
    ('announced', 'expected'),
    [
        ({}, 1),
        ({'forward_address': ''}, 1),
        ({'forward_address': '10.0.0.1:7615'}, 2),
        ({'forward_address': '', 'message_version': 2}, 2),
        ({'message_version': 3, 'more': [1]}, 3),
    ],
)
def test_version_that_a_vm_reads_follows_from_its_entry(announced, expected):
    spec = {'address': '10.0.0.1:7600', **announced}
    assert read_vm(StoredEntry('vm', 1, spec)).message_version == expected
