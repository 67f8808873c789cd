"""Reading the JSON lines that this project's programs log."""

import contextlib
import itertools
import shutil
import sys
import tempfile
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from samphirehall.core.errors import SamphireError
from samphirehall.core.results import BAD_REQUEST

_decoder = msgspec.json.Decoder(dict[str, Any])


@dataclass(slots=True, frozen=True)
class LogLine:
    """One line of a log.

    Parameters
    ----------
    time : float
        Seconds since 1970 by the clock of the host.
    host : str
        Host that wrote it.
    event : str
        What happened.
    fields : dict
        All fields of the line.
    """

    time: float
    host: str
    event: str
    fields: dict[str, Any]

    @property
    def request(self) -> str | None:
        """Identifier of the request that the line is about."""
        return self.fields.get("request")


@contextlib.contextmanager
def log_lines(files: Sequence[str]) -> Iterator[Callable[[], Iterable[str]]]:
    """Yield a function that returns all lines of the files, or of standard input if none is named.

    It may be called again for the same lines: standard input is kept in a temporary file meanwhile.

    Raises
    ------
    SamphireError
        A file cannot be read.
    """
    with contextlib.ExitStack() as stack:
        paths = [Path(file) for file in files]
        if not paths:
            kept = stack.enter_context(tempfile.NamedTemporaryFile())
            shutil.copyfileobj(sys.stdin.buffer, kept)
            kept.flush()
            paths = [Path(kept.name)]

        def open_lines() -> Iterable[str]:
            opened = (stack.enter_context(path.open(errors="replace")) for path in paths)
            return itertools.chain.from_iterable(opened)

        try:
            yield open_lines
        except OSError as error:
            raise SamphireError(BAD_REQUEST, f"{error.filename}: {error.strerror}") from error


def read_lines(lines: Iterable[str]) -> Iterator[LogLine | None]:
    """Yield each line that holds a JSON object, and None for one that cannot be read.

    Collectors often put a time and a host before the object; that part is passed over.
    """
    for text in lines:
        start = text.find("{")
        if start >= 0:
            yield _read(text[start:])


def _read(text: str) -> LogLine | None:
    try:
        fields = _decoder.decode(text)
        return LogLine(float(fields["time"]), fields["host"], fields["message"], fields)
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return None
