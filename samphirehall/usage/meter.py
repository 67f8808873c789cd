"""Cumulative usage by window and customer, counted in the entry process."""

from samphirehall.usage.counts import ZERO_COUNTS, Cell, Counts

DEFAULT_WINDOW_SECONDS = 60


def window_start(now: float, window_seconds: int) -> int:
    """Return the start of the window that contains `now`, both in seconds since the epoch."""
    return int(now) - int(now) % window_seconds


class UsageMeter:
    """Counts the usage of customers cumulatively by window.

    Parameters
    ----------
    window_seconds : int
        Length of a window in seconds.
    """

    def __init__(self, *, window_seconds: int = DEFAULT_WINDOW_SECONDS) -> None:
        self._window_seconds = window_seconds
        self._counts: dict[Cell, Counts] = {}
        self._changed: set[Cell] = set()
        self._first_window = 0

    @property
    def counts(self) -> dict[Cell, Counts]:
        """Counts that are not known to be in the table."""
        return self._counts

    def record(
        self, customer: str, prompt_tokens: int, completion_tokens: int, *, now: float
    ) -> None:
        """Add one request that ran to the counts.

        Parameters
        ----------
        customer : str
            Customer whose key authenticated the request.
        prompt_tokens, completion_tokens : int
            Tokens of the prompt and of the completion.
        now : float
            Wall clock in seconds since the epoch. If the clock was set back, the
            request counts into the first window that is not recorded yet.
        """
        window = max(window_start(now, self._window_seconds), self._first_window)
        cell = Cell(window, customer)
        request_counts = Counts(1, prompt_tokens, completion_tokens)
        self._counts[cell] = self._counts.get(cell, ZERO_COUNTS) + request_counts
        self._changed.add(cell)

    def pop_changed(self) -> dict[Cell, Counts]:
        """Return the counts that changed since the last call."""
        changed = {cell: self._counts[cell] for cell in self._changed}
        self._changed.clear()
        return changed

    def forget(self, first_kept_window: int) -> None:
        """Remove the counts of windows before `first_kept_window`: the table has them."""
        self._first_window = max(self._first_window, first_kept_window)
        recorded = [
            cell
            for cell in self._counts
            if cell.window < first_kept_window and cell not in self._changed
        ]
        for cell in recorded:
            del self._counts[cell]
