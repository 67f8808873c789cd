"""Append-only journal from which the platform stand-in restores its state after a kill."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgpack
import msgspec


class Journal:
    """Appends records to a file and replays them at the next start.

    Parameters
    ----------
    path : Path, optional
        File of the journal; with None, nothing is written or replayed.
    """

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self._file = None if path is None else path.open("ab", buffering=0)

    def append(self, kind: str, value: Any) -> None:
        """Append one record, unbuffered, so that it survives a kill of the process."""
        if self._file is not None:
            builtins = msgspec.to_builtins(value, builtin_types=(bytes,))
            self._file.write(msgpack.packb([kind, builtins]))

    def replay(self) -> Iterator[tuple[str, Any]]:
        """Yield the kind and value of every record, oldest first."""
        if self._path is None:
            return
        with self._path.open("rb") as file:
            yield from msgpack.Unpacker(file, max_buffer_size=0)
