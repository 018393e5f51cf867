"""Server-sent events of an answer, checked without decoding their data.

An upstream marks every event with an id of the form ``attempt/offset``.  The
reader checks ids and offsets and passes the bytes on as they are.
"""

from typing import Final, NamedTuple

from bluebellhub.errors import HubError

__all__ = [
    'FrameReader',
    'Frames',
    'MismatchError',
    'make_frame_reader',
    'take_frames',
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
    """The root: the expected id, the next offset and an unfinished frame."""

    prefix: bytes
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
    return FrameReader(f'id: {attempt_id}/'.encode(), offset)


def take_frames(
    reader: FrameReader, chunk: bytes
) -> tuple[FrameReader, Frames]:
    """Read a chunk; raises `MismatchError` for a frame out of place."""
    joined = reader.rest + chunk
    cut = joined.rfind(SEPARATOR)
    if cut < 0:
        return _keep(reader, joined), Frames(b'', 0, b'')
    moved = reader
    usage = b''
    for frame in joined[:cut].split(SEPARATOR):
        moved = _take_frame(moved, frame)
        if USAGE in frame:
            usage = frame
    end = cut + len(SEPARATOR)
    passed = Frames(joined[:end], moved.offset - reader.offset, usage)
    return moved._replace(rest=joined[end:]), passed


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
