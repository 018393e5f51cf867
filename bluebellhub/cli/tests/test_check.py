"""The check of a configuration before it is sent."""

import json

import pytest

from bluebellhub.cli.main import main
from bluebellhub.platform.documents import (
    SIZE_MAX_BYTES,
    DocumentError,
    read_document,
)

ROUTE = {
    'name': 'plans',
    'host': 'a.example',
    'pathPrefix': '/plans/',
    'kind': 'idempotent',
    'timeoutMs': 5000.0,
    'targetLatencyMs': 400.0,
    'service': 'plans',
}
ACCOUNT = {
    'name': 'yard',
    'apiKeys': ['secret-1'],
    'ratePerS': 5.0,
    'burst': 10.0,
}
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 1000000,
    'headerTimeoutMs': 3000.0,
    'idleTimeoutMs': 15000.0,
}
CONFIG = {
    'version': 7,
    'routes': [ROUTE],
    'services': [{'name': 'plans'}],
    'limits': LIMITS,
    'tenants': [ACCOUNT],
}
SPLIT = [{'service': 'plans', 'weight': 1}, {'service': 'old', 'weight': 0}]


def run_check(tmp_path, capsys, config, *options, against=None):
    """Return the exit status and the output of the command."""
    path = tmp_path / 'new.json'
    path.write_text(
        config if isinstance(config, str) else json.dumps(config, indent=1)
    )
    arguments = ['check', str(path), *options]
    if against is not None:
        in_force = tmp_path / 'old.json'
        in_force.write_text(json.dumps(against))
        arguments.extend(('--against', str(in_force)))
    with pytest.raises(SystemExit) as exited:
        main(arguments)
    output = capsys.readouterr()
    return exited.value.code, output.out, output.err


def with_route(**fields):
    return {'routes': [{**ROUTE, **fields}]}


def with_account(**fields):
    return {'tenants': [{**ACCOUNT, **fields}]}


@pytest.mark.parametrize(
    ('fields', 'expected'),
    [
        ({}, []),
        (
            {'routes': [ROUTE, {**ROUTE, 'name': 'b', 'host': 'A.example'}]},
            [('hidden_route', 'routes[1].pathPrefix')],
        ),
        (
            {'routes': [ROUTE, {**ROUTE, 'host': 'b.example'}]},
            [('duplicate_name', 'routes[1].name')],
        ),
        (
            with_route(pathPrefix='plans/'),
            [('unmatched_route', 'routes[0].pathPrefix')],
        ),
        (
            with_route(trafficSplit=SPLIT),
            [
                ('split', 'routes[0].trafficSplit[1].weight'),
                ('split', 'routes[0].trafficSplit[1].service'),
            ],
        ),
        (with_route(service='gone'), [('split', 'routes[0].service')]),
        (
            with_route(targetLatencyMs=6000.0),
            [('route_time', 'routes[0].targetLatencyMs')],
        ),
        (
            {'routes': [{}, {**ROUTE, 'timeoutMs': 0}]},
            [
                ('form', 'routes[0].name'),
                ('route_time', 'routes[1].timeoutMs'),
            ],
        ),
        (with_account(apiKeys=[]), [('key', 'tenants[0].apiKeys')]),
        (
            with_account(apiKeys=['secret-1', 'secret-1']),
            [('key', 'tenants[0].apiKeys[1]')],
        ),
        (
            with_account(unit='tokens', uncachedTokens=20),
            [('account_limit', 'tenants[0].burst')],
        ),
        (
            {'limits': {**LIMITS, 'maxHeaderBytes': 100}},
            [('caller_limit', 'limits.maxHeaderBytes')],
        ),
        ({'routes': 'plans'}, [('form', 'routes')]),
        (with_route(timeoutMs='5 s'), [('form', 'routes[0].timeoutMs')]),
    ],
)
def test_findings_name_the_rule_and_the_field(
    tmp_path, capsys, fields, expected
):
    config = {**CONFIG, **fields}
    status, out, _ = run_check(tmp_path, capsys, config, '--format', 'json')
    findings = json.loads(out)['findings']
    assert [(row['check'], row['field']) for row in findings] == expected
    assert status == bool(expected)
    assert all(row['line'] > 1 for row in findings)
    assert 'secret' not in out


def test_text_output_gives_file_line_field_got_and_expected(tmp_path, capsys):
    config = {**CONFIG, **with_route(kind='x')}
    lines = json.dumps(config, indent=1).splitlines()
    line = next(number for number, row in enumerate(lines, 1) if 'kind' in row)
    status, out, _ = run_check(tmp_path, capsys, config)
    assert status == 1
    assert (
        f"new.json:{line}: routes[0].kind: got 'x', expected one of: "
        'idempotent, non_idempotent, streaming (form)'
    ) in out


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        (b'version: [1', 'YAML or JSON'),
        (b'version: "\xff"', 'line 1: got bytes of no character'),
        (b'[' * 100_000 + b']' * 100_000, 'levels of nesting'),
        (b'a: ' + b'[' * 900 + b']' * 900, 'levels of nesting'),
        (b'{"a":' * 70 + b'1' + b'}' * 70, 'levels of nesting'),
        (b'a: &x [1]\nb: [*x, *x]', 'without aliases'),
        (b' ' * (SIZE_MAX_BYTES + 1), 'at most 50000000 bytes'),
    ],
)
def test_unreadable_document_gives_a_typed_error(text, expected):
    with pytest.raises(DocumentError, match=expected):
        read_document(text)


@pytest.mark.parametrize(
    ('config', 'status'), [(CONFIG, 0), ('[', 2), ('3', 1), ('', 1)]
)
def test_exit_status(tmp_path, capsys, config, status):
    assert run_check(tmp_path, capsys, config)[0] == status


def test_missing_file_cannot_be_checked(tmp_path, capsys):
    with pytest.raises(SystemExit) as exited:
        main(['check', str(tmp_path / 'none.json')])
    assert exited.value.code == 2
    assert 'No such file' in capsys.readouterr().err


@pytest.mark.parametrize(
    ('fields', 'line'),
    [
        ({}, 'no changes'),
        (with_route(host='A.EXAMPLE'), 'no changes'),
        (
            with_route(trafficSplit=[{'service': 'plans', 'weight': 9}]),
            'no changes',
        ),
        (
            with_route(priority=2),
            'changed route a.example/plans/ (rank: 0 -> 2); '
            'affects callers of a.example/plans/',
        ),
        ({'routes': []}, 'removed route a.example/plans/; affects callers'),
        (
            {'services': [{'name': 'plans', 'coldPerS': 2.0}]},
            'changed service plans (cold_per_s: 0.0 -> 2.0); '
            'affects callers of routes plans',
        ),
        (
            with_account(apiKeys=['secret-2']),
            'changed account yard (keys: as before -> 1 added, 1 removed); '
            'affects account yard',
        ),
        ({'tenants': None}, 'affects all callers'),
        ({'version': 6}, 'version: got 6, expected at least 7'),
    ],
)
def test_changes_are_told_by_meaning(tmp_path, capsys, fields, line):
    against = {**CONFIG, 'version': 6}
    config = {**CONFIG, **fields}
    _, out, _ = run_check(tmp_path, capsys, config, against=against)
    assert line in out
    assert 'secret' not in out
