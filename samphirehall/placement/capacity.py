"""Share of a demand that engines can serve, given their roles."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from samphirehall.core.types import Role
from samphirehall.placement.demand import Demand

BISECTION_STEPS = 30
MAX_SERVED_SHARE = 4.0


@dataclass(slots=True, frozen=True)
class EngineRates:
    """Throughput of one engine in each phase.

    Parameters
    ----------
    prefill_tokens_per_second : float
        Prompt tokens per second of an engine that only prefills.
    decode_tokens_per_second : float
        Generated tokens per second of an engine that only decodes.
    mixed_efficiency : float
        Fraction of both rates that remains when one engine runs both phases, from 0 to 1.
    """

    prefill_tokens_per_second: float = 8_000.0
    decode_tokens_per_second: float = 1_500.0
    mixed_efficiency: float = 0.8


def served_share(roles: Iterable[Role], demand: Demand, rates: EngineRates) -> float:
    """Return the share of the demand that engines with these roles can serve.

    The share exceeds 1 if the engines have spare capacity; it is at most
    `MAX_SERVED_SHARE`. It is found by bisection.
    """
    counts = Counter(roles)
    low, high = 0.0, MAX_SERVED_SHARE
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if _mixed_engines_needed(counts, demand, rates, middle) <= counts[Role.MIXED]:
            low = middle
        else:
            high = middle
    return low


def _mixed_engines_needed(
    counts: Counter[Role], demand: Demand, rates: EngineRates, share: float
) -> float:
    """Return how many mixed engines this share of the demand needs besides dedicated ones."""
    prefill = demand.prefill_tokens_per_second * share
    decode = demand.decode_tokens_per_second * share
    excess_prefill = max(0.0, prefill - counts[Role.PREFILL] * rates.prefill_tokens_per_second)
    excess_decode = max(0.0, decode - counts[Role.DECODE] * rates.decode_tokens_per_second)
    engines = (
        excess_prefill / rates.prefill_tokens_per_second
        + excess_decode / rates.decode_tokens_per_second
    )
    return engines / rates.mixed_efficiency
