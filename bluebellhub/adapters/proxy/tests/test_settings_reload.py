"""Settings files that change while the VM runs."""

import pytest

from bluebellhub.adapters.proxy.settings_reload import (
    changed_fields,
    read_again,
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
    ],
)
def test_changes_are_named(tmp_path, added, names):
    path = tmp_path / 'hub.yaml'
    path.write_text(GOOD + added)
    known = parse_settings(GOOD)
    assert changed_fields(known, read_again(path, known)) == names


def test_a_file_that_is_gone_changes_nothing(tmp_path):
    known = parse_settings(GOOD)
    assert read_again(tmp_path / 'nothing.yaml', known) == known
