"""Decides which models each engine loads and unloads, within the weight store's rate."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from samphirehall.endpoints.protocol import EngineAction


@dataclass(slots=True, frozen=True)
class EngineModels:
    """State of an engine that the model decision uses.

    Parameters
    ----------
    endpoint_id : str
        Name of the endpoint.
    loaded : frozenset of str
        Models and adapters loaded, as ``name@version``.
    capacity : int
        Maximum number of loaded models and adapters.
    changing : bool
        Whether the engine is carrying out an order.
    running : int
        Requests in the engine's batch.
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
    """Order to load or unload a model on an engine, with the reason for the log."""

    endpoint_id: str
    action: EngineAction
    model: str
    reason: str


LOAD: EngineAction = "load-model"
UNLOAD: EngineAction = "unload-model"


def decide_model_order(
    engines: Sequence[EngineModels], wanted: Sequence[WantedModel], *, budget_bytes: float
) -> ModelOrder | None:
    """Return the next order that brings the loaded models closer to the demand, or None.

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
        One order; None if nothing is to be done or every engine is changing. A
        model version is unloaded only if it is not wanted or another engine still
        has it loaded.
    """
    idle_engines = [engine for engine in engines if not engine.changing]
    if not idle_engines:
        return None
    loaded_counts = Counter(model for engine in engines for model in engine.loaded)
    target_counts = _target_counts(wanted, len(engines))
    for model in sorted(
        wanted, key=lambda item: loaded_counts[item.name] - target_counts[item.name]
    ):
        if loaded_counts[model.name] >= target_counts[model.name]:
            break
        if model.weight_bytes <= budget_bytes:
            order = _load_order(idle_engines, model, loaded_counts, target_counts)
            if order is not None:
                return order
    return _unload_unwanted(idle_engines, wanted)


def _target_counts(wanted: Sequence[WantedModel], engines: int) -> dict[str, int]:
    """Return how many engines should load each model: in proportion to its share, at least one."""
    return {model.name: max(1, round(model.share * engines)) for model in wanted}


def _load_order(
    engines: Sequence[EngineModels],
    model: WantedModel,
    loaded_counts: Mapping[str, int],
    target_counts: Mapping[str, int],
) -> ModelOrder | None:
    candidates = [engine for engine in engines if model.name not in engine.loaded]
    candidates.sort(key=lambda engine: (len(engine.loaded), engine.running))
    reason = f"loaded on {loaded_counts.get(model.name, 0)} of {target_counts[model.name]} engines"
    for engine in candidates:
        if len(engine.loaded) < engine.capacity:
            return ModelOrder(engine.endpoint_id, LOAD, model.name, reason)
    for engine in candidates:
        surplus = _surplus_model(engine, loaded_counts, target_counts)
        if surplus is not None:
            return ModelOrder(engine.endpoint_id, UNLOAD, surplus, f"frees a slot for {model.name}")
    return None


def _surplus_model(
    engine: EngineModels, loaded_counts: Mapping[str, int], target_counts: Mapping[str, int]
) -> str | None:
    """Return the loaded model that exceeds its target count the most, or None."""
    excess = {
        name: loaded_counts.get(name, 0) - target_counts.get(name, 0) for name in engine.loaded
    }
    name = max(excess, key=lambda key: excess[key], default=None)
    return name if name is not None and excess[name] > 0 else None


def _unload_unwanted(
    engines: Sequence[EngineModels], wanted: Sequence[WantedModel]
) -> ModelOrder | None:
    names = {model.name for model in wanted}
    base_names = {name.partition("@")[0] for name in names}
    for engine in engines:
        for model in sorted(engine.loaded - names):
            superseded = any(name in engine.loaded for name in names if _same_base(name, model))
            if superseded or model.partition("@")[0] not in base_names:
                return ModelOrder(engine.endpoint_id, UNLOAD, model, "no longer wanted")
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
        Maximum of the budget, which it starts with.
    """

    def __init__(self, *, bytes_per_second: float, burst_bytes: float) -> None:
        self._bytes_per_second = bytes_per_second
        self._burst_bytes = burst_bytes
        self._available_bytes = burst_bytes
        self._updated_at: float | None = None

    def available(self, *, now: float) -> float:
        """Return the bytes that may be fetched now."""
        if self._updated_at is not None:
            self._available_bytes = min(
                self._burst_bytes,
                self._available_bytes + (now - self._updated_at) * self._bytes_per_second,
            )
        self._updated_at = now
        return self._available_bytes

    def spend(self, byte_count: float) -> None:
        """Subtract bytes of a fetch that `available` allowed."""
        self._available_bytes -= byte_count
