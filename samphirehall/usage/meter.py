"""Cumulative usage by window and customer, counted in the entry."""

from samphirehall.usage.counts import NOTHING, Cell, Counts

WINDOW_SECONDS = 60


def window_at(now: float, window_seconds: int) -> int:
    """Return the start of the window at `now`, both in seconds since the epoch."""
    return int(now) - int(now) % window_seconds


class UsageMeter:
    """Counts what customers use; counts only ever grow.

    Parameters
    ----------
    window_seconds : int
        Length of a window in seconds.
    """

    def __init__(self, *, window_seconds: int = WINDOW_SECONDS) -> None:
        self._window_seconds = window_seconds
        self._counts: dict[Cell, Counts] = {}
        self._changed: set[Cell] = set()
        self._first_window = 0

    @property
    def counts(self) -> dict[Cell, Counts]:
        """Counts that are not known to be recorded in the table."""
        return self._counts

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
            Wall clock in seconds since the epoch. A clock that was set back
            counts into the first window that is not recorded yet.
        """
        window = max(window_at(now, self._window_seconds), self._first_window)
        cell = Cell(window, customer)
        counts = Counts(1, prompt_tokens, completion_tokens)
        self._counts[cell] = self._counts.get(cell, NOTHING) + counts
        self._changed.add(cell)

    def take_changed(self) -> dict[Cell, Counts]:
        """Return the counts that changed since the last call."""
        changed = {cell: self._counts[cell] for cell in self._changed}
        self._changed.clear()
        return changed

    def forget(self, before: int) -> None:
        """Forget windows that start before `before`: they are recorded in the table."""
        self._first_window = max(self._first_window, before)
        recorded = [
            cell for cell in self._counts if cell.window < before and cell not in self._changed
        ]
        for cell in recorded:
            del self._counts[cell]
