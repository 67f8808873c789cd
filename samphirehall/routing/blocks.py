"""Chained hashes of prompt blocks, the keys of the prefix index."""

from collections.abc import Sequence
from typing import Any

import xxhash

CHARACTERS_PER_TOKEN = 4


def prompt_text(messages: Sequence[Any]) -> str:
    """Return the contents of all messages, joined by newlines."""
    return "\n".join(str(message.get("content", "")) for message in messages)


def estimate_token_count(text: str) -> int:
    """Estimate the number of tokens in a text from its length."""
    return len(text) // CHARACTERS_PER_TOKEN


def block_hashes(model: str, text: str, *, block_tokens: int) -> list[int]:
    """Compute a hash for each full block of a prompt.

    Each hash also covers all blocks before it; a last, partial block has none.

    Parameters
    ----------
    model : str
        Model or adapter; seeds the chain, since models do not share cached blocks.
    text : str
        Text of the prompt.
    block_tokens : int
        Number of tokens per block.
    """
    block_characters = block_tokens * CHARACTERS_PER_TOKEN
    chained_hash = xxhash.xxh3_64_intdigest(model.encode())
    hashes = []
    for start in range(0, len(text) - block_characters + 1, block_characters):
        chained_hash = xxhash.xxh3_64_intdigest(
            text[start : start + block_characters].encode(), seed=chained_hash
        )
        hashes.append(chained_hash)
    return hashes
