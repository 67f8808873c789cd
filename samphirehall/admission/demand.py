"""Demand for models, measured at admission and published to placement."""

from dataclasses import dataclass

import msgspec

from samphirehall.node.facts import FactKind
from samphirehall.node.state import NodeState

FACT_LIFETIME_SECONDS = 5.0
OUTPUT_SMOOTHING_FRACTION = 0.02


@dataclass(slots=True, frozen=True)
class ModelDemand:
    """Value of a fact of the kind ``DEMAND``; the key is the model.

    Parameters
    ----------
    model : str
        Model or adapter.
    prefill_tokens_per_second : float
        Uncached prompt tokens that arrived per second.
    decode_tokens_per_second : float
        Expected output tokens per second of the requests that arrived.
    waiting : int
        Requests that wait for admission on this host.
    """

    model: str
    prefill_tokens_per_second: float
    decode_tokens_per_second: float
    waiting: int


@dataclass(slots=True)
class _Arrivals:
    prompt_tokens: int = 0
    output_tokens: int = 0


class DemandMeter:
    """Measures the arriving work by model.

    Callers usually request more output tokens than are generated, so the
    generated fraction is learned from the requests that ended. The uncached
    fraction of the prompts is passed in when the demand is collected.

    Parameters
    ----------
    now : float
        Boot clock in seconds.
    """

    def __init__(self, *, now: float) -> None:
        self._window_started_at = now
        self._arrivals: dict[str, _Arrivals] = {}
        self._generated_fraction = 1.0

    def record_arrival(self, model: str, prompt_tokens: int, output_tokens: int) -> None:
        """Record a request that arrived, whether or not it is admitted."""
        arrivals = self._arrivals.setdefault(model, _Arrivals())
        arrivals.prompt_tokens += prompt_tokens
        arrivals.output_tokens += output_tokens

    def record_completion(self, output_tokens: int, requested_tokens: int) -> None:
        """Update the fraction of the requested tokens that is generated."""
        fraction = min(1.0, output_tokens / max(1, requested_tokens))
        self._generated_fraction += OUTPUT_SMOOTHING_FRACTION * (
            fraction - self._generated_fraction
        )

    def collect(
        self, waiting: dict[str, int], *, uncached_fraction: float, now: float
    ) -> list[ModelDemand]:
        """Return the demand by model since the last call, and reset the counts.

        Parameters
        ----------
        waiting : dict of str to int
            Number of waiting requests by model.
        uncached_fraction : float
            Fraction of the prompt tokens that no cache holds.
        now : float
            Boot clock in seconds.
        """
        elapsed = max(0.001, now - self._window_started_at)
        demands = [
            ModelDemand(
                model,
                arrivals.prompt_tokens * uncached_fraction / elapsed,
                arrivals.output_tokens * self._generated_fraction / elapsed,
                waiting.get(model, 0),
            )
            for model, arrivals in self._arrivals.items()
        ]
        self._window_started_at = now
        self._arrivals = {model: _Arrivals() for model in self._arrivals}
        return demands


def publish_demand(state: NodeState, demands: list[ModelDemand], *, now: float) -> None:
    """Publish the demand of each model as a fact."""
    for demand in demands:
        state.fact_store.publish(
            FactKind.DEMAND,
            demand.model,
            msgspec.to_builtins(demand),
            lifetime=FACT_LIFETIME_SECONDS,
            now=now,
        )
