"""Invariants that are checked while the program runs.

Violations are counted by the invariant's name.  Tests also raise them; a
daemon continues, because stopping a VM would interrupt requests that are
not affected.
"""

from collections import Counter
from typing import Final

from bluebellhub.errors import InvariantError

__all__ = [
    'are_violations_fatal',
    'check_invariant',
    'set_violations_fatal',
    'violations',
]

violations: Final[Counter[str]] = Counter()
_modes: Final[dict[str, bool]] = {'fatal': True}


def set_violations_fatal(*, fatal: bool) -> None:
    """Set whether a violated invariant raises `InvariantError`."""
    _modes['fatal'] = fatal


def are_violations_fatal() -> bool:
    """Return whether a violated invariant raises `InvariantError`."""
    return _modes['fatal']


def check_invariant(name: str, *, holds: bool, detail: str = '') -> None:
    """Count a violation of the invariant ``name`` unless it ``holds``.

    Raises `InvariantError` on a violation while invariants are fatal.
    """
    if holds:
        return
    violations[name] += 1
    if are_violations_fatal():
        raise InvariantError(name, detail)
