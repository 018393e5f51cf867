"""Ways to divide a budget among its holders, a registry."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from bluebellhub.registry import Registry, make_registry

__all__ = ['Demand', 'divide', 'divisions']


class Demand(NamedTuple):
    """What a holder asked for last, in the budget's unit."""

    wanted: float
    in_use: float = 0.0


Division = Callable[[str, float, Mapping[str, Demand]], dict[str, float]]

divisions: Registry[Division] = make_registry('division')


def divide(
    name: str, key: str, limit: float, demands: Mapping[str, Demand]
) -> dict[str, float]:
    """Divide ``limit`` by the division called ``name``."""
    return divisions.find(name)(key, limit, demands)


@divisions.register('real')
def divide_real(
    key: str, limit: float, demands: Mapping[str, Demand]
) -> dict[str, float]:
    """Satisfy small demands first; spread what is left evenly.

    >>> divide_real('k', 9.0, {'a': Demand(1.0), 'b': Demand(20.0)})
    {'a': 1.0, 'b': 8.0}
    """
    shares: dict[str, float] = {}
    left = limit
    waiting = sorted(demands, key=lambda name: (demands[name].wanted, name))
    for place, name in enumerate(waiting):
        fair = left / (len(waiting) - place)
        shares[name] = min(demands[name].wanted, fair)
        left -= shares[name]
    spare = left / max(1, len(demands))
    return {name: share + spare for name, share in shares.items()}


@divisions.register('whole')
def divide_whole(
    key: str, limit: float, demands: Mapping[str, Demand]
) -> dict[str, float]:
    """Divide into whole numbers.

    What rounding leaves goes to the holders that use or want the budget,
    in an order that differs from budget to budget.
    """
    real = divide_real(key, float(int(limit)), demands)
    shares = {name: float(int(share)) for name, share in real.items()}
    left = int(limit) - int(sum(shares.values()))
    order = sorted(real, key=lambda name: _turn(key, name, real, demands))
    for name in order[:left]:
        shares[name] += 1.0
    return shares


def _turn(
    key: str,
    name: str,
    real: Mapping[str, float],
    demands: Mapping[str, Demand],
) -> tuple[bool, bool, float, int]:
    demand = demands[name]
    fraction = real[name] - int(real[name])
    order = xxh3_64_intdigest(f'{key}|{name}'.encode())
    return demand.in_use <= 0, demand.wanted <= 0, -fraction, order


@divisions.register('copy')
def divide_copy(
    key: str, limit: float, demands: Mapping[str, Demand]
) -> dict[str, float]:
    """Give every holder the limit: for a ratio that each keeps alone."""
    return dict.fromkeys(demands, limit)
