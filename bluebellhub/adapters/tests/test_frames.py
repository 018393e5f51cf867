"""Frames of a stream: whole, split, crossed, repeated and cut."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bluebellhub.adapters.frames import (
    MismatchError,
    make_frame_reader,
    parse_frames,
)

USAGE = b'{"usage":{"prompt_tokens_details":{"cached_tokens":64}}}'


def _frame(offset, attempt='r.1', payload=b'{"x":1}'):
    return b'id: %s/%d\ndata: %s\n\n' % (attempt.encode(), offset, payload)


def _answer(tokens, start=0):
    frames = [_frame(offset) for offset in range(start, tokens)]
    return b''.join(
        [
            *frames,
            _frame(tokens, payload=USAGE),
            _frame(tokens, payload=b'[DONE]'),
        ]
    )


@pytest.mark.parametrize('start', [0, 3])
@given(cuts=st.lists(st.integers(0, 400), max_size=8))
def test_any_split_of_an_answer_is_passed_on_whole(start, cuts):
    answer = _answer(6, start)
    places = sorted({0, len(answer), *(cut % len(answer) for cut in cuts)})
    reader = make_frame_reader('r.1', start)
    passed = b''
    tokens = 0
    usage = b''
    for begin, end in zip(places, places[1:], strict=False):
        reader, frames = parse_frames(reader, answer[begin:end])
        passed += frames.passed
        tokens += frames.tokens
        usage = frames.usage or usage
    assert passed == answer
    assert tokens == 6 - start
    assert reader.done
    assert USAGE in usage


@pytest.mark.parametrize(
    'stream',
    [
        _frame(0, attempt='other.1'),
        _frame(0) + _frame(0),
        _frame(0) + _frame(2),
        _frame(1),
        _frame(0) + _frame(1, attempt='r.2'),
        _frame(0) + b'data: no id\n\n',
        _frame(0) + _frame(5, payload=b'[DONE]'),
        b'x' * 1_048_577,
    ],
)
def test_frames_out_of_place_are_refused(stream):
    with pytest.raises(MismatchError):
        parse_frames(make_frame_reader('r.1', 0), stream)


def test_an_unfinished_frame_is_kept_back():
    reader, frames = parse_frames(make_frame_reader('r.1', 0), _frame(0)[:-1])
    assert frames.passed == b''
    assert frames.tokens == 0
    assert not reader.done
