"""Where a VM is."""

from typing import NamedTuple

__all__ = ['VmLocation']


class VmLocation(NamedTuple):
    """The IP number and port where a VM listens, and its failure domain."""

    address: str = ''
    domain: str = ''
