"""Which share of the requests for a target may leave the failure domain.

Every VM decides alone, from sums over the VMs of each failure domain that are
up to a second old, and the VMs of a domain decide alike.  So a decision is a
ratio of requests, not a number of them: each VM applies it to its own.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Final, NamedTuple

from bluebellhub.registry import Registry, make_registry

__all__ = [
    'NO_LOCAL',
    'STALE_S',
    'ClosingRule',
    'DomainDecision',
    'DomainLoad',
    'PairShare',
    'closing_rules',
    'decide_shares',
    'leave_gain',
]

# The reason to leave if no upstream is in service here.
NO_LOCAL: Final = 'no_local'
# A domain offers slots up to this load.
USE_MAX: Final = 0.85
# Above this load a domain sends some requests away that seem to have a place:
# some of its upstreams are full by then, and reports are too old to tell which.
PUSH_USE: Final = 0.75
# VMs drop the work of a domain from their sums after this time, so that its
# upstreams would look idle.
STALE_S: Final = 1.5
# Requests that were sent after a report are not in it, so the grants of all
# domains that are short rise by a part of the free slots only.
RISE_PER_REPORT: Final = 0.25
# A quarter of the free slots of a plain service is often less than a request.
RISE_MIN_SLOTS: Final = 1.0
# A late first token is worth this much, in relation to one in time.
LATE_WORTH: Final = 0.25


class DomainLoad(NamedTuple):
    """What this VM knows of one target's upstreams in a failure domain.

    ``slots`` are those of upstreams in service, ``used`` the requests in
    progress there from all VMs, and ``sent`` those from VMs of this VM's
    domain.  ``offered`` counts the requests that the domain's own VMs have in
    progress anywhere or queued.  The report is ``age_s`` old.
    """

    domain: str
    slots: float = 0.0
    used: int = 0
    sent: int = 0
    offered: int = 0
    age_s: float = 0.0
    is_out: bool = False


class PairShare(NamedTuple):
    """What another failure domain grants to this one.

    ``slots`` is granted to all VMs of this domain together.  Of the requests
    that find no place in time here, ``share`` may go there.  ``part`` is the
    ratio of the free slots there that are granted.
    """

    slots: float
    share: float
    part: float
    reason: str


class DomainDecision(NamedTuple):
    """The decision on one target, by failure domain.

    ``push`` is the ratio of requests that leave although this domain seems to
    have a place: so many are offered that it is probably taken.  ``age_s``
    holds the ages of the reports.
    """

    push: float
    pairs: Mapping[str, PairShare]
    age_s: Mapping[str, float]


ClosingRule = Callable[[DomainLoad], bool]

closing_rules: Registry[ClosingRule] = make_registry('reason to offer no slots')


@closing_rules.register('out')
def is_out(load: DomainLoad) -> bool:
    """Return whether operators took the domain out of service."""
    return load.is_out


@closing_rules.register('none')
def is_without_upstreams(load: DomainLoad) -> bool:
    """Return whether no upstream is in service there."""
    return load.slots <= 0


@closing_rules.register('stale')
def is_stale(load: DomainLoad) -> bool:
    """Return whether the domain has not reported lately."""
    return load.age_s > STALE_S


@closing_rules.register('full')
def is_full(load: DomainLoad) -> bool:
    """Return whether the domain needs its slots for its own callers."""
    return _room(load) <= 0


def decide_shares(
    here: DomainLoad,
    others: Sequence[DomainLoad],
    before: DomainDecision | None = None,
) -> DomainDecision:
    """Return what may leave ``here`` for each of the other domains.

    ``before`` is the decision before this one, which bounds the rise.

    >>> busy = DomainLoad('here', slots=20, used=20, offered=30)
    >>> idle = DomainLoad('there', slots=20, used=4, offered=4)
    >>> decide_shares(busy, [idle]).pairs['there'].reason
    'short'
    >>> decide_shares(busy, [idle._replace(offered=17)]).pairs['there'].share
    0.0
    """
    pairs = {
        other.domain: _grant(here, other, others, before) for other in others
    }
    granted = sum(pair.slots for pair in pairs.values())
    share = 1.0
    if here.slots > 0:
        share = min(1.0, granted / max(1.0, _need(here)))
    return DomainDecision(
        min(_need(here, PUSH_USE), granted) / max(1, here.offered),
        {
            domain: pair._replace(share=share if pair.part > 0 else 0.0)
            for domain, pair in pairs.items()
        },
        {other.domain: other.age_s for other in others},
    )


def _grant(
    here: DomainLoad,
    other: DomainLoad,
    others: Sequence[DomainLoad],
    before: DomainDecision | None,
) -> PairShare:
    """Return the slots that another domain grants; the share is set later."""
    reason = _closing_reason(other)
    if here.slots <= 0 and reason not in {'out', 'none'}:
        return PairShare(max(0.0, _free_slots(other)), 0.0, 1.0, NO_LOCAL)
    if reason:
        return PairShare(0.0, 0.0, 0.0, reason)
    part = _part(here, other, others)
    free = _free_slots(other) * part
    bound = min(_room(other) * part, other.sent + free)
    slots = min(bound, _rise_max(other, free, before))
    return PairShare(
        max(0.0, slots), 0.0, part, 'short' if _need(here) > 0 else 'spare'
    )


def _closing_reason(load: DomainLoad) -> str:
    """Return why the domain offers no slots; empty if it does."""
    for reason, rule in closing_rules.entries.items():
        if rule(load):
            return reason
    return ''


def _part(
    here: DomainLoad, other: DomainLoad, others: Sequence[DomainLoad]
) -> float:
    """Return this domain's part of what another offers, by their needs."""
    need = max(1.0, _need(here))
    return need / (
        need
        + sum(_need(third) for third in others if third.domain != other.domain)
    )


def _rise_max(
    other: DomainLoad, free: float, before: DomainDecision | None
) -> float:
    """Return the most slots that the last report allows.

    The same report as at the last decision allows no rise.
    """
    rise = min(max(0.0, free), max(RISE_MIN_SLOTS, RISE_PER_REPORT * free))
    known = before.pairs.get(other.domain) if before else None
    if before is None or known is None:
        return rise
    if other.age_s > before.age_s[other.domain]:
        return known.slots
    return known.slots + rise


def _need(load: DomainLoad, use: float = USE_MAX) -> float:
    """Return the slots that the domain's callers need beyond its own.

    Of its own, they use the ratio ``use``.

    The work of a domain that has not reported lately is unknown.
    """
    if is_stale(load):
        return 0.0
    return max(0.0, load.offered - use * load.slots)


def _room(load: DomainLoad) -> float:
    """Return the slots that the domain's own callers leave to others."""
    return USE_MAX * load.slots - load.offered


def _free_slots(load: DomainLoad) -> float:
    """Return the slots that nobody uses; negative if more are in use."""
    return USE_MAX * load.slots - load.used


def leave_gain(*, has_local: bool, is_late: bool) -> float:
    """Return what leaving gains, in relation to a request's worth.

    ``has_local`` tells whether a local upstream has a place, where the request
    would be late, and ``is_late`` whether it would be late elsewhere.

    >>> leave_gain(has_local=True, is_late=False)
    1.0
    """
    if not is_late:
        return 1.0
    return 0.0 if has_local else LATE_WORTH
