"""Whether an upstream has capacity for a request of a given tier.

Two resources are reserved for higher tiers: a share of the slots, and a
short prefill backlog on some upstreams, which are called unblocked.
"""

from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from bluebellhub.registry import Registry, make_registry
from bluebellhub.request import Request
from bluebellhub.routing import Candidate
from bluebellhub.scheduler.room import has_shared_room, ramped_slots
from bluebellhub.scheduler.state import (
    Scheduler,
    upstreams_for,
)
from bluebellhub.upstream import (
    Upstream,
    backlog_tokens,
    is_straggler,
    prefill_rate,
)

__all__ = [
    'Placement',
    'disciplines',
    'full_window_slots',
    'has_capacity',
    'prefer_unblocked',
    'unblocked_names',
    'unused_window_slots',
    'usable_slots',
]

HEADROOM_SHARE_PER_RANK: Final = 0.06
STRAGGLER_SLOTS: Final = 1
UNBLOCKED_SHARE_MIN: Final = 0.2
UNBLOCKED_SHARE_MAX: Final = 0.6
UNBLOCKED_SHARE_INCREASE: Final = 0.06
UNBLOCKED_SHARE_DECREASE: Final = 0.0003
UNBLOCKED_MIN_UPSTREAMS: Final = 3
UNBLOCKED_BACKLOG_MAX_S: Final = 0.12
UNBLOCKED_FIRST_TOKEN_SHARE: Final = 0.4
BACKLOG_MAX_S: Final = 0.3
STEP_TIME_SHARE: Final = 0.95
URGENT_WAIT_SHARE: Final = 0.5


class Placement(NamedTuple):
    """A request and a candidate upstream for it.

    ``peers`` are the upstreams that serve the same target; ``unblocked``
    names those that receive no long prefill of lower tiers.
    """

    scheduler: Scheduler
    upstream: Upstream
    peers: Sequence[Upstream]
    unblocked: frozenset[str]
    request: Request
    candidate: Candidate
    now_s: float


Discipline = Callable[[Placement], bool]

disciplines: Registry[Discipline] = make_registry('scheduling discipline')


def full_window_slots(upstream: Upstream, now_s: float) -> int:
    """Return all slots of the upstream, for a VM that is alone."""
    return upstream.window.slots


def unused_window_slots(upstream: Upstream, now_s: float) -> int:
    """Return the slots that other VMs, by their last reports, do not use."""
    return max(0, upstream.window.slots - upstream.other_vms_work)


def usable_slots(scheduler: Scheduler, upstream: Upstream, now_s: float) -> int:
    """Return the number of slots that this VM may use now.

    After a failure domain has returned to service, its slots ramp up.
    """
    slots = min(scheduler.slots(upstream, now_s), upstream.window.slots)
    return min(slots, ramped_slots(scheduler, upstream, now_s))


def has_capacity(placement: Placement) -> bool:
    """Return whether the scheduling discipline admits the request."""
    return disciplines.find(placement.scheduler.options.discipline)(placement)


@disciplines.register('immediate')
def admit_all(placement: Placement) -> bool:
    """Admit every request at once, as a hub without queues would.

    Only the window of a cold upstream limits it.
    """
    upstream = placement.upstream
    if upstream.window.phase == 'cold':
        return len(upstream.work) < upstream.window.slots
    return True


@disciplines.register('tiered')
def admit_by_tier(placement: Placement) -> bool:
    """Admit within the usable slots, with headroom for higher tiers.

    A request with a prompt must also be in time for its tier, on an upstream
    that decodes fast enough and has a short prefill backlog.
    """
    if not _has_slot(placement):
        return False
    if placement.request.prompt_tokens == 0:
        return True
    return (
        _is_in_time(placement)
        and _decodes_fast_enough(placement)
        and _is_backlog_short(placement)
    )


@disciplines.register('shared')
def admit_shared(placement: Placement) -> bool:
    """Admit where a slot is free, or will be before the request arrives.

    Nothing is sent to the end of a queue.  A late request gets a slot that is
    free now.
    """
    scheduler = placement.scheduler
    upstream = placement.upstream
    target = placement.request.target
    if not has_shared_room(scheduler, target, upstream, placement.now_s):
        return False
    slots = ramped_slots(scheduler, upstream, placement.now_s)
    is_free = slots - len(upstream.work) - upstream.other_vms_work >= 1
    return is_free or not placement.candidate.is_late


def _has_slot(placement: Placement) -> bool:
    """Return whether a slot is free; a straggler has one slot.

    Sets the flag ``starved`` if the lease was too small.
    """
    upstream = placement.upstream
    slots = usable_slots(placement.scheduler, upstream, placement.now_s)
    if is_straggler(upstream, placement.peers):
        slots = min(slots, STRAGGLER_SLOTS)
    if _fits(placement, slots):
        return True
    if slots < upstream.window.slots:
        placement.scheduler.flags['starved'] = True
    return False


