"""Collecting the lines of one request from the logs of several VMs."""

import json

import pytest

from bluebellhub.cli.explain import read_lines
from bluebellhub.cli.main import main

FIRST = {'time': '2026-01-01T00:00:01', 'message': 'sent', 'request': 'r1'}
LAST = {
    'time': '2026-01-01T00:00:02',
    'message': 'ended',
    'request': 'r1',
    'outcome': 'shed',
}
OTHER = {**FIRST, 'request': 'r2'}


def _join_lines(*lines):
    lines_as_text = [
        line if isinstance(line, str) else json.dumps(line) for line in lines
    ]
    return '\n'.join(lines_as_text)


@pytest.mark.parametrize(
    ('lines', 'messages', 'unread'),
    [
        ([FIRST, OTHER, LAST], ['sent', 'ended'], 0),
        ([f'1.5 hub-1 {json.dumps(FIRST)}'], ['sent'], 0),
        ([json.dumps(FIRST)[:-4], LAST], ['ended'], 1),
        (['Traceback', '', '{"odd": 1}', LAST], ['ended'], 2),
        ([OTHER], [], 0),
    ],
)
def test_read_lines_finds_one_request(lines, messages, unread):
    log_lines = read_lines(
        iter(_join_lines(*lines).splitlines()), 'r1', 'hub-1'
    )
    assert [row['message'] for row in log_lines.rows] == messages
    assert log_lines.unreadable == unread


@pytest.mark.parametrize(
    ('request_id', 'status', 'shown'),
    [('r1', 0, ['sent', 'ended']), ('r9', 1, ['none'])],
)
def test_explain_merges_logs_by_time(
    tmp_path, capsys, request_id, status, shown
):
    (tmp_path / 'a').write_text(_join_lines(LAST))
    (tmp_path / 'b').write_text(_join_lines(OTHER, FIRST))
    with pytest.raises(SystemExit) as exit_error:
        main(['explain', request_id, str(tmp_path / 'a'), str(tmp_path / 'b')])
    printed = capsys.readouterr().out
    assert exit_error.value.code == status
    positions = [printed.index(word) for word in shown]
    assert positions == sorted(positions)


def test_explain_names_a_missing_file(tmp_path, capsys):
    with pytest.raises(SystemExit) as exit_error:
        main(['explain', 'r1', str(tmp_path / 'nothing')])
    assert exit_error.value.code == 2
    assert 'nothing' in capsys.readouterr().err
