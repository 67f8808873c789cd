"""Hashes of a prompt's blocks, by which endpoints' prefix caches are compared."""

from collections.abc import Sequence
from typing import Any

import xxhash

CHARACTERS_PER_TOKEN = 4


def prompt_text(messages: Sequence[Any]) -> str:
    """Return the text of all messages."""
    return "\n".join(str(message.get("content", "")) for message in messages)


def token_count(text: str) -> int:
    """Return the estimated tokens of a text."""
    return len(text) // CHARACTERS_PER_TOKEN


def block_hashes(model: str, text: str, *, block_tokens: int) -> list[int]:
    """Return a hash for each whole block of a prompt, chained over all before it.

    Parameters
    ----------
    model : str
        Model or adapter; caches of two models have nothing in common.
    text : str
        Text of the prompt.
    block_tokens : int
        Tokens of a block.
    """
    size = block_tokens * CHARACTERS_PER_TOKEN
    chained = xxhash.xxh3_64_intdigest(model.encode())
    hashes = []
    for start in range(0, len(text) - size + 1, size):
        chained = xxhash.xxh3_64_intdigest(text[start : start + size].encode(), seed=chained)
        hashes.append(chained)
    return hashes
