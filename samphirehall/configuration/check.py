"""Check of an operator's documents before they are applied, and comparison with other parts.

Errors are those for which the hosts refuse the documents. Warnings are entries that the hosts
accept, but that can never match or contradict each other.
"""

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from samphirehall.configuration.documents import (
    ANY_NAME,
    FLEET_SECTION,
    AdapterPart,
    ConfigurationError,
    CustomerPart,
    FleetPart,
    ModelPart,
    Part,
    RoutePart,
    check_documents,
    encode_part,
    may_use,
    read_documents,
)
from samphirehall.settings.loading import SettingsProblem


@dataclass(slots=True, frozen=True)
class Change:
    """Difference of one part, or of one of its keys.

    Parameters
    ----------
    part : str
        Part name, such as ``"customers/coop"``.
    key : str or None
        Changed key; None if the whole part is added or removed.
    before, after : object
        Values as in JSON; None where there is none.
    """

    part: str
    key: str | None
    before: Any
    after: Any

    def __str__(self) -> str:
        if self.key is not None:
            before, after = json.dumps(self.before), json.dumps(self.after)
            return f"~ {self.part}.{self.key}: {before} -> {after}"
        if self.after is None:
            return f"- {self.part}"
        return f"+ {self.part} {json.dumps(self.after)}"


@dataclass(slots=True)
class CheckReport:
    """Result of a check.

    Parameters
    ----------
    errors, warnings : list of SettingsProblem
        What the hosts would refuse, and what they accept although it has no or another effect.
    parts : dict
        The valid parts by name; empty if there are errors.
    """

    errors: list[SettingsProblem] = field(default_factory=list)
    warnings: list[SettingsProblem] = field(default_factory=list)
    parts: dict[str, Part] = field(default_factory=dict)


def check_files(paths: Iterable[str]) -> CheckReport:
    """Check files that together are the whole configuration, with the validation of the hosts."""
    documents: dict[str, dict[str, Any]] = {}
    try:
        documents = read_documents(paths)
        parts = check_documents(documents)
    except ConfigurationError as error:
        return CheckReport(errors=[_with_file(problem, documents) for problem in error.problems])
    return CheckReport(warnings=find_warnings(parts, documents), parts=parts)


def find_warnings(
    parts: Mapping[str, Part], documents: Mapping[str, Mapping[str, Any]]
) -> list[SettingsProblem]:
    """Return the entries of valid parts that never match or contradict each other.

    Parameters
    ----------
    parts : mapping
        All parts by name.
    documents : mapping
        The documents by file, to name the file of each entry.
    """
    found = [
        *_customer_warnings(parts),
        *_unreachable_warnings(parts),
        *_route_limit_warnings(parts),
        *_fleet_warnings(parts.get(FLEET_SECTION)),
    ]
    files = _files_by_part(documents)
    return [
        SettingsProblem(files.get(part, "configuration"), _dotted(part, key), value, reason)
        for part, key, value, reason in found
    ]


def compare_parts(current: Mapping[str, Any], parts: Mapping[str, Part]) -> list[Change]:
    """Return what applying `parts` would change.

    Parameters
    ----------
    current : mapping
        Parts in force, as decoded from JSON.
    parts : mapping
        Checked parts.
    """
    new = {name: json.loads(encode_part(part)) for name, part in parts.items()}
    changes = [Change(name, None, None, new[name]) for name in sorted(new.keys() - current.keys())]
    changes += [
        Change(name, None, current[name], None) for name in sorted(current.keys() - new.keys())
    ]
    for name in sorted(new.keys() & current.keys()):
        before, after = current[name], new[name]
        changes += [
            Change(name, key, before.get(key), after.get(key))
            for key in sorted(before.keys() | after.keys())
            if before.get(key) != after.get(key)
        ]
    return changes


# Name of the part, key, value and reason.
_Warning = tuple[str, str, object, str]


def _customer_warnings(parts: Mapping[str, Part]) -> Iterator[_Warning]:
    routes = {_short(name) for name, part in parts.items() if isinstance(part, RoutePart)}
    targets = _model_targets(parts)
    for name, part in parts.items():
        if not isinstance(part, CustomerPart):
            continue
        if not part.key_digests:
            yield name, "key_digests", [], "no key: no request is ever this customer's"
        for key, values, known in (
            ("routes", part.routes, routes),
            ("models", part.models, targets),
        ):
            if not values and key == "routes":
                yield name, key, [], "empty: the customer may use no route"
            for value in values:
                if value == ANY_NAME:
                    continue
                if ANY_NAME in values:
                    yield name, key, value, 'has no effect beside "*"'
                elif value not in known:
                    place = "no route has this name" if key == "routes" else "no route leads to it"
                    yield name, key, value, f"never matches: {place}"


