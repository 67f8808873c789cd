"""Parts of the operators' configuration, and their parsing and validation from TOML.

A document has the tables ``customers``, ``models``, ``adapters``, ``routes``
and ``fleet``. Each customer, model, adapter and route is a separate part, and so
is the fleet, so that only the changed parts are stored and sent after a change.
"""

import tomllib
import typing
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from samphirehall.core.decoding import decode
from samphirehall.core.errors import SamphireError
from samphirehall.core.identifiers import content_digest
from samphirehall.core.results import CONFIGURATION_INVALID
from samphirehall.core.types import Role
from samphirehall.settings.loading import SettingsProblem, build_checked

Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
PositiveFloat = Annotated[float, Meta(gt=0)]
ANY_NAME = "*"


@dataclass(slots=True)
class CustomerPart:
    """``[customers.<name>]``: shares, limits and key digests of a customer.

    ``weight`` is the customer's share relative to the weights of other customers;
    ``models`` and ``routes`` list what it may use, ``"*"`` for everything.
    """

    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    key_digests: list[Digest] = field(default_factory=list)
    models: list[str] = field(default_factory=lambda: [ANY_NAME])
    routes: list[str] = field(default_factory=lambda: [ANY_NAME])
    requests_per_second: PositiveFloat | None = None
    tokens_per_second: PositiveFloat | None = None
    max_in_flight: Annotated[int, Meta(ge=1)] | None = None
    serve_when_isolated_seconds: Annotated[float, Meta(ge=0)] | None = None


@dataclass(slots=True)
class ModelPart:
    """``[models.<name>]``: a model and the version that engines load."""

    version: str
    weight_bytes: Annotated[int, Meta(ge=1)] = 1_000_000_000
    context_tokens: Annotated[int, Meta(ge=1)] = 131_072


@dataclass(slots=True)
class AdapterPart:
    """``[adapters.<name>]``: an adapter of a model and its version."""

    model: str
    version: str
    weight_bytes: Annotated[int, Meta(ge=1)] = 50_000_000


@dataclass(slots=True)
class RoutePart:
    """``[routes.<name>]``: a public name that callers send requests to.

    ``kind`` is ``"model"`` for completions or ``"service"`` for a plain
    service; ``target`` is the model, adapter or service behind the route.
    """

    kind: Literal["model", "service"]
    target: str
    open: bool = False
    idempotent: bool = True
    deadline_seconds: Annotated[float, Meta(gt=0, le=3600)] = 30.0
    priority: Literal["urgent", "normal", "batch"] = "normal"
    max_tokens: Annotated[int, Meta(ge=1)] = 4096


@dataclass(slots=True)
class FleetPart:
    """``[fleet]``: rules for engine roles, endpoint counts and cheap endpoints.

    ``standard_floor`` and ``max_endpoints`` count the engines of one zone.
    ``budget_per_hour`` is in the currency of the two costs. The prefill and decode
    rates are those of one engine that does only prefill or only decode.
    ``order_endpoints``, ``change_roles`` and ``place_models`` enable automatic
    orders of that kind.
    """

    standard_floor: Annotated[int, Meta(ge=0)] = 1
    max_endpoints: Annotated[int, Meta(ge=0)] = 64
    cheap_share: Annotated[float, Meta(ge=0, le=1)] = 0.5
    standard_cost_per_hour: PositiveFloat = 4.0
    cheap_cost_per_hour: PositiveFloat = 1.2
    budget_per_hour: PositiveFloat | None = None
    initial_role: Role = Role.MIXED
    role_dwell_seconds: PositiveFloat = 60.0
    role_change_seconds: PositiveFloat = 5.0
    prefill_tokens_per_second: PositiveFloat = 8_000.0
    decode_tokens_per_second: PositiveFloat = 1_500.0
    weight_store_bytes_per_second: PositiveFloat = 2_000_000_000.0
    order_endpoints: bool = False
    change_roles: bool = False
    place_models: bool = False


Part = CustomerPart | ModelPart | AdapterPart | RoutePart | FleetPart

PART_TYPES: dict[str, type] = {
    "customers": CustomerPart,
    "models": ModelPart,
    "adapters": AdapterPart,
    "routes": RoutePart,
}
FLEET_SECTION = "fleet"


class ConfigurationError(SamphireError):
    """A configuration was rejected as a whole; `problems` lists every reason."""

    def __init__(self, problems: list[SettingsProblem]) -> None:
        super().__init__(CONFIGURATION_INVALID, "; ".join(map(str, problems)))
        self.problems = problems


def read_documents(paths: Iterable[str | Path]) -> dict[str, dict[str, Any]]:
    """Return the parsed TOML documents of several files, by path.

    Raises
    ------
    ConfigurationError
        Some files cannot be read or are not TOML; it lists all of them.
    """
    problems: list[SettingsProblem] = []
    documents = {}
    for path in paths:
        try:
            documents[str(path)] = tomllib.loads(Path(path).read_text())
        except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as error:
            problems.append(SettingsProblem(str(path), "file", str(path), f"TOML ({error})"))
    if problems:
        raise ConfigurationError(problems)
    return documents


