"""The holder's side: what this VM may spend, and its renewals."""

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
from bluebellhub.fleet.budget_kinds import FLOOR_SHARE
from bluebellhub.fleet.messages import Outgoing
from bluebellhub.fleet.state import Fleet, map_members
from bluebellhub.membership import owner_of
from bluebellhub.scheduler import Scheduler
from bluebellhub.scheduler.state import signals_of
from bluebellhub.upstream import Upstream, pending_tokens

__all__ = ['leased_limits', 'leased_slots', 'renew']

FADE: Final = 0.8


def leased_slots(fleet: Fleet) -> Callable[[Upstream, float], int]:
    """Return the slot source that spends this VM's leases."""

    def slots(upstream: Upstream, now_s: float) -> int:
        key = f'window:{upstream.spec.name}'
        return int(leased_amount(fleet.holder, key, now_s))

    return slots


def leased_limits(
    fleet: Fleet, contract: Contract, now_s: float
) -> AccountLimits:
    """Return this VM's part of an account's limits.

    A quarter of the contract is divided evenly, so that a VM can serve an
    account's first request; the rest is leased by demand.
    """
    vms = max(1, len(map_members(fleet)))
    account = contract.account
    rate = contract.rate_per_s * FLOOR_SHARE / vms
    rate += leased_amount(fleet.holder, f'rate:{account}', now_s)
    running = max(1, int(contract.concurrency * FLOOR_SHARE / vms))
    running += int(leased_amount(fleet.holder, f'concurrency:{account}', now_s))
    return AccountLimits(rate, running)


def renew(fleet: Fleet, now_s: float) -> None:
    """Send one batch of renewals to every owner of a budget in use."""
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
    for name in fleet.scheduler.upstreams:
        yield _renew_window(fleet, name, now_s)
    for account in fleet.scheduler.account_usage:
        yield from _renew_account(fleet, account, now_s)
    for model in fleet.scheduler.moves:
        yield _make_renewal(fleet, f'share:{model}', 1.0, 0.0, now_s)


def _make_renewal(
    fleet: Fleet, key: str, demand: float, in_use: float, now_s: float
) -> Renewal:
    lease = fleet.holder.leases.get(key)
    held = leased_amount(fleet.holder, key, now_s)
    held_for_s = lease.until_s - now_s if lease and held else 0.0
    return Renewal(key, demand, in_use, held, held_for_s)


def _renew_window(fleet: Fleet, name: str, now_s: float) -> Renewal:
    scheduler = fleet.scheduler
    upstream = scheduler.upstreams[name]
    signals = signals_of(scheduler, name)
    in_use = len(upstream.work)
    peak = max(in_use, signals['peak'])
    key = f'window:{name}'
    wanted = peak + _queued_for(scheduler, upstream)
    high = max(wanted, fleet.highs.get(key, 0.0) * FADE)
    fleet.highs[key] = high
    renewal = _make_renewal(fleet, key, high, in_use, now_s)._replace(
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


def _queued_for(scheduler: Scheduler, upstream: Upstream) -> float:
    """Return the upstream's part of the requests that wait for a slot."""
    waiting = 0.0
    for target in upstream.spec.targets:
        queue = scheduler.queues.get(target)
        if queue is not None:
            waiting += size(queue) / len(scheduler.by_target[target])
    return waiting


def _renew_account(
    fleet: Fleet, account: str, now_s: float
) -> Iterator[Renewal]:
    use = fleet.scheduler.account_usage[account]
    key = f'concurrency:{account}'
    high = max(use.in_progress, fleet.highs.get(key, 0.0) * FADE)
    fleet.highs[key] = high
    running = float(use.in_progress)
    yield _make_renewal(fleet, key, high + 1, running, now_s)
    rate_key = f'rate:{account}'
    wanted = use.demand_per_s
    yield _make_renewal(fleet, rate_key, wanted, 0.0, now_s)
