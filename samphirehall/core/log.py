"""Structured logging: one JSON object per line."""

import logging
import os
import sys
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import msgspec

from samphirehall.core.clock import boot_seconds
from samphirehall.core.decoding import shorten

MAX_ORDINARY_LINES_PER_SECOND = 200  # allows several lines per request on a busy small host
MAX_WARNING_LINES_PER_SECOND = 200  # warnings and errors
MAX_UNWRITTEN_BYTES = 262_144  # about one second of lines, for a slow reader
REJECTION_INTERVAL_SECONDS = 60.0  # between two lines on rejected input of one source
MAX_REJECTION_SOURCES = 256  # with a line in one interval; all others are only counted
LEVELS = ("debug", "info", "warning", "error")
_STANDARD_FIELDS = frozenset(
    (*logging.makeLogRecord({}).__dict__, "message", "asctime", "taskName")
)
_encoder = msgspec.json.Encoder(enc_hook=repr)


class JsonLineFormatter(logging.Formatter):
    """Formats a record and its extra fields as one line of JSON.

    Parameters
    ----------
    **constant_fields
        Fields added to each line.
    """

    def __init__(self, **constant_fields: str) -> None:
        super().__init__()
        self._constant_fields = constant_fields

    def format(self, record: logging.LogRecord) -> str:
        """Return the line without a line terminator."""
        line: dict[str, Any] = {
            "time": record.created,
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
            **self._constant_fields,
        }
        fields = record.__dict__
        line.update({name: fields[name] for name in fields if name not in _STANDARD_FIELDS})
        if record.exc_info:
            line["exc_info"] = self.formatException(record.exc_info)
        return _encoder.encode(line).decode()


class BoundedStreamHandler(logging.Handler):
    """Writes log lines to a file descriptor without ever blocking.

    The number of lines per second is limited, separately for warnings and errors
    and for all lower levels. Dropped lines are counted, and the count is logged
    in a ``log-lines-dropped`` line.

    Parameters
    ----------
    descriptor : int
        Open file descriptor; it is set to non-blocking.

    Attributes
    ----------
    dropped_total : int
        Number of lines dropped since the handler was created.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._second = 0
        self._ordinary_lines = 0
        self._warning_lines = 0
        self._unreported_drops = 0
        self._unwritten = b""
        self.dropped_total = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        self._start_second(int(record.created))
        if record.levelno >= logging.WARNING:
            self._warning_lines += 1
            allowed = self._warning_lines <= MAX_WARNING_LINES_PER_SECOND
        else:
            self._ordinary_lines += 1
            allowed = self._ordinary_lines <= MAX_ORDINARY_LINES_PER_SECOND
        if not allowed or not self._write(self.format(record)):
            self._unreported_drops += 1
            self.dropped_total += 1

    def _start_second(self, second: int) -> None:
        if second == self._second:
            return
        self._second, self._ordinary_lines, self._warning_lines = second, 0, 0
        if self._unreported_drops:
            dropped = self._unreported_drops
            extra = {"lines": dropped}
            record = logging.makeLogRecord(
                {"name": __name__, "levelname": "WARNING", "msg": "log-lines-dropped", **extra}
            )
            if self._write(self.format(record)):
                self._unreported_drops -= dropped

    def _write(self, line: str) -> bool:
        """Buffer a line and write what can be written; return False if the buffer is full."""
        if len(self._unwritten) > MAX_UNWRITTEN_BYTES:
            self._flush()
            if self._unwritten:
                return False
        self._unwritten += line.encode() + b"\n"
        self._flush()
        return True

    def _flush(self) -> None:
        try:
            self._unwritten = self._unwritten[os.write(self._descriptor, self._unwritten) :]
        except BlockingIOError:
            return
        except OSError:
            self._unwritten = b""


class RejectionLog:
    """Logs rejected input, at most once an interval for each source.

    A source whose input is rejected again is only counted until the interval has passed.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the module that rejects.
    event : str
        Message of the lines.
    clock : callable
        Boot clock in seconds.
    """

    def __init__(
        self, logger: logging.Logger, event: str, clock: Callable[[], float] = boot_seconds
    ) -> None:
        self._logger = logger
        self._event = event
        self._clock = clock
        self._logged_at: OrderedDict[str, float] = OrderedDict()
        self._omitted = 0

    def record(self, source: str, reason: object) -> None:
        """Log a rejection, or count it.

        Parameters
        ----------
        source : str
            What the input is from, such as the key of a row.
        reason : object
            Why it is rejected.
        """
        name, now = shorten(source), self._clock()
        while self._logged_at:
            oldest = next(iter(self._logged_at))
            if now - self._logged_at[oldest] < REJECTION_INTERVAL_SECONDS:
                break
            del self._logged_at[oldest]
        if name in self._logged_at or len(self._logged_at) >= MAX_REJECTION_SOURCES:
            self._omitted += 1
            return
        self._logged_at[name] = now
        extra = {"source": name, "reason": shorten(reason), "omitted": self._omitted}
        self._logger.warning(self._event, extra=extra)
        self._omitted = 0


def configure_logging(level: str, *, host: str, program: str, to_stdout: bool = False) -> None:
    """Configure the root logger to write JSON lines to standard error or standard output.

    Parameters
    ----------
    level : str
        One of `LEVELS`.
    host, program : str
        Constant fields of each line.
    to_stdout : bool
        Write to standard output through a `BoundedStreamHandler`.
    """
    handler: logging.Handler = logging.StreamHandler(sys.stderr)
    if to_stdout:
        handler = BoundedStreamHandler(sys.stdout.fileno())
    handler.setFormatter(JsonLineFormatter(host=host, program=program))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    _disable_unused_fields()
    for library in ("httpcore", "hpack", "asyncio", "uvicorn"):
        logging.getLogger(library).setLevel(logging.WARNING)


def dropped_line_count() -> int:
    """Return the number of log lines that this process has dropped."""
    handlers = logging.getLogger().handlers
    bounded = [item for item in handlers if isinstance(item, BoundedStreamHandler)]
    return sum(handler.dropped_total for handler in bounded)


def _disable_unused_fields() -> None:
    """Disable collection of record fields that no line shows, as the logging docs describe."""
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging._srcfile = None


def log_decision(logger: logging.Logger, event: str, reason: str, **inputs: Any) -> None:
    """Log one decision with its reason and inputs.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the deciding module.
    event : str
        What was decided, such as ``"route"`` or ``"takeover"``.
    reason : str
        Why it was decided, in a few words.
    **inputs
        Values that explain the decision; never a key or a prompt.
    """
    if logger.isEnabledFor(logging.INFO):
        logger.info(event, extra={"reason": reason, **inputs})
