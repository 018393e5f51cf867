"""Log lines: one JSON object each, limited in rate, never blocking."""

import json
import os

import logbook
import pytest

from bluebellhub.logs import BURST_LINES, RateLimitedHandler

log = logbook.Logger('tested')


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def _lines(reader):
    try:
        return os.read(reader, 1_000_000).decode().splitlines()
    except BlockingIOError:
        return []


def _drain(reader):
    lines = _lines(reader)
    while lines:
        lines = _lines(reader)


@pytest.mark.parametrize(
    ('level', 'call', 'expected'),
    [
        (logbook.INFO, lambda: log.info('said', extra={'request': 'r'}), 'r'),
        (logbook.ERROR, lambda: log.info('said', extra={'request': 'r'}), None),
    ],
)
def test_line_is_one_json_object(pipe, level, call, expected):
    reader, writer = pipe
    with RateLimitedHandler(writer, level).applicationbound():
        call()
    found = [json.loads(line) for line in _lines(reader)]
    assert [line['request'] for line in found] == [expected] * bool(expected)


@pytest.mark.parametrize(('credit', 'written'), [(0.0, 0), (2.0, 2), (9.0, 5)])
def test_lines_above_the_rate_are_dropped_and_counted(
    pipe, monkeypatch, credit, written
):
    monkeypatch.setattr('bluebellhub.logs.now_s', lambda: 5.0)
    reader, writer = pipe
    handler = RateLimitedHandler(writer, logbook.INFO)
    handler.credit = credit
    with handler.applicationbound():
        for _ in range(5):
            log.info('x')
    assert len(_lines(reader)) == written
    assert handler.dropped == 5 - written


def test_stalled_reader_does_not_block(pipe):
    reader, writer = pipe
    handler = RateLimitedHandler(writer, logbook.INFO)
    with handler.applicationbound():
        for _ in range(BURST_LINES):
            handler.credit = 2.0
            log.info('x' * 1000)
        assert handler.dropped > 0
        _drain(reader)
        handler.credit = 2.0
        log.info('again')
    assert json.loads(_lines(reader)[-1])['lines_left_out'] > 0


def test_line_contains_the_exception(pipe):
    reader, writer = pipe
    with RateLimitedHandler(writer, logbook.INFO).applicationbound():
        try:
            _fail()
        except KeyError:
            log.exception('failed')
    lines = _lines(reader)
    assert 'KeyError' in json.loads(lines[0])['exception']


def _fail():
    raise KeyError('odd')


@pytest.mark.parametrize(
    'field', [10**400, '\ud800', object(), {'in': 10**30}, b'x', float('inf')]
)
def test_value_that_json_lacks_raises_no_error(pipe, field):
    reader, writer = pipe
    with RateLimitedHandler(writer, logbook.INFO).applicationbound():
        log.info('said', extra={'request': 'r', 'got': field})
    assert [json.loads(line)['message'] for line in _lines(reader)] in (
        ['said'],
        ["'said'"],
    )


def test_long_traceback_stays_one_json_object(pipe):
    reader, writer = pipe
    with RateLimitedHandler(writer, logbook.INFO).applicationbound():
        try:
            int('x' * 10_000)
        except ValueError:
            log.exception('failed')
    assert [json.loads(line)['message'] for line in _lines(reader)] == [
        'failed'
    ]


def test_reader_that_has_gone_ends_no_process():
    reader, writer = os.pipe()
    os.close(reader)
    with RateLimitedHandler(writer, logbook.INFO).applicationbound():
        log.info('said')
    os.close(writer)
