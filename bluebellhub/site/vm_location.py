"""Where a VM listens and which failure domain it is in."""

from typing import NamedTuple

__all__ = ['VmLocation']


class VmLocation(NamedTuple):
    """The IP address and port where a VM listens, and its failure domain."""

    address: str = ''
    domain: str = ''
