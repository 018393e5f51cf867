"""The deployed settings template on deployments that leave fields out.

Guards against a daemon that does not start where a deployment has no such
limit: its fields are then rendered empty.
"""

import json
import re
import tomllib
from pathlib import Path
from typing import Any, Final

import pytest

from bluebellhub.errors import SettingsError
from bluebellhub.settings import (
    DUTY_VARIABLE,
    Settings,
    parse_settings,
)

DEPLOY: Final = Path(__file__).parents[2] / 'deploy'
TEMPLATE: Final = (DEPLOY / 'settings.yaml').read_text(encoding='utf-8')
ROLE: Final = tomllib.loads((DEPLOY / 'system.toml').read_text())['roles'][
    'hub'
]
PLACEHOLDER: Final = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')
COMPLETE: Final[dict[str, Any]] = {
    'nodeName': 'front-rennes-1',
    'ip': '10.1.0.35',
    'zone': 'rennes',
    'listen': {'front': '10.1.0.35:8783', 'readiness': '10.1.0.35:8780'},
    'internalPorts': [7400, 7415],
    'bounds': {
        'graceS': 8,
        'quotaWindowS': 8,
        'quotaOverage': 0.1,
        'quotaSlack': 140000,
        'budgetWindowS': 10,
        'retryBudgetRatio': 0.2,
        'retryBudgetSlack': 192,
        'coldOverage': 1.5,
        'coldSlack': 5,
        'fencingEnforced': True,
        'leaseMs': 3000,
        'thawSlackMs': 300,
        'reportWindowS': 5,
        'usageLateS': 10,
        'usageOff': 0.05,
    },
    'platform': {'address': '10.200.1.7:8781'},
    'cloud': {
        'address': '10.200.0.28:8781',
        'duties': ['usage_report', 'autoscale'],
        'dutyPerS': 50.0,
    },
}
REQUIRED: Final = (
    'nodeName',
    'zone',
    'ip',
    'listen.front',
    'listen.readiness',
    'internalPorts',
    'cloud.address',
)


def start(fields: dict[str, Any]) -> Settings:
    """Return the settings of a daemon that the platform starts."""
    duty = render(ROLE['env'][DUTY_VARIABLE], fields)
    return parse_settings(render(TEMPLATE, fields), duty)


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders of a text as the platform does."""

    def fill(match: re.Match[str]) -> str:
        found: Any = fields
        for step in match[1].split('.'):
            if isinstance(found, list):
                found = dict(enumerate(found)).get(int(step))
            else:
                found = (found or {}).get(step)
        if found is None:
            return ''
        if match[2] or isinstance(found, bool):
            return json.dumps(found)
        if isinstance(found, list):
            return ','.join(map(str, found))
        return str(found)

    return PLACEHOLDER.sub(fill, template)


def without(*paths: str) -> dict[str, Any]:
    """Return the complete fields without some of them."""
    fields = json.loads(json.dumps(COMPLETE))
    for path in paths:
        section, _, name = path.partition('.')
        if name:
            fields[section].pop(name)
        else:
            fields.pop(section)
    return fields


def leaves() -> list[str]:
    """Return the paths of all fields."""
    paths = []
    for section, part in COMPLETE.items():
        names = part if isinstance(part, dict) else ['']
        paths.extend(f'{section}.{name}'.rstrip('.') for name in names)
    return paths


OPTIONAL: Final = [path for path in leaves() if path not in REQUIRED]


@pytest.mark.parametrize('path', OPTIONAL)
def test_a_daemon_starts_without_an_optional_field(path):
    assert start(without(path)).vm == 'front-rennes-1'


@pytest.mark.parametrize(
    ('ports', 'expected'),
    [([7400, 7415], '10.1.0.35:7415'), ([7400], '')],
)
def test_forwarding_is_off_without_a_port_of_its_own(ports, expected):
    """A daemon that needed only one port did not start."""
    fields = without()
    fields['internalPorts'] = ports
    assert start(fields).site.forward_listen == expected


@pytest.mark.parametrize('path', [name for name in REQUIRED if name != 'ip'])
def test_a_required_field_is_named_when_it_is_missing(path):
    fields = without(path)
    if path == 'internalPorts':
        fields['internalPorts'] = ['']
    with pytest.raises(SettingsError) as caught:
        start(fields)
    assert 'settings' in str(caught.value)


@pytest.mark.parametrize(
    ('missing', 'field', 'expected'),
    [
        (['bounds'], 'retry_ratio', None),
        (['bounds'], 'cold_overage', 1.0),
        (['bounds'], 'quota_slack', 0.0),
        (['bounds'], 'grace_s', 8.0),
        (['cloud'], 'duty.duties', ''),
        (['cloud', 'bounds'], 'duty.lease_ms', 3000.0),
        ([], 'duty.duties', 'usage_report,autoscale'),
        ([], 'duty.fencing_enforced', True),
        ([], 'retry_ratio', 0.2),
    ],
)
def test_absent_sections_mean_no_such_limit(missing, field, expected):
    found: Any = start(without(*missing)).site
    for step in field.split('.'):
        found = getattr(found, step)
    assert found == expected


@pytest.mark.parametrize(
    ('path', 'wrong', 'named'),
    [
        ('bounds.reportWindowS', -5, 'usage_window_s'),
        ('bounds.leaseMs', 0, 'lease_ms'),
        ('cloud.address', 'nowhere', 'settings.site.duty.cloud'),
        ('bounds.retryBudgetRatio', -0.1, 'retry_ratio'),
    ],
)
def test_a_wrong_bound_is_named(path, wrong, named):
    fields = without()
    section, _, name = path.partition('.')
    fields[section][name] = wrong
    with pytest.raises(SettingsError, match=named):
        start(fields)


STRICT_SECTIONS: Final = ('bounds', 'platform', 'listen', 'internalPorts')


def test_template_names_no_section_that_a_deployment_may_lack():
    """A renderer that refuses an absent field could not start the daemon."""
    sections = {
        match[1].partition('.')[0] for match in PLACEHOLDER.finditer(TEMPLATE)
    }
    assert sections <= {'nodeName', 'zone', 'ip', *STRICT_SECTIONS}


@pytest.mark.parametrize('text', ['[', '- a', 'cloud: nowhere', 'colour: red'])
def test_wrong_duty_settings_of_the_environment_are_an_error(text):
    with pytest.raises(SettingsError):
        parse_settings(render(TEMPLATE, COMPLETE), text)
