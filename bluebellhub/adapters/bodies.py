"""Reading of request bodies."""

from quart import request

__all__ = ['read_body']


async def read_body() -> bytes:
    """Return the body of the request that is being served."""
    raw = await request.get_data()
    return raw.encode() if isinstance(raw, str) else raw
