"""Sizes and prefix hashes of prompts, without a tokenizer.

A token is taken as four bytes; engines correct the cached part later.
"""

from typing import Final

from xxhash import xxh3_64

from bluebellhub.routing.prefix import BLOCK_TOKENS

__all__ = ['estimate_tokens', 'hash_prefix']

BYTES_PER_TOKEN: Final = 4
BLOCK_BYTES: Final = BLOCK_TOKENS * BYTES_PER_TOKEN
BLOCKS_MAX: Final = 256


def estimate_tokens(prompt: bytes) -> int:
    """Return the estimated number of tokens, at least 1."""
    return max(1, len(prompt) // BYTES_PER_TOKEN)


def hash_prefix(prompt: bytes) -> tuple[int, ...]:
    """Hash the whole blocks of a prompt, each with all before it.

    Returns 64-bit numbers, one a block, for at most 256 blocks.
    """
    running = xxh3_64()
    blocks = min(len(prompt) // BLOCK_BYTES, BLOCKS_MAX)
    found = []
    for place in range(blocks):
        start = place * BLOCK_BYTES
        running.update(prompt[start : start + BLOCK_BYTES])
        found.append(running.intdigest())
    return tuple(found)
