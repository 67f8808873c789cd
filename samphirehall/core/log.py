"""Structured logging: one JSON object a line."""

import logging
import sys
from typing import Any

import msgspec

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


def configure_logging(level: str, *, host: str, program: str) -> None:
    """Send every log line to standard error as JSON.

    Parameters
    ----------
    level : str
        One of `LEVELS`.
    host, program : str
        Constant fields of each line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonLineFormatter(host=host, program=program))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    _leave_out_unused_fields()
    for noisy in ("httpcore", "hpack", "asyncio"):
        logging.getLogger(noisy).setLevel(logging.WARNING)


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
