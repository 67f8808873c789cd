"""A budget for retries, so that a fault of many endpoints makes no retry storm."""

import random

RETRY_RATIO = 0.2
FLOOR_PER_SECOND = 2.0
MAX_TOKENS = 50.0
BACKOFF_FIRST_SECONDS = 0.01
BACKOFF_LIMIT_SECONDS = 0.5


class RetryBudget:
    """Token bucket: each first attempt earns a part of a retry, each retry costs a whole one.

    Parameters
    ----------
    ratio : float
        Retries allowed for each first attempt.
    floor_per_second : float
        Retries a second that are allowed even without first attempts.
    max_tokens : float
        Most retries that can be saved up.
    now : float
        Boot clock in seconds.
    """

    def __init__(
        self,
        *,
        now: float,
        ratio: float = RETRY_RATIO,
        floor_per_second: float = FLOOR_PER_SECOND,
        max_tokens: float = MAX_TOKENS,
    ) -> None:
        self._ratio = ratio
        self._floor_per_second = floor_per_second
        self._max_tokens = max_tokens
        self._tokens = max_tokens
        self._updated_at = now

    def earn(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._max_tokens, self._tokens + self._ratio)

    def spend(self, *, now: float) -> bool:
        """Take one retry from the budget; return whether there was one.

        Parameters
        ----------
        now : float
            Boot clock in seconds.
        """
        passed = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._tokens = min(self._max_tokens, self._tokens + passed * self._floor_per_second)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def retry_pause(retries: int, *, random_source: random.Random) -> float:
    """Return the seconds to wait before a retry: exponential with full jitter.

    Parameters
    ----------
    retries : int
        Retries made so far.
    random_source : random.Random
        Source of jitter.
    """
    limit = min(BACKOFF_LIMIT_SECONDS, BACKOFF_FIRST_SECONDS * 2 ** min(retries, 16))
    return limit * random_source.random()
