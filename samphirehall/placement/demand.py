"""Demand for a model, added up from what the entries of a zone publish."""

from collections.abc import Container, Iterable
from dataclasses import dataclass

import msgspec

from samphirehall.node.facts import Fact


@dataclass(slots=True, frozen=True)
class Demand:
    """Work that callers ask for.

    Parameters
    ----------
    prefill_tokens_per_second : float
        Prompt tokens that arrive, those in caches left out.
    decode_tokens_per_second : float
        Tokens to be generated.
    waiting : int
        Requests that wait for admission.
    """

    prefill_tokens_per_second: float = 0.0
    decode_tokens_per_second: float = 0.0
    waiting: int = 0

    def plus(self, other: "Demand") -> "Demand":
        """Return the sum of two demands."""
        return Demand(
            self.prefill_tokens_per_second + other.prefill_tokens_per_second,
            self.decode_tokens_per_second + other.decode_tokens_per_second,
            self.waiting + other.waiting,
        )


class _DemandValue(msgspec.Struct):
    prefill_tokens_per_second: float = 0.0
    decode_tokens_per_second: float = 0.0
    waiting: int = 0


def demand_by_model(facts: Iterable[Fact], hosts: Container[str]) -> dict[str, Demand]:
    """Return the demand of each model that the entries of these hosts see.

    Parameters
    ----------
    facts : iterable of Fact
        Facts of the kind ``DEMAND``, from any zone.
    hosts : container of str
        Hosts that count.
    """
    total: dict[str, Demand] = {}
    for fact in facts:
        if host_of_owner(fact.owner) not in hosts:
            continue
        value = msgspec.convert(fact.value, _DemandValue)
        demand = Demand(
            value.prefill_tokens_per_second, value.decode_tokens_per_second, value.waiting
        )
        total[fact.key] = total.get(fact.key, Demand()).plus(demand)
    return total


def host_of_owner(owner: str) -> str:
    """Return the host of a fact's owner; an entry owns facts as ``<host>/entry``."""
    return owner.partition("/")[0]


class DemandAverage:
    """Exponential average of demand by model, so that a single burst moves nothing.

    Parameters
    ----------
    time_constant : float
        Seconds after which a step has come through by two thirds.
    """

    def __init__(self, *, time_constant: float) -> None:
        self._time_constant = time_constant
        self._average: dict[str, Demand] = {}
        self._updated_at: float | None = None

    def update(self, current: dict[str, Demand], *, now: float) -> dict[str, Demand]:
        """Take the present demand and return the average by model."""
        elapsed = 0.0 if self._updated_at is None else now - self._updated_at
        share = min(1.0, elapsed / self._time_constant) if self._average else 1.0
        self._updated_at = now
        for model in self._average.keys() | current.keys():
            old = self._average.get(model, Demand())
            self._average[model] = _blend(old, current.get(model, Demand()), share)
        return dict(self._average)


def _blend(old: Demand, new: Demand, share: float) -> Demand:
    def mix(before: float, after: float) -> float:
        return before + (after - before) * share

    return Demand(
        mix(old.prefill_tokens_per_second, new.prefill_tokens_per_second),
        mix(old.decode_tokens_per_second, new.decode_tokens_per_second),
        new.waiting,
    )
