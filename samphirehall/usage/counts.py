"""Usage counts by customer and window, before they are frozen into billed figures."""

from collections.abc import Iterable
from dataclasses import dataclass

from samphirehall.core.types import UsageFigures


@dataclass(slots=True, frozen=True)
class Cell:
    """Key of usage counts: one customer in one window.

    Parameters
    ----------
    window : int
        Start of the window in whole seconds since the epoch.
    customer : str
        Name of the customer.
    """

    window: int
    customer: str


@dataclass(slots=True, frozen=True)
class Counts:
    """Cumulative usage counts; they only grow.

    Parameters
    ----------
    requests : int
        Requests that ran.
    prompt_tokens, completion_tokens : int
        Tokens of prompts and of completions.
    """

    requests: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0

    def __add__(self, other: "Counts") -> "Counts":
        return Counts(
            self.requests + other.requests,
            self.prompt_tokens + other.prompt_tokens,
            self.completion_tokens + other.completion_tokens,
        )

    def missing_from(self, other: "Counts") -> "Counts":
        """Return how far these counts exceed `other`, 0 where they do not."""
        return Counts(
            max(0, self.requests - other.requests),
            max(0, self.prompt_tokens - other.prompt_tokens),
            max(0, self.completion_tokens - other.completion_tokens),
        )

    def encode(self) -> list[int]:
        """Return the counts in the form that is stored and sent."""
        return [self.requests, self.prompt_tokens, self.completion_tokens]


ZERO_COUNTS = Counts()


def sum_counts(items: Iterable[Counts]) -> Counts:
    """Return the sum of counts."""
    return sum(items, ZERO_COUNTS)


def latest_counts(first: Counts, second: Counts) -> Counts:
    """Return the later of two states of the same cumulative counts."""
    return Counts(
        max(first.requests, second.requests),
        max(first.prompt_tokens, second.prompt_tokens),
        max(first.completion_tokens, second.completion_tokens),
    )


def billed_figures(direct: Counts, late: Counts) -> UsageFigures:
    """Return the billed figures of a window.

    Parameters
    ----------
    direct : Counts
        Counts of the window itself.
    late : Counts
        Counts of earlier windows that arrived after those were closed.
    """
    combined = direct + late
    return UsageFigures(
        requests=combined.requests,
        prompt_tokens=combined.prompt_tokens,
        completion_tokens=combined.completion_tokens,
        late_requests=late.requests,
        late_tokens=late.prompt_tokens + late.completion_tokens,
    )
