"""Demand for models, measured at admission and told to placement."""

from dataclasses import dataclass

import msgspec

from samphirehall.node.facts import FactKind
from samphirehall.node.state import NodeState

LIFETIME_SECONDS = 5.0
RATIO_GAIN = 0.02


@dataclass(slots=True, frozen=True)
class ModelDemand:
    """Value of a fact of the kind ``DEMAND``; the key is the model.

    Parameters
    ----------
    model : str
        Model or adapter.
    prefill_tokens_per_second : float
        Prompt tokens that arrived a second, those in caches left out.
    decode_tokens_per_second : float
        Tokens to be generated that arrived a second.
    waiting : int
        Requests that wait for admission on this host.
    """

    model: str
    prefill_tokens_per_second: float
    decode_tokens_per_second: float
    waiting: int


@dataclass(slots=True)
class _Arrived:
    prompt_tokens: int = 0
    output_tokens: int = 0


class DemandMeter:
    """Counts arriving work by model.

    Callers ask for more tokens than they get, and caches hold part of the
    prompts; both shares are learned from requests that ended.

    Parameters
    ----------
    now : float
        Boot clock in seconds.
    """

    def __init__(self, *, now: float) -> None:
        self._begin = now
        self._arrived: dict[str, _Arrived] = {}
        self._output_share = 1.0

    def arrive(self, model: str, prompt_tokens: int, output_tokens: int) -> None:
        """Count a request that arrived, admitted or not."""
        arrived = self._arrived.setdefault(model, _Arrived())
        arrived.prompt_tokens += prompt_tokens
        arrived.output_tokens += output_tokens

    def note_ended(self, output_tokens: int, asked_tokens: int) -> None:
        """Learn which share of the tokens asked for is generated."""
        share = min(1.0, output_tokens / max(1, asked_tokens))
        self._output_share += RATIO_GAIN * (share - self._output_share)

    def read(
        self, waiting: dict[str, int], *, uncached_share: float, now: float
    ) -> list[ModelDemand]:
        """Return the demand since the last call, by model, and begin anew.

        Parameters
        ----------
        waiting : dict of str to int
            Requests that wait, by model.
        uncached_share : float
            Share of prompt tokens that no cache holds, from 0 to 1.
        now : float
            Boot clock in seconds.
        """
        passed = max(0.001, now - self._begin)
        demands = [
            ModelDemand(
                model,
                arrived.prompt_tokens * uncached_share / passed,
                arrived.output_tokens * self._output_share / passed,
                waiting.get(model, 0),
            )
            for model, arrived in self._arrived.items()
        ]
        self._begin = now
        self._arrived = {model: _Arrived() for model in self._arrived}
        return demands


def publish_demand(state: NodeState, demands: list[ModelDemand], *, now: float) -> None:
    """Tell the zone about demand."""
    for demand in demands:
        state.board.publish(
            FactKind.DEMAND,
            demand.model,
            msgspec.to_builtins(demand),
            lifetime=LIFETIME_SECONDS,
            now=now,
        )
