"""Leases held by this VM: the limits that they set, and their renewal."""

from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import Final

from bluebellhub.admission import size
from bluebellhub.budget import (
    Renewal,
    RenewalBatch,
    begin_renewal,
    leased_amount,
)
from bluebellhub.contract import AccountLimits, Contract
from bluebellhub.fleet.budget_kinds import UNLEASED_SHARE
from bluebellhub.fleet.messages import Outgoing
from bluebellhub.fleet.state import Fleet, map_members
from bluebellhub.membership import owner_of
from bluebellhub.scheduler import Scheduler
from bluebellhub.scheduler.state import signals_of
from bluebellhub.upstream import Upstream, pending_tokens

__all__ = ['leased_limits', 'leased_slots', 'renew']

PEAK_DECAY_RATIO: Final = 0.8  # per renewal


def leased_slots(fleet: Fleet) -> Callable[[Upstream, float], int]:
    """Return a slot source that is limited by this VM's leases."""

    def slots(upstream: Upstream, now_s: float) -> int:
        key = f'window:{upstream.spec.name}'
        return int(leased_amount(fleet.holder, key, now_s))

    return slots


def leased_limits(
    fleet: Fleet, contract: Contract, now_s: float
) -> AccountLimits:
    """Return this VM's part of the limits of a client account.

    A quarter of the contract is divided evenly among the VMs, so that each
    can serve an account's first request.  The rest is leased by demand.
    """
    vm_count = max(1, len(map_members(fleet)))
    account = contract.account
    rate = contract.rate_per_s * UNLEASED_SHARE / vm_count
    rate += leased_amount(fleet.holder, f'rate:{account}', now_s)
    running = max(1, int(contract.concurrency * UNLEASED_SHARE / vm_count))
    running += int(leased_amount(fleet.holder, f'concurrency:{account}', now_s))
    return AccountLimits(rate, running)


def renew(fleet: Fleet, now_s: float) -> None:
    """Send a batch of renewals to each owner of a budget in use."""
    shard_map = fleet.members.state['shard_map']
    batches: defaultdict[str, list[Renewal]] = defaultdict(list)
    for renewal in _renewals(fleet, now_s):
        owner = owner_of(shard_map, renewal.key)
        if owner is not None:
            batches[owner].append(renewal)
    number = begin_renewal(fleet.holder, now_s)
    for owner, renewals in batches.items():
        applied = fleet.holder.applied.get(owner, 0)
        batch = RenewalBatch(number, applied, shard_map.version, renewals)
        fleet.outbox.messages.append(Outgoing(owner, batch))


def _renewals(fleet: Fleet, now_s: float) -> Iterator[Renewal]:
    """Yield the renewals for all upstreams, accounts and version moves."""
    for name in fleet.scheduler.upstreams:
        yield _make_window_renewal(fleet, name, now_s)
    for account in fleet.scheduler.account_usage:
        yield from _make_account_renewals(fleet, account, now_s)
    for model in fleet.scheduler.moves:
        yield _make_renewal(fleet, f'share:{model}', 1.0, 0.0, now_s)


def _make_renewal(
    fleet: Fleet, key: str, demand: float, in_use: float, now_s: float
) -> Renewal:
    """Return a renewal that reports the current lease."""
    lease = fleet.holder.leases.get(key)
    held_amount = leased_amount(fleet.holder, key, now_s)
    held_for_s = lease.expires_at_s - now_s if lease and held_amount else 0.0
    return Renewal(key, demand, in_use, held_amount, held_for_s)


def _make_window_renewal(fleet: Fleet, name: str, now_s: float) -> Renewal:
    """Return the renewal for an upstream's window.

    Resets the peak use and the observations that the renewal reports.
    """
    scheduler = fleet.scheduler
    upstream = scheduler.upstreams[name]
    signals = signals_of(scheduler, name)
    in_use = len(upstream.work)
    peak = max(in_use, signals['peak'])
    key = f'window:{name}'
    wanted = peak + _queued_share(scheduler, upstream)
    decayed_peak = max(
        wanted, fleet.peak_demand.get(key, 0.0) * PEAK_DECAY_RATIO
    )
    fleet.peak_demand[key] = decayed_peak
    renewal = _make_renewal(fleet, key, decayed_peak, in_use, now_s)._replace(
        on_time=signals['on_time'],
        late=signals['late'],
        restarts=signals['restarts'],
        pending_tokens=pending_tokens(upstream),
    )
    signals['on_time'] = 0
    signals['late'] = 0
    signals['restarts'] = 0
    signals['peak'] = in_use
    return renewal


def _queued_share(scheduler: Scheduler, upstream: Upstream) -> float:
    """Return the upstream's share of the requests that wait for a slot."""
    queued = 0.0
    for target in upstream.spec.targets:
        queue = scheduler.queues.get(target)
        names = scheduler.by_target.get(target)
        if queue is not None and names:
            queued += size(queue) / len(names)
    return queued


def _make_account_renewals(
    fleet: Fleet, account: str, now_s: float
) -> Iterator[Renewal]:
    """Yield the renewals for an account's concurrency and rate."""
    use = fleet.scheduler.account_usage[account]
    key = f'concurrency:{account}'
    decayed_peak = max(
        use.in_progress, fleet.peak_demand.get(key, 0.0) * PEAK_DECAY_RATIO
    )
    fleet.peak_demand[key] = decayed_peak
    running = float(use.in_progress)
    yield _make_renewal(fleet, key, decayed_peak + 1, running, now_s)
    rate_key = f'rate:{account}'
    wanted = use.demand_per_s
    yield _make_renewal(fleet, rate_key, wanted, 0.0, now_s)