def _unreachable_warnings(parts: Mapping[str, Part]) -> Iterator[_Warning]:
    customers = [part for part in parts.values() if isinstance(part, CustomerPart)]
    callers = [part for part in customers if part.key_digests]
    targets = _model_targets(parts)
    bases = {
        part.model
        for name, part in parts.items()
        if isinstance(part, AdapterPart) and _short(name) in targets
    }
    for name, part in parts.items():
        if isinstance(part, RoutePart):
            if not part.open and not any(may_use(c, _short(name), part) for c in callers):
                yield name, "open", False, "never matches: no customer with a key may use the route"
        elif (
            isinstance(part, ModelPart | AdapterPart)
            and _short(name) not in targets
            and not (isinstance(part, ModelPart) and _short(name) in bases)
        ):
            yield name, "version", part.version, "never used: no route leads to it"


def _route_limit_warnings(parts: Mapping[str, Part]) -> Iterator[_Warning]:
    for name, route in parts.items():
        if not isinstance(route, RoutePart) or route.kind != "model":
            continue
        model = _model_behind(route, parts)
        if model is not None and route.max_tokens >= model.context_tokens:
            reason = f"leaves no room for a prompt in context_tokens = {model.context_tokens}"
            yield name, "max_tokens", route.max_tokens, reason
        for customer, part in parts.items():
            if not isinstance(part, CustomerPart) or part.tokens_per_second is None:
                continue
            if not may_use(part, _short(name), route):
                continue
            seconds = route.max_tokens / part.tokens_per_second
            if seconds > route.deadline_seconds:
                reason = (
                    f"one longest answer of {_dotted(name, 'max_tokens')} = {route.max_tokens} uses"
                    f" {seconds:.0f} s of it, over the deadline of {route.deadline_seconds:g} s"
                )
                yield customer, "tokens_per_second", part.tokens_per_second, reason


def _fleet_warnings(fleet: Part | None) -> Iterator[_Warning]:
    if not isinstance(fleet, FleetPart):
        return
    if fleet.standard_floor > fleet.max_endpoints:
        reason = f"above max_endpoints = {fleet.max_endpoints}"
        yield FLEET_SECTION, "standard_floor", fleet.standard_floor, reason
    floor_cost = fleet.standard_floor * fleet.standard_cost_per_hour
    if fleet.budget_per_hour is not None and fleet.budget_per_hour < floor_cost:
        reason = f"below the cost of standard_floor in one zone, {floor_cost:g}"
        yield FLEET_SECTION, "budget_per_hour", fleet.budget_per_hour, reason
    if fleet.cheap_share > 0 and fleet.cheap_cost_per_hour > fleet.standard_cost_per_hour:
        reason = f"above standard_cost_per_hour = {fleet.standard_cost_per_hour:g}"
        yield FLEET_SECTION, "cheap_cost_per_hour", fleet.cheap_cost_per_hour, reason
    if fleet.change_roles and fleet.role_dwell_seconds < fleet.role_change_seconds:
        reason = f"shorter than a change, role_change_seconds = {fleet.role_change_seconds:g}"
        yield FLEET_SECTION, "role_dwell_seconds", fleet.role_dwell_seconds, reason


def _model_targets(parts: Mapping[str, Part]) -> set[str]:
    return {
        part.target
        for part in parts.values()
        if isinstance(part, RoutePart) and part.kind == "model"
    }


def _model_behind(route: RoutePart, parts: Mapping[str, Part]) -> ModelPart | None:
    adapter = parts.get(f"adapters/{route.target}")
    name = adapter.model if isinstance(adapter, AdapterPart) else route.target
    model = parts.get(f"models/{name}")
    return model if isinstance(model, ModelPart) else None


def _files_by_part(documents: Mapping[str, Mapping[str, Any]]) -> dict[str, str]:
    files: dict[str, str] = {}
    for file, document in documents.items():
        for section, table in document.items():
            if section == FLEET_SECTION:
                files[section] = file
            elif isinstance(table, dict):
                files.update({f"{section}/{name}": file for name in table})
    return files


def _with_file(
    problem: SettingsProblem, documents: Mapping[str, Mapping[str, Any]]
) -> SettingsProblem:
    """Return a problem of the parts together with the file of its entry."""
    if problem.file in documents:
        return problem
    for part, file in _files_by_part(documents).items():
        if problem.key.startswith(_dotted(part, "")):
            return replace(problem, file=file)
    return problem


def _short(part_name: str) -> str:
    return part_name.partition("/")[2]


def _dotted(part_name: str, key: str) -> str:
    return f"{part_name.replace('/', '.')}.{key}"
