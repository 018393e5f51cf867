"""Whether an upstream has room for a request of a given tier.

Two things are held back for higher tiers: a share of the slots, and a short
prefill backlog on some of the upstreams.
"""

from collections.abc import Callable, Sequence
from typing import Final

from bluebellhub.failure_domain import ramp_share
from bluebellhub.registry import Registry, make_registry
from bluebellhub.request import Ask
from bluebellhub.routing import Candidate
from bluebellhub.scheduler.state import Scheduler
from bluebellhub.upstream import (
    Upstream,
    backlog_tokens,
    is_straggler,
)

__all__ = ['disciplines', 'has_room', 'usable_slots', 'whole_window']

HEADROOM_SHARE_PER_RANK: Final = 0.06
PROBE_SLOTS: Final = 1
CLEAR_SHARE: Final = 5
CLEAR_MIN_UPSTREAMS: Final = 3
CLEAR_BACKLOG_S: Final = 0.05
BULK_BACKLOG_S: Final = 0.15
RHYTHM_SHARE: Final = 0.95

Discipline = Callable[
    [Scheduler, Upstream, Sequence[Upstream], Ask, Candidate, float], bool
]

disciplines: Registry[Discipline] = make_registry('admission discipline')


def whole_window(upstream: Upstream, now_s: float) -> int:
    """Return all slots of the upstream: the source for a single VM."""
    return upstream.window.slots


def usable_slots(
    scheduler: Scheduler, upstream: Upstream, now_s: float
) -> int:
    """Return this VM's slots; fewer while a failure domain comes back."""
    slots = min(scheduler.slots(upstream, now_s), upstream.window.slots)
    back = scheduler.domains_back.get(upstream.spec.failure_domain)
    if back is None:
        return slots
    domain, since_s = back
    share = ramp_share(domain, now_s - since_s)
    return min(slots, max(1, int(upstream.window.slots * share)))


def has_room(
    scheduler: Scheduler,
    upstream: Upstream,
    peers: Sequence[Upstream],
    ask: Ask,
    candidate: Candidate,
    now_s: float,
) -> bool:
    """Ask the scheduler's admission discipline."""
    discipline = disciplines.find(scheduler.plan.discipline)
    return discipline(scheduler, upstream, peers, ask, candidate, now_s)


@disciplines.register('immediate')
def admit_all(
    scheduler: Scheduler,
    upstream: Upstream,
    peers: Sequence[Upstream],
    ask: Ask,
    candidate: Candidate,
    now_s: float,
) -> bool:
    """Send everything at once, as a hub without queues would."""
    if upstream.window.phase == 'cold':
        return len(upstream.work) < upstream.window.slots
    return True


@disciplines.register('tiered')
def admit_by_tier(
    scheduler: Scheduler,
    upstream: Upstream,
    peers: Sequence[Upstream],
    ask: Ask,
    candidate: Candidate,
    now_s: float,
) -> bool:
    """Keep within the window and leave headroom for higher tiers."""
    slots = usable_slots(scheduler, upstream, now_s)
    if is_straggler(upstream, peers):
        slots = min(slots, PROBE_SLOTS)
    rank = ask.tier.rank
    headroom = int(slots * HEADROOM_SHARE_PER_RANK * rank + 0.5)
    if len(upstream.work) >= slots - headroom:
        return False
    if ask.prompt_tokens == 0:
        return True
    if now_s + candidate.predicted_s > ask.deadline_s and not candidate.resumed:
        return False
    if not _keeps_rhythm(upstream, peers, ask):
        return False
    return _is_backlog_short(upstream, peers, rank, candidate, now_s)


def _keeps_rhythm(
    upstream: Upstream, peers: Sequence[Upstream], ask: Ask
) -> bool:
    """Avoid upstreams that decode too slowly for the tier.

    When all of them are too slow, the tier takes what there is.
    """
    limit_s = ask.tier.between_tokens_s * RHYTHM_SHARE
    if upstream.speed.step_s <= limit_s:
        return True
    return all(peer.speed.step_s > limit_s for peer in peers)


def _is_backlog_short(
    upstream: Upstream,
    peers: Sequence[Upstream],
    rank: int,
    candidate: Candidate,
    now_s: float,
) -> bool:
    """Bound the prefill backlog by seconds, more tightly on clear ones."""
    rate = upstream.speed.prefill_tokens_per_s
    backlog_s = backlog_tokens(upstream, now_s) / rate
    if rank == 0:
        return True
    after_s = backlog_s + candidate.uncached_tokens / rate
    if _is_kept_clear(upstream, peers):
        return after_s <= CLEAR_BACKLOG_S
    return backlog_s == 0 or after_s <= BULK_BACKLOG_S


def _is_kept_clear(upstream: Upstream, peers: Sequence[Upstream]) -> bool:
    """One upstream in five takes no long prefill of a lower tier."""
    if len(peers) < CLEAR_MIN_UPSTREAMS:
        return False
    clear = max(1, len(peers) // CLEAR_SHARE)
    names = [peer.spec.name for peer in peers]
    return upstream.spec.name in names[:clear]