def check_documents(documents: Mapping[str, Mapping[str, Any]]) -> dict[str, Part]:
    """Return the validated parts of parsed documents, by part name.

    Raises
    ------
    ConfigurationError
        Some documents are invalid; it lists the problems of all documents.
    """
    problems: list[SettingsProblem] = []
    parts: dict[str, Part] = {}
    for file, document in documents.items():
        for name, part in parse_document(document, file=file, problems=problems).items():
            if name in parts:
                problems.append(SettingsProblem(file, name, "", "defined in one document only"))
            parts[name] = part
    problems.extend(check_references(parts))
    if problems:
        raise ConfigurationError(problems)
    return parts


def parse_document(
    document: Mapping[str, Any], *, file: str, problems: list[SettingsProblem]
) -> dict[str, Part]:
    """Return the valid parts of one parsed document; append problems to `problems`."""
    parts: dict[str, Part] = {}
    for section, table in document.items():
        part_type: type
        if section == FLEET_SECTION:
            named, part_type = {FLEET_SECTION: table}, FleetPart
        elif section in PART_TYPES and isinstance(table, dict):
            named = {f"{section}/{name}": body for name, body in table.items()}
            part_type = PART_TYPES[section]
        else:
            allowed = "one of the tables " + ", ".join([*PART_TYPES, FLEET_SECTION])
            problems.append(SettingsProblem(file, section, table, allowed))
            continue
        for name, body in named.items():
            if not isinstance(body, dict):
                problems.append(SettingsProblem(file, name, body, "a table"))
                continue
            prefix = name.replace("/", ".") + "."
            part = build_checked(part_type, body, file=file, prefix=prefix, problems=problems)
            if part is not None:
                parts[name] = part
    return parts


def check_references(parts: Mapping[str, Part]) -> list[SettingsProblem]:
    """Return a problem for each undefined name and each key shared by two customers."""
    problems = []
    customer_by_digest: dict[str, str] = {}
    for name, part in parts.items():
        if isinstance(part, AdapterPart) and f"models/{part.model}" not in parts:
            problems.append(_unknown_name_problem(name, "model", part.model, parts, ("models",)))
        if isinstance(part, RoutePart) and not _has_target(part, parts):
            problems.append(
                _unknown_name_problem(name, "target", part.target, parts, ("models", "adapters"))
            )
        if isinstance(part, CustomerPart):
            problems.extend(_duplicate_key_problems(name, part, customer_by_digest))
    return problems


def _has_target(route: RoutePart, parts: Mapping[str, Part]) -> bool:
    known = {f"models/{route.target}", f"adapters/{route.target}"}
    return route.kind != "model" or bool(known & parts.keys())


def _unknown_name_problem(
    name: str, key: str, value: str, parts: Mapping[str, Part], sections: tuple[str, ...]
) -> SettingsProblem:
    known = sorted(
        other.partition("/")[2] for other in parts if other.partition("/")[0] in sections
    )
    allowed = f"one of {', '.join(sections)}: {', '.join(known) or 'none is defined'}"
    return SettingsProblem("configuration", f"{name.replace('/', '.')}.{key}", value, allowed)


def _duplicate_key_problems(
    name: str, part: CustomerPart, customer_by_digest: dict[str, str]
) -> Iterable[SettingsProblem]:
    for digest in part.key_digests:
        customer = customer_by_digest.setdefault(digest, name)
        if customer != name:
            yield SettingsProblem(
                "configuration",
                f"{name}.key_digests",
                digest,
                f"unique; {customer} has the same key",
            )


def may_use(part: CustomerPart, route_name: str, route: RoutePart) -> bool:
    """Return whether a customer may use a route and the model behind it."""
    if ANY_NAME not in part.routes and route_name not in part.routes:
        return False
    return route.kind != "model" or ANY_NAME in part.models or route.target in part.models


def resolve_part_type(name: str) -> type:
    """Return the class of the part with a name such as ``"customers/coop"``."""
    section = name.partition("/")[0]
    if section == FLEET_SECTION:
        return FleetPart
    if section not in PART_TYPES:
        known = ", ".join([*PART_TYPES, FLEET_SECTION])
        raise ValueError(f"unknown section in part name {name!r}; known sections: {known}")
    return PART_TYPES[section]


def encode_part(part: Part) -> bytes:
    """Return the canonical JSON encoding of a part."""
    return msgspec.json.encode(part, order="sorted")


def decode_part(name: str, content: bytes) -> Part:
    """Return the part that `encode_part` encoded.

    Raises
    ------
    ValueError
        The name or the content is not that of a part.
    """
    decoder: msgspec.json.Decoder[Any] = msgspec.json.Decoder(resolve_part_type(name))
    return typing.cast(Part, decode(content, decoder))


def part_digest(part: Part) -> str:
    """Return the content digest under which a part is stored."""
    return content_digest(encode_part(part))
