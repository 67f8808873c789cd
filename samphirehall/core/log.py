"""Structured logging: one JSON object a line."""

import logging
import os
import sys
from typing import Any

import msgspec

MAX_ORDINARY_LINES = 200  # a second; several lines for each request of a busy small host
MAX_URGENT_LINES = 200  # a second, of warnings and errors
MAX_UNREAD_BYTES = 262_144  # kept for a slow reader; about a second of lines
LEVELS = ("debug", "info", "warning", "error")
_STANDARD_FIELDS = frozenset(
    (*logging.makeLogRecord({}).__dict__, "message", "asctime", "taskName")
)
_encoder = msgspec.json.Encoder(enc_hook=repr)


class JsonLineFormatter(logging.Formatter):
    """Formats a record and its extra fields as one line of JSON.

    Parameters
    ----------
    **constant
        Fields of each line.
    """

    def __init__(self, **constant: str) -> None:
        super().__init__()
        self._constant = constant

    def format(self, record: logging.LogRecord) -> str:
        """Return the line without its end."""
        line: dict[str, Any] = {
            "time": record.created,
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
            **self._constant,
        }
        fields = record.__dict__
        line.update({name: fields[name] for name in fields if name not in _STANDARD_FIELDS})
        if record.exc_info:
            line["exc_info"] = self.formatException(record.exc_info)
        return _encoder.encode(line).decode()


class BoundedStreamHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader.

    Ordinary lines are bounded in a second; warnings and errors have a bound of
    their own. What was left out is counted and told in a line of its own.

    Parameters
    ----------
    descriptor : int
        Open descriptor; it is made non-blocking.

    Attributes
    ----------
    dropped_in_all : int
        Lines left out since the start.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._second = 0
        self._ordinary = 0
        self._urgent = 0
        self._dropped = 0
        self._rest = b""
        self.dropped_in_all = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as left out."""
        self._begin_second(int(record.created))
        if record.levelno >= logging.WARNING:
            self._urgent += 1
            allowed = self._urgent <= MAX_URGENT_LINES
        else:
            self._ordinary += 1
            allowed = self._ordinary <= MAX_ORDINARY_LINES
        if not allowed or not self._write(self.format(record)):
            self._dropped += 1
            self.dropped_in_all += 1

    def _begin_second(self, second: int) -> None:
        if second == self._second:
            return
        self._second, self._ordinary, self._urgent = second, 0, 0
        if self._dropped:
            dropped = self._dropped
            extra = {"lines": dropped}
            record = logging.makeLogRecord(
                {"name": __name__, "levelname": "WARNING", "msg": "log-lines-dropped", **extra}
            )
            if self._write(self.format(record)):
                self._dropped -= dropped

    def _write(self, line: str) -> bool:
        """Write a whole line, or keep what the reader has not taken for the next call."""
        if len(self._rest) > MAX_UNREAD_BYTES:
            self._flush_rest()
            if self._rest:
                return False
        self._rest += line.encode() + b"\n"
        self._flush_rest()
        return True

    def _flush_rest(self) -> None:
        try:
            self._rest = self._rest[os.write(self._descriptor, self._rest) :]
        except BlockingIOError:
            return
        except OSError:
            self._rest = b""


def configure_logging(level: str, *, host: str, program: str, to_stdout: bool = False) -> None:
    """Send every log line to standard error, or to standard output, as JSON.

    Parameters
    ----------
    level : str
        One of `LEVELS`.
    host, program : str
        Constant fields of each line.
    to_stdout : bool
        Write to standard output, bounded in lines and never waiting for its reader.
    """
    handler: logging.Handler = logging.StreamHandler(sys.stderr)
    if to_stdout:
        handler = BoundedStreamHandler(sys.stdout.fileno())
    handler.setFormatter(JsonLineFormatter(host=host, program=program))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    _leave_out_unused_fields()
    for noisy in ("httpcore", "hpack", "asyncio", "uvicorn"):
        logging.getLogger(noisy).setLevel(logging.WARNING)


def dropped_lines() -> int:
    """Return how many lines this process has left out since its start."""
    handlers = logging.getLogger().handlers
    bounded = [item for item in handlers if isinstance(item, BoundedStreamHandler)]
    return sum(handler.dropped_in_all for handler in bounded)


def _leave_out_unused_fields() -> None:
    """Spare the work for fields that no line shows, as the library's documentation describes."""
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging._srcfile = None


def log_decision(logger: logging.Logger, event: str, reason: str, **inputs: Any) -> None:
    """Write the line of one decision.

    Parameters
    ----------
    logger : logging.Logger
        Logger of the deciding module.
    event : str
        What was decided, such as ``"route"`` or ``"takeover"``.
    reason : str
        Why, in a few words.
    **inputs
        Values that explain the decision; never a key or a prompt.
    """
    if logger.isEnabledFor(logging.INFO):
        logger.info(event, extra={"reason": reason, **inputs})
