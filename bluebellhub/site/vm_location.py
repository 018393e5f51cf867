"""Where a VM listens and which failure domain it is in."""

from typing import NamedTuple

__all__ = ['VmLocation']


class VmLocation(NamedTuple):
    """The IP address and port where a VM listens, and its failure domain.

    Other VMs send it requests of their callers at ``forward_address``; it is
    empty if the VM takes none.
    """

    address: str = ''
    domain: str = ''
    forward_address: str = ''
