"""Deterministic tokens of the engine stand-ins: model, prompt, index and software version.

A token of an engine with a software version ends with a hyphen and the version.
"""

import xxhash

VOCABULARY = 9973
VERSION_SEPARATOR = "-"


class TokenSource:
    """Computes the tokens of one answer; the prompt is hashed once.

    Parameters
    ----------
    model : str
        Model named in the request.
    prompt : str
        Text of the prompt.
    software_version : str
        Software version of the engine, without spaces; empty if it has none.
    """

    def __init__(self, model: str, prompt: str, software_version: str = "") -> None:
        self._hash = xxhash.xxh3_64(f"{model}\x00{prompt}\x00".encode())
        if software_version:
            self._hash.update(f"{software_version}\x00".encode())
        self._suffix = f"{VERSION_SEPARATOR}{software_version}" if software_version else ""

    def token_at_index(self, index: int) -> str:
        """Return the token at `index`."""
        state = self._hash.copy()
        state.update(str(index).encode())
        return f" w{state.intdigest() % VOCABULARY}{self._suffix}"


def token_at(model: str, prompt: str, index: int, software_version: str = "") -> str:
    """Return the token that every engine of a software version generates at `index`."""
    return TokenSource(model, prompt, software_version).token_at_index(index)


def versions_in(text: str) -> list[str]:
    """Return the software versions that the tokens of a text name, in order of appearance."""
    return list(dict.fromkeys(word.partition(VERSION_SEPARATOR)[2] for word in text.split()))
