"""Validation of settings and objects; duplicate names in registries."""

import pytest

from bluebellhub.configuration.kinds import check_object
from bluebellhub.errors import DuplicateEntryError, HubError, SettingsError
from bluebellhub.registry import make_registry
from bluebellhub.settings import load_settings, parse_settings

GOOD = 'vm: hub-1\nfailure_domain: rennes\nlisten: 127.0.0.1:8100\n'
DIGEST = 'a' * 64
CONTRACT = {'key_sha256': DIGEST, 'tiers': ['check']}
UPSTREAM = {
    'address': '10.0.0.1:80',
    'targets': ['m'],
    'failure_domain': 'd',
}


def test_valid_settings_get_defaults():
    settings = parse_settings(GOOD)
    assert settings.limits.drain_s == 60.0
    assert settings.platform is None


@pytest.mark.parametrize(
    ('text', 'named'),
    [
        ('', 'settings: got None'),
        ('- a', 'a mapping of fields'),
        ('vm: [', 'file: got'),
        ('vm: hub-1\n', 'settings.failure_domain: got None'),
        (f'{GOOD}colour: red\n', 'settings.colour'),
        (f'{GOOD}platform: example.org:80\n', 'settings.platform'),
        (f'{GOOD}platform: 10.0.0.1\n', 'settings.platform'),
        (f'{GOOD}platform: 10.0.0.1:99999\n', 'settings.platform'),
        (f'{GOOD}limits: {{drain_s: soon}}\n', 'settings.limits.drain_s'),
        (f'{GOOD}limits: {{drain_s: -1}}\n', 'settings.limits.drain_s'),
        (f'{GOOD}log_level: loud\n', 'expected one of: DEBUG, INFO'),
        (f'{GOOD}policy: nosuch\n', 'expected one of: least_outstanding'),
        (f'{GOOD}limits: {{drain_s: soon}}\n', "got 'soon', expected `float`"),
        (f'{GOOD}site: {{store: nowhere}}\n', 'settings.site.store'),
        (f'{GOOD}site: {{grace_s: 0}}\n', 'settings.site.grace_s'),
        (f'{GOOD}site: {{store: 10.0.0.1:1}}\n', 'settings.site.ready_listen'),
        (
            f'{GOOD}site: {{store: 10.0.0.1:1, ready_listen: 10.0.0.1:2}}\n',
            'settings.peer_listen',
        ),
        (f'{GOOD}limits: {{drain_ms: 1}}\n', 'settings.limits.drain_ms'),
        (f'{GOOD}peers: [{{name: a}}]\n', 'settings.peers[0].address'),
        (
            f'{GOOD}peers: [{{name: a, address: b}}]\n',
            'settings.peers[0].address',
        ),
    ],
)
def test_invalid_settings_name_the_field(text, named):
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    assert named in str(caught.value)
    assert 'expected' in str(caught.value)


def test_error_names_a_missing_file(tmp_path):
    with pytest.raises(SettingsError, match='nothing.yaml'):
        load_settings(tmp_path / 'nothing.yaml')


@pytest.mark.parametrize(
    ('kind', 'name', 'fields', 'named'),
    [
        ('contract', 'yard', CONTRACT, None),
        ('contract', 'a.b', CONTRACT, 'dot'),
        ('contract', 'yard', {**CONTRACT, 'tiers': ['gold']}, 'gold'),
        ('contract', 'yard', {**CONTRACT, 'tiers': []}, 'contract.tiers'),
        ('contract', 'yard', {**CONTRACT, 'key_sha256': 'x'}, 'key_sha256'),
        ('contract', 'yard', {**CONTRACT, 'rate_per_s': 0}, 'rate_per_s'),
        ('upstream', 'u', UPSTREAM, None),
        ('upstream', 'u', {**UPSTREAM, 'address': 'host:1'}, 'address'),
        ('upstream', 'u', {**UPSTREAM, 'cold_window': 99}, 'cold_window'),
        ('upstream', 'u', {**UPSTREAM, 'kind': 'x'}, 'upstream.kind'),
        ('failure_domain', 'd', {'state': 'out'}, None),
        ('failure_domain', 'd', {'state': 'away'}, 'failure_domain.state'),
        (
            'version_move',
            'm',
            {'from_version': '1', 'to_version': '1', 'due_at': 1},
            'both versions',
        ),
        ('colour', 'red', {}, 'object kind'),
    ],
)
def test_objects_are_validated(kind, name, fields, named):
    if named is None:
        assert check_object(kind, name, fields) is not None
        return
    with pytest.raises(HubError, match=named):
        check_object(kind, name, fields)


def test_registry_rejects_a_duplicate_name():
    registry = make_registry('thing')
    registry.register('a')(1)
    with pytest.raises(DuplicateEntryError, match="thing 'a'"):
        registry.register('a')(2)
