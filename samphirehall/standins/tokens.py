"""Deterministic tokens of the engine stand-ins, computed from model, prompt and index."""

import xxhash

VOCABULARY = 9973


class TokenSource:
    """Computes the tokens of one answer; the prompt is hashed once.

    Parameters
    ----------
    model : str
        Model named in the request.
    prompt : str
        Text of the prompt.
    """

    def __init__(self, model: str, prompt: str) -> None:
        self._hash = xxhash.xxh3_64(f"{model}\x00{prompt}\x00".encode())

    def token_at_index(self, index: int) -> str:
        """Return the token at `index`."""
        state = self._hash.copy()
        state.update(str(index).encode())
        return f" w{state.intdigest() % VOCABULARY}"


def token_at(model: str, prompt: str, index: int) -> str:
    """Return the token that every engine generates at `index`."""
    return TokenSource(model, prompt).token_at_index(index)
