"""Validation of addresses, which consist of an IP address and a port."""

from ipaddress import ip_address
from typing import Final

from bluebellhub.errors import SettingsError

__all__ = ['check_address']

PORT_MAX: Final = 65_535


def check_address(address: str, field: str) -> None:
    """Raise `SettingsError` unless ``address`` is an IP address and a port."""
    expected = 'an IP address and a port, such as 10.0.0.7:8100'
    host, _, port = address.rpartition(':')
    try:
        ip_address(host.strip('[]'))
    except ValueError:
        raise SettingsError(field, address, expected) from None
    if not port.isdecimal() or not 0 < int(port) <= PORT_MAX:
        raise SettingsError(field, address, expected)
