"""Choice of the VM that serves the requests of one that is cut off.

VMs of the own failure domain come first, because bytes between domains cost.
Of two drawn at random the one with less work is taken.
"""

from collections.abc import Collection
from typing import Final

from bluebellhub.request import Request
from bluebellhub.request.refusal import CutOffError, NotAllowedError
from bluebellhub.site.helper_pauses import is_paused
from bluebellhub.site.liveness import live_domains, live_vm_names
from bluebellhub.site.state import Site
from bluebellhub.site.vm_location import VmLocation

__all__ = [
    'check_member',
    'choose_helper',
    'may_forward',
    'may_offer_again',
]

HELPERS_MAX: Final = 3
# Why a VM turns a forwarded request away that another VM may take.
UNABLE_REASONS: Final = frozenset(
    ('cut_off', 'draining', 'no_upstream', 'not_allowed')
)


def check_member(site: Site, ip: str) -> None:
    """Raise `NotAllowedError` unless a VM of the fleet has the address."""
    if all(
        location.address.rpartition(':')[0] != ip
        for location in site.vms.values()
    ):
        raise NotAllowedError('the sender is no VM of this fleet')


def may_forward(request: Request, error: CutOffError) -> bool:
    """Return whether another VM may take a request that is refused here.

    It must not have run yet, or be idempotent, and have attempts left.
    """
    is_safe = error.run == 'no' or request.idempotent
    return is_safe and error.attempts_left > 0


def may_offer_again(reason: str) -> bool:
    """Return whether another VM may take what one refused for this reason."""
    return reason in UNABLE_REASONS


def choose_helper(
    site: Site, tried: Collection[str], now_s: float
) -> str | None:
    """Return the VM that gets a request, or ``None`` if there is none.

    Those in ``tried`` have turned it away; after a few, no other is asked.
    """
    if len(tried) >= HELPERS_MAX:
        return None
    usable = {
        name: location
        for name, location in site.vms.items()
        if name != site.vm
        and name not in tried
        and location.forward_address
        and not is_paused(site.helpers, name, now_s)
    }
    work = _work_by_vm(site, usable, now_s)
    if not work:
        return None
    here = site.scheduler.flags['failure_domain']
    local = [name for name in work if usable[name].domain == here]
    names = sorted(local or work)
    random = site.scheduler.random
    drawn = random.sample(names, min(2, len(names)))
    return min(drawn, key=work.__getitem__)


def _work_by_vm(
    site: Site, usable: dict[str, VmLocation], now_s: float
) -> dict[str, float]:
    """Return the work of the live VMs that reach upstreams.

    Of other failure domains only the mean is known in a large fleet.
    """
    work: dict[str, float] = {}
    for name in live_vm_names(site, now_s):
        report = site.peers[name].report
        if name in usable and not report.is_cut_off:
            in_progress = sum(report.work.values())
            work[name] = float(in_progress + sum(report.queued.values()))
    for remote in live_domains(site, now_s):
        there = remote.report
        in_progress = sum(there.work.values()) + sum(there.queued.values())
        mean = in_progress / max(1, there.vm_count - len(there.cut_off))
        for name, location in usable.items():
            is_there = location.domain == there.domain
            if is_there and name not in there.cut_off:
                work.setdefault(name, mean)
    return work
