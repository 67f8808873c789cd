"""Reading of the JSON log lines that samphirehall's programs write."""

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

from samphirehall.core.decoding import decode
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import BAD_REQUEST

_decoder = msgspec.json.Decoder(dict[str, Any])


@dataclass(slots=True, frozen=True)
class LogLine:
    """One line of a log.

    Parameters
    ----------
    time : float
        Seconds since the epoch by the clock of the host.
    host : str
        Host that wrote the line.
    event : str
        Name of the event, the ``message`` of the line.
    fields : dict
        All fields of the line.
    """

    time: float
    host: str
    event: str
    fields: dict[str, Any]

    @property
    def request(self) -> str | None:
        """Id of the request that the line belongs to, or None."""
        return self.fields.get("request")


@contextlib.contextmanager
def log_lines(files: Sequence[str]) -> Iterator[Callable[[], Iterable[str]]]:
    """Yield a function that returns all lines of the files, or of standard input if none is named.

    The function may be called several times; standard input is buffered in a temporary file.

    Raises
    ------
    SamphireError
        A file cannot be read.
    """
    with contextlib.ExitStack() as stack:
        paths = [Path(file) for file in files]
        if not paths:
            buffered = stack.enter_context(tempfile.NamedTemporaryFile())
            shutil.copyfileobj(sys.stdin.buffer, buffered)
            buffered.flush()
            paths = [Path(buffered.name)]

        def open_lines() -> Iterable[str]:
            opened = (stack.enter_context(path.open(errors="replace")) for path in paths)
            return itertools.chain.from_iterable(opened)

        try:
            yield open_lines
        except OSError as error:
            raise SamphireError(BAD_REQUEST, f"{error.filename}: {error.strerror}") from error


def read_lines(lines: Iterable[str]) -> Iterator[LogLine | None]:
    """Yield each line that contains a JSON object, or None if it is not a valid log line.

    Text before the object is skipped, as log collectors often prepend a time and a host.
    Lines without a brace are skipped too.
    """
    for text in lines:
        start = text.find("{")
        if start >= 0:
            yield _parse(text[start:])


def _parse(text: str) -> LogLine | None:
    try:
        fields = decode(text, _decoder)
        return LogLine(float(fields["time"]), fields["host"], fields["message"], fields)
    except (KeyError, TypeError, ValueError, OverflowError):
        return None
