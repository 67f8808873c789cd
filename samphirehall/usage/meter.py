"""Cumulative usage by window and customer."""

from samphirehall.core.types import UsageFigures

WINDOW_SECONDS = 60


class UsageMeter:
    """Counts what customers use, by window; counts only ever grow.

    Parameters
    ----------
    window_seconds : int
        Length of a window in seconds.
    """

    def __init__(self, *, window_seconds: int = WINDOW_SECONDS) -> None:
        self._window_seconds = window_seconds
        self._figures: dict[tuple[int, str], UsageFigures] = {}

    @property
    def figures(self) -> dict[tuple[int, str], UsageFigures]:
        """Figures by window start, in seconds since the epoch, and customer."""
        return self._figures

    def record(
        self, customer: str, prompt_tokens: int, completion_tokens: int, *, now: float
    ) -> None:
        """Count one request that ran.

        Parameters
        ----------
        customer : str
            Customer whose key came with the request.
        prompt_tokens, completion_tokens : int
            Tokens read and generated.
        now : float
            Wall clock in seconds since the epoch.
        """
        window = int(now) - int(now) % self._window_seconds
        figures = self._figures.setdefault((window, customer), UsageFigures())
        figures.requests += 1
        figures.prompt_tokens += prompt_tokens
        figures.completion_tokens += completion_tokens
