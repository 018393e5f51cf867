"""Reload of a settings file that changes while the VM runs."""

import pytest

from bluebellhub.adapters.settings_reload import (
    changed_fields,
    reload_settings,
)
from bluebellhub.settings import parse_settings

GOOD = 'vm: hub-1\nfailure_domain: rennes\nlisten: 127.0.0.1:8100\n'


@pytest.mark.parametrize(
    ('added', 'names'),
    [
        ('', []),
        ('log_level: DEBUG\n', ['log_level']),
        ('site: {grace_s: 5}\n', ['site.grace_s']),
        (
            'limits: {drain_s: 5, next_byte_s: 1}\n',
            ['limits.next_byte_s', 'limits.drain_s'],
        ),
        ('log_level: loud\n', []),
        ('vm: [\n', []),
        ('vm: ' + '[' * 5000, []),
        ('vm: \udcff\n', []),
    ],
)
def test_changed_fields_are_named(tmp_path, added, names):
    path = tmp_path / 'hub.yaml'
    path.write_bytes((GOOD + added).encode(errors='surrogateescape'))
    current = parse_settings(GOOD)
    assert changed_fields(current, reload_settings(path, current)) == names


def test_missing_file_keeps_the_settings(tmp_path):
    current = parse_settings(GOOD)
    assert reload_settings(tmp_path / 'nothing.yaml', current) == current
