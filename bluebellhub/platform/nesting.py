"""Bounds the nesting of JSON, which decoders follow by recursion."""

import re
from typing import Final

__all__ = ['bound_nesting']

DEPTH_MAX: Final = 64
NULL: Final = b'null'
TOKEN: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[{]|[\]}]', re.DOTALL)


def bound_nesting(content: bytes) -> bytes:
    """Return JSON in which `null` replaces what is nested too deeply.

    >>> bound_nesting(b'[1, {"a": []}]')
    b'[1, {"a": []}]'
    """
    parts: list[bytes] = []
    depth = 0
    kept_from = 0
    for token in TOKEN.finditer(content):
        first = token[0][:1]
        if first in b'[{':
            depth += 1
            if depth == DEPTH_MAX + 1:
                parts.extend((content[kept_from : token.start()], NULL))
        elif first in b']}':
            if depth == DEPTH_MAX + 1:
                kept_from = token.end()
            depth -= 1
    parts.append(content[kept_from:])
    return b''.join(parts)
