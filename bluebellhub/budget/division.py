"""Registry of the ways to divide a budget among its holders."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from bluebellhub.registry import Registry, make_registry

__all__ = ['Demand', 'divide', 'divisions']


class Demand(NamedTuple):
    """The amounts that a holder wants and uses, in the unit of the budget."""

    wanted: float
    in_use: float = 0.0


Division = Callable[[str, float, Mapping[str, Demand]], dict[str, float]]

divisions: Registry[Division] = make_registry('division')


def divide(
    name: str, key: str, limit: float, demands: Mapping[str, Demand]
) -> dict[str, float]:
    """Return each holder's share by the division registered as ``name``."""
    return divisions.find(name)(key, limit, demands)


@divisions.register('real')
def divide_real(
    key: str, limit: float, demands: Mapping[str, Demand]
) -> dict[str, float]:
    """Return max-min fair shares; the remainder is spread evenly.

    >>> divide_real('k', 9.0, {'a': Demand(1.0), 'b': Demand(20.0)})
    {'a': 1.0, 'b': 8.0}
    """
    shares: dict[str, float] = {}
    remaining = limit
    ascending = sorted(demands, key=lambda name: (demands[name].wanted, name))
    for index, name in enumerate(ascending):
        even_share = remaining / (len(ascending) - index)
        shares[name] = min(demands[name].wanted, even_share)
        remaining -= shares[name]
    spare = remaining / max(1, len(demands))
    return {name: share + spare for name, share in shares.items()}


@divisions.register('whole')
def divide_whole(
    key: str, limit: float, demands: Mapping[str, Demand]
) -> dict[str, float]:
    """Return max-min fair shares in whole numbers.

    The units left by rounding go first to holders that use the budget, then
    to those that want it, by the largest fraction.  Ties are broken by a
    hash of budget and holder, so that they don't favour the same holders in
    every budget.
    """
    exact = divide_real(key, float(int(limit)), demands)
    shares = {name: float(int(share)) for name, share in exact.items()}
    remaining = int(limit) - int(sum(shares.values()))
    order = sorted(
        exact, key=lambda name: _rounding_priority(key, name, exact, demands)
    )
    for name in order[:remaining]:
        shares[name] += 1.0
    return shares


def _rounding_priority(
    key: str,
    name: str,
    exact: Mapping[str, float],
    demands: Mapping[str, Demand],
) -> tuple[bool, bool, float, int]:
    """Return the key that orders holders for the units left by rounding."""
    demand = demands[name]
    fraction = exact[name] - int(exact[name])
    order = xxh3_64_intdigest(f'{key}|{name}'.encode())
    return demand.in_use <= 0, demand.wanted <= 0, -fraction, order


@divisions.register('copy')
def divide_copy(
    key: str, limit: float, demands: Mapping[str, Demand]
) -> dict[str, float]:
    """Return the limit for every holder.

    This suits a ratio, which each holder can keep on its own.
    """
    return dict.fromkeys(demands, limit)
