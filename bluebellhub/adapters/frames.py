"""Server-sent events of a response, checked without decoding their data.

An upstream marks every event with an id of the form ``attempt/offset``.  The
reader checks ids and offsets and forwards the bytes unchanged.
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
    """A frame belongs to another response or leaves a gap in this one."""

    def __init__(self, got: bytes | bytearray, expected: bytes) -> None:
        super().__init__(
            f'got frame {bytes(got[:60])!r}, expected {expected!r}'
        )


class FrameReader(NamedTuple):
    """Root of the aggregate: the state of reading one response.

    ``id_prefix`` is the expected start of every frame, ``id_pattern`` finds
    the offsets of all frames of the response, ``offset`` is the next
    expected offset and ``incomplete`` the bytes after the last complete frame,
    which the readers of one response share.
    """

    id_prefix: bytes
    id_pattern: re.Pattern[bytes]
    offset: int
    incomplete: bytearray
    done: bool = False


class Frames(NamedTuple):
    """Complete frames to forward and the number of tokens they hold.

    ``usage`` is the frame with the token counts of the engine, empty if the
    chunk has none.
    """

    complete: bytes
    tokens: int
    usage: bytes


def make_frame_reader(attempt_id: str, offset: int) -> FrameReader:
    """Create a reader for a response that starts at ``offset``."""
    id_prefix = f'id: {attempt_id}/'.encode()
    id_pattern = re.compile(rb'\n\n%s(\d+)\n' % re.escape(id_prefix))
    return FrameReader(id_prefix, id_pattern, offset, bytearray())


def parse_frames(
    reader: FrameReader, chunk: bytes
) -> tuple[FrameReader, Frames]:
    """Parse a chunk; returns the new reader and the frames completed by it.

    Each byte is searched once for the end of a frame, however small the chunks
    are.  Raises `MismatchError` for a frame with an unexpected id or offset,
    and for a frame above the maximum size.
    """
    incomplete = reader.incomplete
    searched = max(0, len(incomplete) - len(SEPARATOR) + 1)
    incomplete += chunk
    boundary = incomplete.rfind(SEPARATOR, searched)
    if boundary < 0:
        _check_size(reader)
        return reader, Frames(b'', 0, b'')
    end = boundary + len(SEPARATOR)
    complete, rest = bytes(incomplete[:end]), incomplete[end:]
    incomplete.clear()
    incomplete += rest
    block = complete[:boundary]
    usage = b''
    if USAGE in block or DONE in block:
        advanced, usage = _parse_last_frames(reader, block)
    else:
        advanced = _parse_token_frames(reader, block)
    return advanced, Frames(complete, advanced.offset - reader.offset, usage)


def _parse_token_frames(reader: FrameReader, block: bytes) -> FrameReader:
    """Check the ids of frames that hold one token each, all at once."""
    found = reader.id_pattern.findall(b'%s%s' % (SEPARATOR, block))
    after = reader.offset + block.count(SEPARATOR) + 1
    expected = [b'%d' % offset for offset in range(reader.offset, after)]
    if found != expected:
        raise MismatchError(block, b'%s%d' % (reader.id_prefix, reader.offset))
    return reader._replace(offset=after)


def _parse_last_frames(
    reader: FrameReader, block: bytes
) -> tuple[FrameReader, bytes]:
    """Check frames one by one; also returns the frame with the usage."""
    usage = b''
    for frame in block.split(SEPARATOR):
        reader = _parse_frame(reader, frame)
        if USAGE in frame:
            usage = frame
    return reader, usage


def _check_size(reader: FrameReader) -> None:
    """Raise `MismatchError` if the incomplete frame is too long already."""
    if len(reader.incomplete) > FRAME_MAX_BYTES:
        raise MismatchError(reader.incomplete, reader.id_prefix)


def _parse_frame(reader: FrameReader, frame: bytes) -> FrameReader:
    """Check the id of one frame of any kind; only tokens advance it."""
    expected = b'%s%d\n' % (reader.id_prefix, reader.offset)
    if not frame.startswith(expected):
        raise MismatchError(frame, expected)
    if frame.endswith(DONE):
        return reader._replace(done=True)
    if USAGE in frame:
        return reader
    return reader._replace(offset=reader.offset + 1)
