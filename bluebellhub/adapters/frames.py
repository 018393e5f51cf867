"""Server-sent events of an answer, checked without decoding their data.

An upstream marks every event with an id of the form ``attempt/offset``.  The
reader checks ids and offsets and passes the bytes on as they are.
"""

import re
from typing import Final, NamedTuple

from bluebellhub.errors import HubError

__all__ = [
    'FrameReader',
    'Frames',
    'MismatchError',
    'make_frame_reader',
    'parse_frames',
]

SEPARATOR: Final = b'\n\n'
DONE: Final = b'data: [DONE]'
USAGE: Final = b'"usage"'
FRAME_MAX_BYTES: Final = 1_048_576


class MismatchError(HubError):
    """A frame belongs to another answer or leaves a gap in this one."""

    def __init__(self, got: bytes, expected: bytes) -> None:
        super().__init__(f'got frame {got[:60]!r}, expected {expected!r}')


class FrameReader(NamedTuple):
    """The root: the expected id, the next offset and an unfinished frame.

    ``ids`` finds the offsets of all frames of the answer.
    """

    prefix: bytes
    ids: re.Pattern[bytes]
    offset: int
    rest: bytes = b''
    done: bool = False


class Frames(NamedTuple):
    """Whole frames to pass on and how many tokens they hold.

    ``usage`` is the last frame before the end, which tells the cached
    tokens.
    """

    passed: bytes
    tokens: int
    usage: bytes


def make_frame_reader(attempt_id: str, offset: int) -> FrameReader:
    """Create a reader for an answer that starts at ``offset``."""
    prefix = f'id: {attempt_id}/'.encode()
    ids = re.compile(rb'\n\n%s(\d+)\n' % re.escape(prefix))
    return FrameReader(prefix, ids, offset)


def parse_frames(
    reader: FrameReader, chunk: bytes
) -> tuple[FrameReader, Frames]:
    """Read a chunk; raises `MismatchError` for a frame out of place."""
    joined = reader.rest + chunk
    cut = joined.rfind(SEPARATOR)
    if cut < 0:
        return _keep(reader, joined), Frames(b'', 0, b'')
    end = cut + len(SEPARATOR)
    block = joined[:cut]
    usage = b''
    if USAGE in block or DONE in block:
        moved, usage = _take_last(reader, block)
    else:
        moved = _take_tokens(reader, block)
    passed = Frames(joined[:end], moved.offset - reader.offset, usage)
    return moved._replace(rest=joined[end:]), passed


def _take_tokens(reader: FrameReader, block: bytes) -> FrameReader:
    """Take frames that each hold a token, by their ids at once."""
    found = reader.ids.findall(b'%s%s' % (SEPARATOR, block))
    after = reader.offset + block.count(SEPARATOR) + 1
    expected = [b'%d' % offset for offset in range(reader.offset, after)]
    if found != expected:
        raise MismatchError(block, b'%s%d' % (reader.prefix, reader.offset))
    return reader._replace(offset=after)


def _take_last(reader: FrameReader, block: bytes) -> tuple[FrameReader, bytes]:
    """Take frames one by one; returns the frame that tells the usage."""
    usage = b''
    for frame in block.split(SEPARATOR):
        reader = _take_frame(reader, frame)
        if USAGE in frame:
            usage = frame
    return reader, usage


def _keep(reader: FrameReader, joined: bytes) -> FrameReader:
    """Keep an unfinished frame for the next chunk."""
    if len(joined) > FRAME_MAX_BYTES:
        raise MismatchError(joined, reader.prefix)
    return reader._replace(rest=joined)


def _take_frame(reader: FrameReader, frame: bytes) -> FrameReader:
    expected = b'%s%d\n' % (reader.prefix, reader.offset)
    if not frame.startswith(expected):
        raise MismatchError(frame, expected)
    if frame.endswith(DONE):
        return reader._replace(done=True)
    if USAGE in frame:
        return reader
    return reader._replace(offset=reader.offset + 1)
