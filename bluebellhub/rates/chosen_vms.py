"""Which VMs may use an upstream that sustains too little for all of them."""

from collections.abc import Iterable

import xxhash

__all__ = ['chosen_vms']


def chosen_vms(upstream: str, vms: Iterable[str], most: int) -> list[str]:
    """Return at most ``most`` VMs, the same ones on every VM.

    They are chosen by a hash of both names, so no message is needed and
    different upstreams get different VMs. There is at least one.
    """
    ordered = sorted(
        set(vms),
        key=lambda name: xxhash.xxh64_intdigest(f'{upstream}/{name}'.encode()),
    )
    return ordered[: max(1, most)]
