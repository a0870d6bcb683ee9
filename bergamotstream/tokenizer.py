"""
Tokenizing
~~~~~~~~~~

Counts and hashes the tokens of a prompt without a model's vocabulary.
"""

from collections.abc import Iterator

import xxhash

from bergamotstream import records

BYTES_PER_TOKEN = 4
BLOCK_BYTES = records.BLOCK_TOKENS * BYTES_PER_TOKEN


def count_tokens(prompt: str) -> int:
    """Return the tokens of a text: one for every 4 bytes of UTF-8 begun."""
    return max(-(-len(prompt.encode()) // BYTES_PER_TOKEN), 1)


def fingerprint(service: str, prompt: str) -> int:
    """Return what identifies a prompt that may crash targets (XXH64)."""
    return xxhash.xxh64_intdigest(f'{service}\n{prompt}'.encode())


def prefix_hashes(prompt: str, prompt_tokens: int) -> tuple[int, ...]:
    """Return one hash for each full block, covering all text before it.

    A synthetic prompt of more tokens than its text stands for the text
    followed by itself, so equal texts share the blocks of the shorter one.
    """
    hashes = []
    digest = xxhash.xxh64()
    for block in _blocks(
        prompt.encode(), prompt_tokens // records.BLOCK_TOKENS
    ):
        digest.update(block)
        hashes.append(digest.intdigest())
    return tuple(hashes)


def _blocks(text: bytes, count: int) -> Iterator[bytes]:
    # A text that fills a block on its own needs no copies of itself.
    copies = -(-BLOCK_BYTES // max(len(text), 1))
    repeated = text * copies
    for index in range(count):
        start = index * BLOCK_BYTES % len(repeated)
        yield repeated[start : start + BLOCK_BYTES]
