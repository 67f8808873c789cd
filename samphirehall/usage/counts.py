"""What was used, as it is added up before it is frozen."""

from collections.abc import Iterable
from dataclasses import dataclass

from samphirehall.core.types import UsageFigures


@dataclass(slots=True, frozen=True)
class Cell:
    """One customer in one window.

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
    """Cumulative counts; they only grow.

    Parameters
    ----------
    requests : int
        Requests that ran.
    prompt_tokens, completion_tokens : int
        Tokens read and generated.
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

    def beyond(self, other: "Counts") -> "Counts":
        """Return what is counted here and not yet in `other`."""
        return Counts(
            max(0, self.requests - other.requests),
            max(0, self.prompt_tokens - other.prompt_tokens),
            max(0, self.completion_tokens - other.completion_tokens),
        )

    def encode(self) -> list[int]:
        """Return the counts as they are stored and sent."""
        return [self.requests, self.prompt_tokens, self.completion_tokens]


NOTHING = Counts()


def total(items: Iterable[Counts]) -> Counts:
    """Return the sum of counts."""
    return sum(items, NOTHING)


def newest(left: Counts, right: Counts) -> Counts:
    """Return the later of two readings of the same cumulative counts."""
    return Counts(
        max(left.requests, right.requests),
        max(left.prompt_tokens, right.prompt_tokens),
        max(left.completion_tokens, right.completion_tokens),
    )


def figures(direct: Counts, late: Counts) -> UsageFigures:
    """Return billed figures: what the window counted, and what came late for earlier ones."""
    both = direct + late
    return UsageFigures(
        requests=both.requests,
        prompt_tokens=both.prompt_tokens,
        completion_tokens=both.completion_tokens,
        late_requests=late.requests,
        late_tokens=late.prompt_tokens + late.completion_tokens,
    )
