"""Errors that carry a numbered result."""

from samphirehall.core.results import Result


class SamphireError(Exception):
    """An error with a numbered result that callers and operators can look up.

    Parameters
    ----------
    result : Result
        Entry of the result table.
    detail : str
        The invalid value and what is allowed.
    retry_after : float, optional
        Seconds after which a retry makes sense.
    """

    def __init__(self, result: Result, detail: str, *, retry_after: float | None = None) -> None:
        super().__init__(f"{result.code} {result.name}: {detail}")
        self.result = result
        self.detail = detail
        self.retry_after = retry_after


class PlatformUnavailableError(Exception):
    """Raised if the platform did not answer; a write may or may not have taken effect."""


class FrameError(Exception):
    """Raised for a frame that is too long, malformed or of an unknown type."""
