"""Scenario files: workloads, customers, arrival rates and scheduled faults."""

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from samphirehall.core.errors import SamphireError
from samphirehall.core.results import SETTINGS_INVALID

Positive = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]


class Workload(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[workloads.<name>]``: one kind of request.

    ``kind`` is ``"completion"``, ``"lookup"`` (GET of a service) or ``"booking"``
    (POST of a service with an idempotency key). Both lengths vary
    uniformly by the fraction ``spread``; the fraction ``shared_share`` of a prompt is
    one of ``prefixes`` texts that the customer's requests share.
    """

    route: str
    kind: Literal["completion", "lookup", "booking"] = "completion"
    path: str = "/"
    prompt_tokens: Count = 500
    output_tokens: Count = 50
    spread: Share = 0.3
    prefixes: Count = 1
    shared_share: Share = 0.0
    deadline_seconds: Positive = 20.0
    priority: Literal["urgent", "normal", "batch"] = "normal"


class Customer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[customers.<name>]``: its relative share of arrivals, and the workloads it requests."""

    share: Positive = 1.0
    workloads: list[str] | None = None


class Phase(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[[phases]]``: a period with one rate, workload mix and customer shares.

    ``rate`` is the total of arrivals per second; ``mix`` gives the weight of each
    workload; ``shares`` overrides customers' shares in this phase.
    """

    seconds: Positive
    rate: Positive
    mix: dict[str, Positive]
    shares: dict[str, Positive] = {}


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``[[faults]]``: a fault injected ``at`` a time, in seconds after the start.

    ``"call"`` makes an HTTP call to a stand-in; ``"kill"``, ``"pause"``
    and ``"resume"`` send a signal to a process that the targets name.
    """

    at: Annotated[float, Meta(ge=0)]
    action: Literal["call", "kill", "pause", "resume"]
    target: str
    method: str = "PUT"
    path: str = ""
    body: dict[str, Any] = {}


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A scenario file.

    ``caller_retries`` is the maximum number of retries of a request that was refused
    as not run; ``retry_budget`` limits retries to a share of all requests.
    """

    name: str
    workloads: dict[str, Workload]
    customers: dict[str, Customer]
    phases: list[Phase]
    faults: list[Fault] = []
    caller_retries: Annotated[int, Meta(ge=0)] = 1
    retry_budget: Share = 0.1

    @property
    def seconds(self) -> float:
        """Length of all phases in seconds."""
        return sum(phase.seconds for phase in self.phases)


class Targets(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of entries and stand-ins, customers' keys, and process ids."""

    entries: list[str]
    keys: dict[str, str]
    endpoints: dict[str, str] = {}
    processes: dict[str, int] = {}


def load_scenario(path: str | Path) -> Scenario:
    """Load and validate a scenario from a TOML file.

    Raises
    ------
    SamphireError
        The file cannot be read, or names a workload or customer it does not define.
    """
    scenario = _load(path, Scenario)
    for number, phase in enumerate(scenario.phases):
        _check_names(path, f"phases[{number}].mix", phase.mix, scenario.workloads)
        _check_names(path, f"phases[{number}].shares", phase.shares, scenario.customers)
    for name, customer in scenario.customers.items():
        used = customer.workloads or []
        _check_names(path, f"customers.{name}.workloads", used, scenario.workloads)
    return scenario


def load_targets(path: str | Path) -> Targets:
    """Load and validate targets from a TOML file."""
    return _load(path, Targets)


def _load(path: str | Path, kind: Any) -> Any:
    try:
        return msgspec.convert(tomllib.loads(Path(path).read_text()), kind)
    except (OSError, msgspec.MsgspecError, tomllib.TOMLDecodeError) as error:
        raise SamphireError(SETTINGS_INVALID, f"{path}: {error}") from error


def _check_names(path: str | Path, key: str, names: Any, known: Any) -> None:
    unknown = sorted(set(names) - set(known))
    if unknown:
        allowed = ", ".join(sorted(known))
        raise SamphireError(SETTINGS_INVALID, f"{path}: {key}: unknown {unknown}: one of {allowed}")