def _fits(placement: Placement, slots: int) -> bool:
    """Return whether a slot is free that is not reserved for higher tiers."""
    rank = placement.request.tier.rank
    headroom = int(slots * HEADROOM_SHARE_PER_RANK * rank + 0.5)
    return len(placement.upstream.work) < slots - headroom


def _is_in_time(placement: Placement) -> bool:
    """Return whether the first token will be in time.

    A resumed request, whose first token was sent already, is always in time.
    """
    candidate = placement.candidate
    first_at_s = placement.now_s + candidate.predicted_s
    return candidate.resumed or first_at_s <= placement.request.deadline_s


def _decodes_fast_enough(placement: Placement) -> bool:
    """Return whether the upstream decodes fast enough for the tier.

    If all peers are too slow, every upstream is accepted.
    """
    limit_s = placement.request.tier.between_tokens_s * STEP_TIME_SHARE
    if placement.upstream.speed.step_s <= limit_s:
        return True
    return all(peer.speed.step_s > limit_s for peer in placement.peers)


def _is_backlog_short(placement: Placement) -> bool:
    """Return whether the prefill backlog, in seconds, is short enough.

    The highest tier is admitted everywhere.  On unblocked upstreams the
    limit is lower and includes the prefill of the request itself.  On the
    others, an urgent request is admitted with any backlog.
    """
    request = placement.request
    if request.tier.rank == 0:
        return True
    upstream = placement.upstream
    rate = prefill_rate(upstream, placement.now_s)
    backlog_s = backlog_tokens(upstream, placement.now_s) / rate
    if upstream.spec.name in placement.unblocked:
        after_s = backlog_s + placement.candidate.uncached_tokens / rate
        return after_s <= UNBLOCKED_BACKLOG_MAX_S
    return backlog_s <= BACKLOG_MAX_S or _is_urgent(request, placement.now_s)


def _is_urgent(request: Request, now_s: float) -> bool:
    """Return whether half of the time to the first token has passed."""
    waited_s = now_s - request.arrived_at_s
    return waited_s > URGENT_WAIT_SHARE * request.tier.first_token_s


def unblocked_names(
    scheduler: Scheduler, target: str, peers: Sequence[Upstream]
) -> frozenset[str]:
    """Return the names of the upstreams that receive no long prefill.

    These are the fastest by their settings.  All VMs sort the upstreams
    alike, so they agree on the names without a message.
    """
    if len(peers) < UNBLOCKED_MIN_UPSTREAMS:
        return frozenset()
    share = scheduler.unblocked_shares.get(target, UNBLOCKED_SHARE_MIN)
    unblocked = max(1, round(len(peers) * share))
    fastest = sorted(peers, key=_speed_order)
    return frozenset(peer.spec.name for peer in fastest[:unblocked])


def _speed_order(upstream: Upstream) -> tuple[float, str]:
    """Return a sort key: fastest prefill first, then by name."""
    return -upstream.spec.prefill_tokens_per_s, upstream.spec.name


def prefer_unblocked(
    scheduler: Scheduler, request: Request, candidates: list[Candidate]
) -> list[Candidate]:
    """Restrict the top tier to unblocked upstreams that are fast enough.

    On the others, another VM may just have sent a long prompt that is not
    in the predictions yet.  If no unblocked upstream is fast enough, return
    all candidates.
    """
    if request.tier.rank > 0 or scheduler.options.discipline != 'tiered':
        return candidates
    names = unblocked_names(
        scheduler, request.target, upstreams_for(scheduler, request.target)
    )
    bound_s = request.tier.first_token_s * UNBLOCKED_FIRST_TOKEN_SHARE
    fast = [
        candidate
        for candidate in candidates
        if candidate.upstream in names and candidate.predicted_s <= bound_s
    ]
    _adapt_unblocked_share(scheduler, request.target, enough=bool(fast))
    return fast or candidates


def _adapt_unblocked_share(
    scheduler: Scheduler, target: str, *, enough: bool
) -> None:
    """Raise the share of unblocked upstreams if too few are fast, else lower.

    The steps cancel out if about one request in a hundred finds none that is
    fast enough.
    """
    share = scheduler.unblocked_shares.get(target, UNBLOCKED_SHARE_MIN)
    share += -UNBLOCKED_SHARE_DECREASE if enough else UNBLOCKED_SHARE_INCREASE
    bounded = min(max(share, UNBLOCKED_SHARE_MIN), UNBLOCKED_SHARE_MAX)
    scheduler.unblocked_shares[target] = bounded
