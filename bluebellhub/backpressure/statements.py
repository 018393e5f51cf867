"""What upstreams stated last, from their responses or from other VMs."""

from collections.abc import Collection
from typing import Final, NamedTuple

__all__ = [
    'StatedLimit',
    'Statements',
    'forget_statements',
    'merge_statement',
    'record_statement',
]

# What other VMs were told seems newer than it is by the time on the way. So the
# end of a limit counts only if it is newer by more than that.
TRANSFER_MAX_S: Final = 1.0


class StatedLimit(NamedTuple):
    """What an upstream stated last, at ``at_s``.

    ``per_s`` is ``None`` if it stated no limit. ``incarnation`` is that of the
    upstream, a later one is greater: after a new start, the limit does not
    apply any more.
    """

    incarnation: str
    per_s: float | None
    at_s: float


# The newest statement of each upstream that had a limit.
Statements = dict[str, StatedLimit]


def record_statement(
    statements: Statements, upstream: str, stated: StatedLimit
) -> bool:
    """Record what a response to this VM states; return whether it changes.

    Responses without a limit are recorded only after one with a limit.
    """
    known = statements.get(upstream)
    if known is None and stated.per_s is None:
        return False
    if known is not None and stated.incarnation < known.incarnation:
        return False
    return _store(statements, upstream, stated)


def merge_statement(
    statements: Statements, upstream: str, stated: StatedLimit
) -> bool:
    """Record what another VM was told; return whether it changes the limit.

    Of two statements the newer one counts, and when in doubt the limit.
    """
    known = statements.get(upstream)
    if known is not None and not _is_newer(stated, known):
        return False
    return _store(statements, upstream, stated)


def forget_statements(
    statements: Statements, registered: Collection[str]
) -> set[str]:
    """Remove upstreams that are no longer registered; return their names."""
    if not statements:
        return set()
    gone = statements.keys() - set(registered)
    for name in gone:
        statements.pop(name)
    return gone


def _store(statements: Statements, upstream: str, stated: StatedLimit) -> bool:
    """Store a statement; return whether it differs from the one before."""
    known = statements.get(upstream)
    statements[upstream] = stated
    if known is None:
        return stated.per_s is not None
    if known._replace(at_s=stated.at_s) == stated:
        return False
    return stated.per_s is not None or known.per_s is not None


def _is_newer(stated: StatedLimit, known: StatedLimit) -> bool:
    if stated.incarnation != known.incarnation:
        return stated.incarnation > known.incarnation
    is_lifted = stated.per_s is None and known.per_s is not None
    margin_s = TRANSFER_MAX_S if is_lifted else 0.0
    return stated.at_s > known.at_s + margin_s
