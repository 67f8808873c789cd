"""Which models each engine should have loaded, within the weight store's rate."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from samphirehall.endpoints.protocol import EngineAction


@dataclass(slots=True, frozen=True)
class EngineModels:
    """An engine as the model decision sees it.

    Parameters
    ----------
    endpoint_id : str
        Name of the endpoint.
    loaded : frozenset of str
        Models and adapters loaded, as ``name@version``.
    capacity : int
        How many it can hold.
    changing : bool
        Whether an order is being carried out.
    running : int
        Requests in its batch.
    """

    endpoint_id: str
    loaded: frozenset[str]
    capacity: int = 4
    changing: bool = False
    running: int = 0


@dataclass(slots=True, frozen=True)
class WantedModel:
    """A model version and its share of the demand.

    Parameters
    ----------
    name : str
        ``name@version``.
    share : float
        Share of all demand, from 0 to 1.
    weight_bytes : int
        Bytes to fetch from the weight store.
    """

    name: str
    share: float
    weight_bytes: int


@dataclass(slots=True, frozen=True)
class ModelOrder:
    """Load or unload a model on an engine, and why."""

    endpoint_id: str
    action: EngineAction
    model: str
    reason: str


LOAD: EngineAction = "load-model"
UNLOAD: EngineAction = "unload-model"


def decide_model_order(
    engines: Sequence[EngineModels], wanted: Sequence[WantedModel], *, budget_bytes: float
) -> ModelOrder | None:
    """Choose the next order that brings loaded models closer to the demand, or none.

    Parameters
    ----------
    engines : sequence of EngineModels
        Engines of a zone.
    wanted : sequence of WantedModel
        Every model version of the configuration.
    budget_bytes : float
        Bytes that may be fetched from the weight store now.

    Returns
    -------
    ModelOrder or None
        One order; a model is unloaded only where another engine still has it, or
        where it is not wanted at all.
    """
    free = [engine for engine in engines if not engine.changing]
    if not free:
        return None
    held = Counter(model for engine in engines for model in engine.loaded)
    targets = _target_copies(wanted, len(engines))
    for model in sorted(wanted, key=lambda item: held[item.name] - targets[item.name]):
        if held[model.name] >= targets[model.name]:
            break
        if model.weight_bytes <= budget_bytes:
            order = _load(free, model, held, targets)
            if order is not None:
                return order
    return _unload_unwanted(free, wanted)


def _target_copies(wanted: Sequence[WantedModel], engines: int) -> dict[str, int]:
    """Return how many engines should have each model: by share, at least one."""
    return {model.name: max(1, round(model.share * engines)) for model in wanted}


def _load(
    engines: Sequence[EngineModels],
    model: WantedModel,
    held: Mapping[str, int],
    targets: Mapping[str, int],
) -> ModelOrder | None:
    lacking = [engine for engine in engines if model.name not in engine.loaded]
    lacking.sort(key=lambda engine: (len(engine.loaded), engine.running))
    reason = f"{held.get(model.name, 0)} of {targets[model.name]} copies"
    for engine in lacking:
        if len(engine.loaded) < engine.capacity:
            return ModelOrder(engine.endpoint_id, LOAD, model.name, reason)
    for engine in lacking:
        spare = _spare_model(engine, held, targets)
        if spare is not None:
            return ModelOrder(engine.endpoint_id, UNLOAD, spare, f"room for {model.name}")
    return None


def _spare_model(
    engine: EngineModels, held: Mapping[str, int], targets: Mapping[str, int]
) -> str | None:
    """Return a loaded model of which there are more copies than wanted."""
    surplus = {name: held.get(name, 0) - targets.get(name, 0) for name in engine.loaded}
    name = max(surplus, key=lambda key: surplus[key], default=None)
    return name if name is not None and surplus[name] > 0 else None


def _unload_unwanted(
    engines: Sequence[EngineModels], wanted: Sequence[WantedModel]
) -> ModelOrder | None:
    names = {model.name for model in wanted}
    bases = {name.partition("@")[0] for name in names}
    for engine in engines:
        for model in sorted(engine.loaded - names):
            replaced = any(name in engine.loaded for name in names if _same_base(name, model))
            if replaced or model.partition("@")[0] not in bases:
                return ModelOrder(engine.endpoint_id, UNLOAD, model, "not wanted any more")
    return None


def _same_base(first: str, second: str) -> bool:
    return first.partition("@")[0] == second.partition("@")[0]


class WeightBudget:
    """Token bucket of bytes that may be fetched from the weight store.

    Parameters
    ----------
    bytes_per_second : float
        Rate at which the budget grows.
    burst_bytes : float
        Most it can hold.
    """

    def __init__(self, *, bytes_per_second: float, burst_bytes: float) -> None:
        self._rate = bytes_per_second
        self._burst = burst_bytes
        self._held = burst_bytes
        self._updated_at: float | None = None

    def available(self, *, now: float) -> float:
        """Return the bytes that may be fetched now."""
        if self._updated_at is not None:
            self._held = min(self._burst, self._held + (now - self._updated_at) * self._rate)
        self._updated_at = now
        return self._held

    def take(self, amount: float) -> None:
        """Spend bytes that `available` allowed."""
        self._held -= amount
