"""Whether an upstream has room for some request for a target.

This is known without a look at any request.
"""

from collections.abc import Callable

from bluebellhub.failure_domain import ramp_share
from bluebellhub.registry import Registry, make_registry
from bluebellhub.scheduler.credit import share_of
from bluebellhub.scheduler.shares import expected_free
from bluebellhub.scheduler.state import Scheduler
from bluebellhub.upstream import Upstream

__all__ = ['has_shared_room', 'may_have_room', 'ramped_slots', 'room_rules']

RoomRule = Callable[[Scheduler, str, Upstream, float], bool]

# By discipline; those without a rule always look at the request.
room_rules: Registry[RoomRule] = make_registry('room rule')


def ramped_slots(scheduler: Scheduler, upstream: Upstream, now_s: float) -> int:
    """Return the slots of the upstream that all VMs may use now."""
    ramping = scheduler.ramping_domains.get(upstream.spec.failure_domain)
    if ramping is None:
        return upstream.window.slots
    domain, since_s = ramping
    share = ramp_share(domain, now_s - since_s)
    return max(1, int(upstream.window.slots * share))


@room_rules.register('shared')
def has_shared_room(
    scheduler: Scheduler, target: str, upstream: Upstream, now_s: float
) -> bool:
    """Return whether a slot is free, or will be before a request arrives."""
    slots = ramped_slots(scheduler, upstream, now_s)
    if len(upstream.work) >= slots:
        return False
    if slots - len(upstream.work) - upstream.other_vms_work >= 1:
        return True
    share = share_of(scheduler, target)
    return expected_free(share, upstream, slots, now_s) > 0


def may_have_room(
    scheduler: Scheduler, target: str, upstream: Upstream, now_s: float
) -> bool:
    """Return false if no request at all would be admitted at the upstream.

    Under overload that is so for most upstreams, and it costs less to find out
    than how a request would do there.
    """
    rule = room_rules.entries.get(scheduler.options.discipline)
    return rule is None or rule(scheduler, target, upstream, now_s)
