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
    count: int
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
        if len(joined) > FRAME_MAX_BYTES:
            raise MismatchError(joined, reader.prefix)
        return reader._replace(rest=joined), Frames(b'', 0, b'')
    passed = joined[: cut + len(SEPARATOR)]
    offset = reader.offset
    done = False
    usage = b''
    for frame in joined[:cut].split(SEPARATOR):
        expected = b'%s%d\n' % (reader.prefix, offset)
        if not frame.startswith(expected):
            raise MismatchError(frame, expected)
        if frame.endswith(DONE):
            done = True
        elif b'"usage"' in frame:
            usage = frame
        else:
            offset += 1
    rest = joined[cut + len(SEPARATOR) :]
    count = offset - reader.offset
    moved = reader._replace(offset=offset, rest=rest, done=done)
    return moved, Frames(passed, count, usage)
