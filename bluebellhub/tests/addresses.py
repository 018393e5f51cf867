"""Chooses addresses for processes that tests start."""

import random
import socket
from contextlib import ExitStack
from typing import Final

__all__ = ['choose_addresses']

LISTENING_PORTS: Final = range(20_000, 32_000)


def choose_addresses(count: int) -> list[str]:
    """Return different addresses that nothing listens on.

    Their ports are below those of outgoing connections, so that no connection
    gets one before the process that is started with it listens.
    """
    addresses: list[str] = []
    with ExitStack() as bound:
        while len(addresses) < count:
            port = random.choice(LISTENING_PORTS)
            # It stays bound until all are chosen, so that none comes twice.
            free_socket = bound.enter_context(socket.socket())
            try:
                free_socket.bind(('127.0.0.1', port))
            except OSError:
                continue
            addresses.append(f'127.0.0.1:{port}')
    return addresses
