"""Frames of a stream: split, of other responses, repeated, incomplete."""

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


def _response(tokens, start=0):
    frames = [_frame(offset) for offset in range(start, tokens)]
    return b''.join(
        [
            *frames,
            _frame(tokens, payload=USAGE),
            _frame(tokens, payload=b'[DONE]'),
        ]
    )


@pytest.mark.parametrize('start', [0, 3])
@given(split_points=st.lists(st.integers(0, 400), max_size=8))
def test_split_response_is_forwarded_unchanged(start, split_points):
    response = _response(6, start)
    positions = sorted(
        {
            0,
            len(response),
            *(split_point % len(response) for split_point in split_points),
        }
    )
    reader = make_frame_reader('r.1', start)
    forwarded = b''
    tokens = 0
    usage = b''
    for begin, end in zip(positions, positions[1:], strict=False):
        reader, frames = parse_frames(reader, response[begin:end])
        forwarded += frames.complete
        tokens += frames.tokens
        usage = frames.usage or usage
    assert forwarded == response
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
def test_unexpected_frames_raise_mismatch_error(stream):
    with pytest.raises(MismatchError):
        parse_frames(make_frame_reader('r.1', 0), stream)


def test_incomplete_frame_is_not_forwarded():
    reader, frames = parse_frames(make_frame_reader('r.1', 0), _frame(0)[:-1])
    assert frames.complete == b''
    assert frames.tokens == 0
    assert not reader.done
