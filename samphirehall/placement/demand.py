"""Demand for each model, summed over the facts that the entries of a zone publish."""

import logging
from collections.abc import Container, Iterable
from dataclasses import dataclass
from typing import Annotated

import msgspec

from samphirehall.core.decoding import DecodingError, Unsigned, convert
from samphirehall.core.log import RejectionLog
from samphirehall.node.facts import Fact

MAX_RATE = 1e15  # tokens per second of one entry

_log = logging.getLogger(__name__)
_rejections = RejectionLog(_log, "demand-unreadable")
_Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]


@dataclass(slots=True, frozen=True)
class Demand:
    """Rate of work that callers request.

    Parameters
    ----------
    prefill_tokens_per_second : float
        Prompt tokens that arrive, without those found in caches.
    decode_tokens_per_second : float
        Tokens to be generated.
    waiting : int
        Requests that wait for admission.
    """

    prefill_tokens_per_second: float = 0.0
    decode_tokens_per_second: float = 0.0
    waiting: int = 0

    def add(self, other: "Demand") -> "Demand":
        """Return the sum of this demand and another one."""
        return Demand(
            self.prefill_tokens_per_second + other.prefill_tokens_per_second,
            self.decode_tokens_per_second + other.decode_tokens_per_second,
            self.waiting + other.waiting,
        )


class _DemandValue(msgspec.Struct):
    """Value of a demand fact as entries publish it."""

    prefill_tokens_per_second: _Rate = 0.0
    decode_tokens_per_second: _Rate = 0.0
    waiting: Unsigned = 0


def demand_by_model(facts: Iterable[Fact], hosts: Container[str]) -> dict[str, Demand]:
    """Return the demand for each model, summed over the entries of the given hosts.

    Parameters
    ----------
    facts : iterable of Fact
        Facts of the kind ``DEMAND``, from any zone.
    hosts : container of str
        Hosts whose entries are included.
    """
    totals: dict[str, Demand] = {}
    for fact in facts:
        if owner_host(fact.owner) not in hosts:
            continue
        try:
            value = convert(fact.value, _DemandValue)
        except DecodingError as error:
            _rejections.record(fact.owner, error)
            continue
        demand = Demand(
            value.prefill_tokens_per_second, value.decode_tokens_per_second, value.waiting
        )
        totals[fact.key] = totals.get(fact.key, Demand()).add(demand)
    return totals


def owner_host(owner: str) -> str:
    """Return the host part of a fact's owner, such as ``<host>/entry`` for an entry."""
    return owner.partition("/")[0]


class DemandAverage:
    """Exponential moving average of demand by model, so that a short burst has little effect.

    Parameters
    ----------
    time_constant : float
        Seconds after which the average has covered about two thirds of a step in
        demand.
    """

    def __init__(self, *, time_constant: float) -> None:
        self._time_constant = time_constant
        self._averages: dict[str, Demand] = {}
        self._updated_at: float | None = None

    def update(self, current: dict[str, Demand], *, now: float) -> dict[str, Demand]:
        """Add the current demand and return the average by model; `waiting` is not averaged."""
        elapsed = 0.0 if self._updated_at is None else now - self._updated_at
        weight = min(1.0, elapsed / self._time_constant) if self._averages else 1.0
        self._updated_at = now
        for model in self._averages.keys() | current.keys():
            old = self._averages.get(model, Demand())
            self._averages[model] = _interpolate(old, current.get(model, Demand()), weight)
        return dict(self._averages)


def _interpolate(old: Demand, new: Demand, weight: float) -> Demand:
    def interpolate(before: float, after: float) -> float:
        return before + (after - before) * weight

    return Demand(
        interpolate(old.prefill_tokens_per_second, new.prefill_tokens_per_second),
        interpolate(old.decode_tokens_per_second, new.decode_tokens_per_second),
        new.waiting,
    )
