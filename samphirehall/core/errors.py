"""Errors that carry a numbered result."""

from samphirehall.core.results import Result


class SamphireError(Exception):
    """An error whose meaning callers and operators can look up by number.

    Parameters
    ----------
    result : Result
        Row of the result table.
    detail : str
        The value that was wrong and what would have been allowed.
    retry_after : float, optional
        Seconds after which a retry makes sense.
    """

    def __init__(self, result: Result, detail: str, *, retry_after: float | None = None) -> None:
        super().__init__(f"{result.code} {result.name}: {detail}")
        self.result = result
        self.detail = detail
        self.retry_after = retry_after


class PlatformUnavailableError(Exception):
    """The platform did not answer; a write may or may not have taken effect."""


class FrameError(Exception):
    """A peer sent a frame that is too long, cut short or of an unknown type."""
