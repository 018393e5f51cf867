"""The state of a failure domain and the ramp after its return."""

from typing import Annotated, Final, Literal, NamedTuple

import msgspec

__all__ = ['FailureDomain', 'is_out', 'ramp_share']

RAMP_START_SHARE: Final = 0.1


class FailureDomain(NamedTuple):
    """A failure domain as set by operators.

    ``ramp_s`` is the time in seconds over which the windows of its upstreams
    grow back after the domain has been put back in.
    """

    name: str
    state: Literal['in', 'out'] = 'in'
    ramp_s: Annotated[float, msgspec.Meta(ge=0)] = 10.0


def is_out(domain: FailureDomain) -> bool:
    """Return whether the domain's upstreams get no new requests."""
    return domain.state == 'out'


def ramp_share(domain: FailureDomain, since_s: float) -> float:
    """Return the usable share of a window ``since_s`` seconds after return.

    >>> ramp_share(FailureDomain('brest', ramp_s=10.0), 10.0)
    1.0
    """
    if is_out(domain):
        return 0.0
    if domain.ramp_s <= 0:
        return 1.0
    share = RAMP_START_SHARE + since_s / domain.ramp_s
    return min(1.0, share)
