"""Which VMs watch the store, and whom they send its changes to.

From 17 VMs on, the first two live VMs of each failure domain relay the changes
of the store to the others. The second one stands by: it relays as well, but
confirms its positions less often while the first one hears the store.
"""

from functools import lru_cache
from typing import Final

import xxhash

from bluebellhub.site.grid import ROW_MAX, local_vm_names
from bluebellhub.site.liveness import live_vm_names
from bluebellhub.site.relay_reports import last_confirmed_s
from bluebellhub.site.state import Site

__all__ = [
    'change_recipients',
    'has_relays',
    'is_known_relay',
    'is_relay',
    'local_order',
    'other_local_vms',
    'stands_by',
]

RELAY_COUNT: Final = 2
# A VM that starts knows after this time which others are live.
START_S: Final = 1.5
# A relay that is relieved goes on until its successor has read everything.
LINGER_S: Final = 3.0
# The first relay hears the store every 1.2 s and tells so every 0.5 s. If it
# does not, the second one takes over before the other VMs fall back.
STANDBY_AGE_MAX_S: Final = 1.8
# Changes up to the first size come from both relays. Those up to the second
# come from one: at 5 Mbit/s half of a domain of 65 VMs takes 0.8 s. Each VM
# reads larger ones from the store.
BOTH_MAX_BYTES: Final = 2048
RELAYED_MAX_BYTES: Final = 16_384


def has_relays(site: Site) -> bool:
    """Return whether the fleet is large enough for relays."""
    return len(site.vms) > ROW_MAX


@lru_cache(maxsize=8)
def _relay_order(names: tuple[str, ...]) -> tuple[str, ...]:
    """Return the VMs of a domain in the order in which they become relays."""
    return tuple(
        sorted(
            names,
            key=lambda name: xxhash.xxh64_intdigest(
                f'store-relay/{name}'.encode()
            ),
        )
    )


def local_order(site: Site) -> tuple[str, ...]:
    """Return the VMs of this failure domain, the first relays first."""
    return _relay_order(tuple(local_vm_names(site.flags['grid'])))


def other_local_vms(site: Site) -> list[str]:
    """Return the other VMs of this failure domain, live or not."""
    return [name for name in local_order(site) if name != site.vm]


def _first_live(site: Site, now_s: float) -> list[str]:
    live = {site.vm, *live_vm_names(site, now_s)}
    order = [name for name in local_order(site) if name in live]
    return order[:RELAY_COUNT]


def is_relay(site: Site, now_s: float) -> bool:
    """Return whether this VM watches the store for its failure domain."""
    if not has_relays(site) or now_s - site.started_at_s < START_S:
        return False
    flags = site.store_relays.flags
    if site.vm in _first_live(site, now_s):
        flags['relay_until_s'] = now_s + LINGER_S
    return now_s <= flags['relay_until_s']


def stands_by(site: Site, now_s: float) -> bool:
    """Return whether a better relay hears the store, so that this one may wait.

    Its watches then wait longer; they still return changes at once.
    """
    reports = site.store_relays.reports
    order = local_order(site)
    return any(
        now_s - last_confirmed_s(reports[name]) <= STANDBY_AGE_MAX_S
        for name in order[: order.index(site.vm)]
        if name in reports
    )


def is_known_relay(site: Site, sender: str) -> bool:
    """Return whether this VM accepts what ``sender`` says about the store."""
    return has_relays(site) and sender in other_local_vms(site)


def change_recipients(site: Site, size: int, now_s: float) -> list[str]:
    """Return the VMs that this relay sends changes of ``size`` bytes to."""
    others = other_local_vms(site)
    if size > RELAYED_MAX_BYTES:
        return []
    relays = _first_live(site, now_s)
    if size <= BOTH_MAX_BYTES or len(relays) < RELAY_COUNT:
        return others
    if site.vm not in relays:
        return []
    return others[relays.index(site.vm) :: RELAY_COUNT]
