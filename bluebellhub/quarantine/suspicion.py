"""Parts of prompts that are suspected of a crash which may not have happened.

A lost connection may be all that was lost.  Whether the upstream has crashed is
known at once if nothing listens at its address any more.  One that is back in
no time, or whose address another process holds open, is known to have crashed
only when it registers as a new incarnation or its registration expires.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

__all__ = [
    'SUSPICION_S',
    'Suspicion',
    'Suspicions',
    'add_suspicion',
    'end_check',
    'pop_suspected',
]

# Within this time a crashed upstream registers again, or its registration ends.
SUSPICION_S: Final = 10.0
SUSPICIONS_MAX: Final = 256


class Suspicion(NamedTuple):
    """Parts of the prompts that an upstream processed when it was lost.

    While it ``is_checked``, it is being found out whether anything listens at
    its address.  The parts are suspected until ``until_s``.
    """

    parts: frozenset[str]
    is_checked: bool
    until_s: float


# By the id of the crash that may have happened, the latest last.
Suspicions = dict[str, Suspicion]


def add_suspicion(
    suspicions: Suspicions, crash: str, parts: Iterable[str], now_s: float
) -> bool:
    """Add suspected parts; return whether the address has to be checked now."""
    known = _pop_valid(suspicions, crash, now_s)
    is_checked = known is not None and known.is_checked
    found = frozenset(parts)
    if known is not None:
        found |= known.parts
    suspicions[crash] = Suspicion(found, True, now_s + SUSPICION_S)
    while len(suspicions) > SUSPICIONS_MAX:
        suspicions.pop(next(iter(suspicions)))
    return not is_checked


def end_check(suspicions: Suspicions, crash: str) -> None:
    """Record that something listens; the parts stay suspected for a while."""
    known = suspicions.get(crash)
    if known is not None:
        suspicions[crash] = known._replace(is_checked=False)


def pop_suspected(
    suspicions: Suspicions, crash: str, now_s: float
) -> list[str]:
    """Remove and return the parts that are suspected of a crash."""
    known = _pop_valid(suspicions, crash, now_s)
    return sorted(known.parts) if known else []


def _pop_valid(
    suspicions: Suspicions, crash: str, now_s: float
) -> Suspicion | None:
    known = suspicions.pop(crash, None)
    return known if known is not None and now_s <= known.until_s else None
