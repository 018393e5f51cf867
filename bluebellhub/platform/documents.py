"""Reads YAML and JSON documents that people write, with the lines of fields."""

from collections.abc import Iterator
from typing import Any, Final, NamedTuple

import msgspec
import yaml

from bluebellhub.errors import HubError

__all__ = ['Document', 'DocumentError', 'find_line', 'read_document']

SIZE_MAX_BYTES: Final = 50_000_000
# Lines of larger documents are not kept, which would take much memory.
LINES_MAX_BYTES: Final = 4_000_000
DEPTH_MAX: Final = 64
BYTE_ORDER_MARK: Final = '\ufeff'

Path = tuple[str | int, ...]


class DocumentError(HubError):
    """A document cannot be read; ``line`` is 0 if it is unknown."""

    def __init__(self, got: str, expected: str, line: int = 0) -> None:
        where = f'line {line}: ' if line else ''
        super().__init__(f'{where}got {got}, expected {expected}')
        self.line = line


class Document(NamedTuple):
    """What a document holds, and its lines.

    ``lines`` holds the line of each field and entry by its path, and
    ``repeated`` the paths of fields that a mapping has twice.
    """

    content: Any
    lines: dict[Path, int]
    repeated: list[Path]


class _Level(NamedTuple):
    """A mapping or list that the events are within.

    ``state`` holds the position in a list, or the name of a mapping's field.
    """

    path: Path
    is_mapping: bool
    state: dict[str, Any]


def read_document(text: bytes) -> Document:
    """Read a document; raises `DocumentError`."""
    if len(text) > SIZE_MAX_BYTES:
        raise DocumentError(
            f'{len(text)} bytes', f'at most {SIZE_MAX_BYTES} bytes'
        )
    try:
        decoded = text.decode().removeprefix(BYTE_ORDER_MARK)
    except UnicodeDecodeError as error:
        line = text.count(b'\n', 0, error.start) + 1
        raise DocumentError('bytes of no character', 'UTF-8', line) from None
    document = Document(None, {}, [])
    keeps_lines = len(text) <= LINES_MAX_BYTES
    try:
        content = msgspec.json.decode(decoded)
    except RecursionError:
        raise _nesting_error(0) from None
    except msgspec.DecodeError:
        _trace(decoded, document, keeps_lines=keeps_lines)
        return document._replace(content=_load_yaml(decoded))
    if keeps_lines:
        _trace(decoded, document, keeps_lines=True)
    return document._replace(content=content)


def find_line(document: Document, path: Path) -> int:
    """Return the line of a field, or of what holds it; 0 if unknown."""
    while path not in document.lines and path:
        path = path[:-1]
    return document.lines.get(path, 0)


def _load_yaml(text: str) -> Any:
    """Load YAML whose depth was checked; raises `DocumentError`."""
    try:
        return yaml.load(text, yaml.CSafeLoader)  # noqa: S506
    except (yaml.YAMLError, ValueError) as error:
        raise _yaml_error(error) from None


def _yaml_error(error: Exception) -> DocumentError:
    mark = getattr(error, 'problem_mark', None)
    problem = getattr(error, 'problem', None) or str(error)
    line = mark.line + 1 if mark else 0
    return DocumentError(problem, 'YAML or JSON', line)


def _nesting_error(line: int) -> DocumentError:
    return DocumentError(
        'deeper nesting', f'at most {DEPTH_MAX} levels of nesting', line
    )


def _events(text: str) -> Iterator[Any]:
    try:
        yield from yaml.parse(text, yaml.CSafeLoader)
    except yaml.YAMLError as error:
        raise _yaml_error(error) from None


def _trace(text: str, document: Document, *, keeps_lines: bool) -> None:
    """Check the depth of a document and keep the lines of its fields.

    Works without recursion.  An alias is refused: a few lines of them stand
    for any number of entries.
    """
    levels: list[_Level] = []
    for event in _events(text):
        if isinstance(event, yaml.CollectionEndEvent):
            levels.pop()
        elif isinstance(event, yaml.NodeEvent):
            _trace_value(levels, event, document, keeps_lines=keeps_lines)


def _trace_value(
    levels: list[_Level], event: Any, document: Document, *, keeps_lines: bool
) -> None:
    """Keep the line of a value, and add a level if it holds others."""
    line = event.start_mark.line + 1
    path = _place_event(levels, event, document)
    if path is not None and keeps_lines:
        document.lines.setdefault(path, line)
    if isinstance(event, yaml.AliasEvent):
        raise DocumentError('an alias', 'a document without aliases', line)
    if isinstance(event, yaml.CollectionStartEvent):
        is_mapping = isinstance(event, yaml.MappingStartEvent)
        levels.append(_Level(path or (), is_mapping, {'names': set()}))
        if len(levels) > DEPTH_MAX:
            raise _nesting_error(line)


def _place_event(
    levels: list[_Level], event: Any, document: Document
) -> Path | None:
    """Return the path of a value; ``None`` for the name of a field."""
    if not levels:
        return ()
    level = levels[-1]
    state = level.state
    if not level.is_mapping:
        state['position'] = state.get('position', -1) + 1
        return (*level.path, state['position'])
    name = state.pop('name', None)
    if name is not None:
        return (*level.path, name)
    state['name'] = str(getattr(event, 'value', ''))
    path = (*level.path, state['name'])
    if state['name'] in state['names']:
        document.repeated.append(path)
    state['names'].add(state['name'])
    return None
