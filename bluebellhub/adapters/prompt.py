"""Token estimates and prefix hashes of prompts, without a tokenizer.

A token is assumed to have four bytes; engines correct the estimate of the
cached part later.
"""

from typing import Final

from xxhash import xxh3_64

from bluebellhub.routing.prefix import BLOCK_TOKENS

__all__ = ['estimate_tokens', 'hash_prefix', 'identify_prompt']

BYTES_PER_TOKEN: Final = 4
BLOCK_BYTES: Final = BLOCK_TOKENS * BYTES_PER_TOKEN
HASHED_BLOCKS_MAX: Final = 256


def estimate_tokens(prompt: bytes) -> int:
    """Return the estimated number of tokens, at least 1."""
    return max(1, len(prompt) // BYTES_PER_TOKEN)


def hash_prefix(prompt: bytes) -> tuple[int, ...]:
    """Hash each complete block of a prompt together with all before it.

    Returns one 64-bit number per block, for at most 256 blocks.
    """
    digest = xxh3_64()
    blocks = min(len(prompt) // BLOCK_BYTES, HASHED_BLOCKS_MAX)
    hashes = []
    for index in range(blocks):
        start = index * BLOCK_BYTES
        digest.update(prompt[start : start + BLOCK_BYTES])
        hashes.append(digest.intdigest())
    return tuple(hashes)


def identify_prompt(blocks: tuple[int, ...]) -> tuple[str, ...]:
    """Return the id of a prompt, which is the hash of its complete blocks.

    It is empty for a prompt without a complete block, and equal for prompts
    that differ after their last complete block only.
    """
    return tuple(f'{block:x}' for block in blocks[-1:])
