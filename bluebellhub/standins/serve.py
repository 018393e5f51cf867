"""Serving a stand-in's application on loopback until cancelled."""

from typing import Any

from hypercorn.config import Config
from hypercorn.trio import serve

__all__ = ['make_config', 'serve_app']


def make_config(address: str, header_max_bytes: int = 16_384) -> Config:
    """Return a server configuration that logs nothing of its own."""
    config = Config()
    config.bind = [address]
    config.h11_max_incomplete_size = header_max_bytes
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 1.0
    config.keep_alive_timeout = 75.0
    return config


async def serve_app(app: Any, address: str, **options: Any) -> None:
    """Serve ``app`` on an IP number and port."""
    await serve(app, make_config(address), mode='asgi', **options)
