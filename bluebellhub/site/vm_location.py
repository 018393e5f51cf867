"""Where a VM listens and which failure domain it is in."""

from typing import Final, NamedTuple

__all__ = ['VmLocation', 'unannounced_version']

OLDEST_VERSION: Final = 1
# The version since which VMs forward requests to each other.
FORWARDING_VERSION: Final = 2


class VmLocation(NamedTuple):
    """The IP address and port where a VM listens, and its failure domain.

    Other VMs send it requests of their callers at ``forward_address``; it is
    empty if the VM takes none. ``message_version`` is the version of the
    messages that it reads.
    """

    address: str = ''
    domain: str = ''
    forward_address: str = ''
    message_version: int = OLDEST_VERSION


def unannounced_version(forward_address: str) -> int:
    """Return the version that a VM reads which announces none.

    Its build is older than these announcements.

    >>> unannounced_version('')
    1
    """
    return FORWARDING_VERSION if forward_address else OLDEST_VERSION
