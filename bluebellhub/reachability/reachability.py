"""Tells the loss of this VM's own links from the failure of upstreams.

Seen from one VM both look the same: attempts fail.  So a failed attempt is
deferred until a check has tried to connect to other upstreams.  If one of them
accepts, the failures count against their upstreams.  If none does while other
VMs reach some, this VM is cut off, and the failures say nothing of upstreams.
"""

from math import inf
from typing import Final, Literal, NamedTuple, TypedDict

from bluebellhub.request import AttemptFailure, RequestState

__all__ = [
    'CHECK_TIMEOUT_S',
    'DeferredFailure',
    'Reachability',
    'apply_check',
    'begin_check',
    'has_changed_since',
    'has_contact_since',
    'defer_failure',
    'is_cut_off',
    'is_doubtful',
    'is_probe_due',
    'update_phase',
    'make_reachability',
    'record_contact',
    'record_peers_contact',
    'pop_deferred',
]

# An upstream accepts a connection within a few round trips.
CHECK_TIMEOUT_S: Final = 0.4
# While this VM is cut off, it tries this often whether it still is.
PROBE_INTERVAL_S: Final = 0.25
# How long other VMs have to report that they reach upstreams.
REPORT_TIMEOUT_S: Final = 0.8
# The contact of other VMs says nothing of the upstreams once it is older.
PEER_CONTACT_MAX_AGE_S: Final = 2.0

Phase = Literal['connected', 'unreached', 'cut_off']


class DeferredFailure(NamedTuple):
    """A failed attempt that may be the fault of this VM's links."""

    state: RequestState
    failure: AttemptFailure


class Status(TypedDict):
    """Scalar state; the times are those of the VM's clock.

    The last check began at ``checked_at_s``, and one runs if ``is_checking``.
    ``phase`` was entered at ``since_s``.  Something came from an upstream at
    ``contact_at_s``, and to another VM at ``peers_contact_at_s``.
    """

    phase: Phase
    since_s: float
    is_checking: bool
    checked_at_s: float
    contact_at_s: float
    peers_contact_at_s: float


class Reachability(NamedTuple):
    """The root: what this VM knows of its links, and the deferred failures."""

    status: Status
    deferred: list[DeferredFailure]


def make_reachability() -> Reachability:
    """Create the state of a VM that has tried nothing yet."""
    status: Status = {
        'phase': 'connected',
        'since_s': -inf,
        'is_checking': False,
        'checked_at_s': -inf,
        'contact_at_s': -inf,
        'peers_contact_at_s': -inf,
    }
    return Reachability(status, [])


def is_cut_off(links: Reachability) -> bool:
    """Return whether this VM reaches no upstream while other VMs do.

    >>> is_cut_off(make_reachability())
    False
    """
    return _phase(links) == 'cut_off'


def is_doubtful(links: Reachability) -> bool:
    """Return whether new attempts should wait for the result of a check."""
    return bool(links.deferred) or _phase(links) == 'unreached'


def has_contact_since(links: Reachability, since_s: float) -> bool:
    """Return whether something came from an upstream after ``since_s``."""
    return links.status['contact_at_s'] > since_s


def has_changed_since(links: Reachability, since_s: float) -> bool:
    """Return whether the links were cut or restored after ``since_s``."""
    return links.status['since_s'] > since_s


def record_contact(links: Reachability, now_s: float) -> None:
    """Record that an upstream has sent something or accepted a connection."""
    links.status['contact_at_s'] = now_s


def record_peers_contact(links: Reachability, at_s: float) -> None:
    """Record when another VM that is not cut off was last in contact."""
    status = links.status
    status['peers_contact_at_s'] = max(status['peers_contact_at_s'], at_s)


def defer_failure(
    links: Reachability, state: RequestState, failure: AttemptFailure
) -> None:
    """Defer a failed attempt until it is known whether the links failed."""
    links.deferred.append(DeferredFailure(state, failure))


def pop_deferred(links: Reachability) -> list[DeferredFailure]:
    """Remove and return the deferred failures."""
    deferred = list(links.deferred)
    links.deferred.clear()
    return deferred


def begin_check(links: Reachability, now_s: float) -> bool:
    """Begin a check; return whether none was running."""
    status = links.status
    if status['is_checking']:
        return False
    status['is_checking'] = True
    status['checked_at_s'] = now_s
    return True


def is_probe_due(links: Reachability, now_s: float) -> bool:
    """Return whether a VM that reaches nothing should try once more."""
    status = links.status
    if _phase(links) == 'connected' or status['is_checking']:
        return False
    return now_s - status['checked_at_s'] >= PROBE_INTERVAL_S


def apply_check(links: Reachability, *, is_reached: bool, now_s: float) -> None:
    """Apply the result of a check: whether an upstream accepted."""
    status = links.status
    status['is_checking'] = False
    if is_reached:
        record_contact(links, now_s)
        _enter(links, 'connected', now_s)
    elif _phase(links) == 'connected':
        _enter(links, 'unreached', status['checked_at_s'])


def update_phase(links: Reachability, now_s: float) -> bool:
    """Decide whether a VM that reaches nothing is cut off.

    Returns whether the deferred failures count against their upstreams: that is
    so once a check has connected, or if no other VM reaches any upstream.
    """
    status = links.status
    phase = _phase(links)
    if phase == 'connected':
        return not status['is_checking']
    if phase == 'cut_off':
        return False
    since_s = status['since_s']
    if status['peers_contact_at_s'] > since_s:
        _enter(links, 'cut_off', now_s)
        return False
    has_recent_peer = (
        status['peers_contact_at_s'] > since_s - PEER_CONTACT_MAX_AGE_S
    )
    if has_recent_peer and now_s - since_s < REPORT_TIMEOUT_S + CHECK_TIMEOUT_S:
        return False
    _enter(links, 'connected', now_s)
    return True


def _phase(links: Reachability) -> Phase:
    return links.status['phase']


def _enter(links: Reachability, phase: Phase, now_s: float) -> None:
    if _phase(links) != phase:
        links.status['phase'] = phase
        links.status['since_s'] = now_s
