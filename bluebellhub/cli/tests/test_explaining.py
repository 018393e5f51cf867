"""What the logs of several VMs say of one request."""

import json

import pytest

from bluebellhub.cli.explaining import read_lines
from bluebellhub.cli.main import main

FIRST = {'time': '2026-01-01T00:00:01', 'message': 'sent', 'request': 'r1'}
LAST = {
    'time': '2026-01-01T00:00:02',
    'message': 'ended',
    'request': 'r1',
    'outcome': 'shed',
}
OTHER = {**FIRST, 'request': 'r2'}


def _log(*lines):
    texts = [
        line if isinstance(line, str) else json.dumps(line) for line in lines
    ]
    return '\n'.join(texts)


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
def test_lines_of_a_request(lines, messages, unread):
    found = read_lines(iter(_log(*lines).splitlines()), 'r1', 'hub-1')
    assert [row['message'] for row in found.rows] == messages
    assert found.unread == unread


@pytest.mark.parametrize(
    ('request_id', 'status', 'shown'),
    [('r1', 0, ['sent', 'ended']), ('r9', 1, ['none'])],
)
def test_logs_are_joined_in_order(tmp_path, capsys, request_id, status, shown):
    (tmp_path / 'a').write_text(_log(LAST))
    (tmp_path / 'b').write_text(_log(OTHER, FIRST))
    with pytest.raises(SystemExit) as ended:
        main(['explain', request_id, str(tmp_path / 'a'), str(tmp_path / 'b')])
    printed = capsys.readouterr().out
    assert ended.value.code == status
    places = [printed.index(word) for word in shown]
    assert places == sorted(places)


def test_a_missing_log_is_named(tmp_path, capsys):
    with pytest.raises(SystemExit) as ended:
        main(['explain', 'r1', str(tmp_path / 'nothing')])
    assert ended.value.code == 2
    assert 'nothing' in capsys.readouterr().err
