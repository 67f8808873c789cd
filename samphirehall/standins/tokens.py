"""Tokens that every engine stand-in gives: a function of model, prompt and index alone."""

import xxhash

VOCABULARY = 9973


class TokenSource:
    """Tokens of one prompt; the prompt is hashed once.

    Parameters
    ----------
    model : str
        Model that the engine was asked for.
    prompt : str
        Text of the prompt.
    """

    def __init__(self, model: str, prompt: str) -> None:
        self._hash = xxhash.xxh3_64(f"{model}\x00{prompt}\x00".encode())

    def at(self, index: int) -> str:
        """Return the token at `index`."""
        copy = self._hash.copy()
        copy.update(str(index).encode())
        return f" w{copy.intdigest() % VOCABULARY}"


def token_at(model: str, prompt: str, index: int) -> str:
    """Return the token that every engine gives at `index`."""
    return TokenSource(model, prompt).at(index)
