"""Structured logging: one JSON object a line."""

import logging
import sys
from typing import Any

from pythonjsonlogger.json import JsonFormatter

LEVELS = ("debug", "info", "warning", "error")


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
    handler.setFormatter(
        JsonFormatter(
            "{created}{levelname}{name}{message}",
            style="{",
            rename_fields={"created": "time", "levelname": "level", "name": "logger"},
            static_fields={"host": host, "program": program},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for noisy in ("httpcore", "hpack", "asyncio"):
        logging.getLogger(noisy).setLevel(logging.WARNING)


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
