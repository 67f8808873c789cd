"""Retry budget and backoff, so that a failure of many endpoints causes no retry storm."""

import random

DEFAULT_RETRY_RATIO = 0.2
DEFAULT_FLOOR_PER_SECOND = 2.0
DEFAULT_MAX_SAVED_RETRIES = 50.0
INITIAL_BACKOFF_SECONDS = 0.01
MAX_BACKOFF_SECONDS = 0.5


class RetryBudget:
    """Token bucket for retries: a first attempt adds `ratio` of a retry, a retry takes a whole one.

    Parameters
    ----------
    ratio : float
        Retries allowed per first attempt.
    floor_per_second : float
        Retries per second that are allowed even without first attempts.
    max_saved_retries : float
        Maximum number of unused retries that can accumulate.
    now : float
        Boot clock in seconds.
    """

    def __init__(
        self,
        *,
        now: float,
        ratio: float = DEFAULT_RETRY_RATIO,
        floor_per_second: float = DEFAULT_FLOOR_PER_SECOND,
        max_saved_retries: float = DEFAULT_MAX_SAVED_RETRIES,
    ) -> None:
        self._ratio = ratio
        self._floor_per_second = floor_per_second
        self._max_saved_retries = max_saved_retries
        self._available = max_saved_retries
        self._updated_at = now

    def record_first_attempt(self) -> None:
        """Record a first attempt, which adds to the budget."""
        self._available = min(self._max_saved_retries, self._available + self._ratio)

    def spend(self, *, now: float) -> bool:
        """Take one retry from the budget; return whether one was available.

        Parameters
        ----------
        now : float
            Boot clock in seconds.
        """
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._available = min(
            self._max_saved_retries, self._available + elapsed * self._floor_per_second
        )
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True


def retry_delay(retries: int, *, random_source: random.Random) -> float:
    """Return the seconds to wait before a retry: exponential with full jitter.

    Parameters
    ----------
    retries : int
        Number of retries made so far.
    random_source : random.Random
        Source of jitter.
    """
    limit = min(MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2 ** min(retries, 16))
    return limit * random_source.random()
