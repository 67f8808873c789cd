"""A version of the configuration, with indexes for the lookups of requests."""

from collections.abc import Iterable, Mapping

from samphirehall.configuration.documents import (
    CustomerPart,
    FleetPart,
    ModelPart,
    Part,
    RoutePart,
)


class Configuration:
    """One immutable version of the operators' configuration.

    Parameters
    ----------
    version : int
        Version number; increases by one with each accepted change, 0 before the first.
    parts : mapping of str to Part
        All parts by part name, such as ``"customers/coop"``.
    """

    def __init__(self, version: int, parts: Mapping[str, Part]) -> None:
        self._version = version
        self._parts = dict(parts)
        self._customer_by_digest: dict[str, str] = {}
        for name, part in self._parts.items():
            if isinstance(part, CustomerPart):
                customer = name.partition("/")[2]
                self._customer_by_digest.update(dict.fromkeys(part.key_digests, customer))

    @property
    def version(self) -> int:
        """Version number."""
        return self._version

    @property
    def parts(self) -> Mapping[str, Part]:
        """All parts by part name."""
        return self._parts

    @property
    def fleet(self) -> FleetPart:
        """Fleet part, or one with default values if the configuration has none."""
        part = self._parts.get("fleet")
        return part if isinstance(part, FleetPart) else FleetPart()

    def find_customer_name(self, digest: str) -> str | None:
        """Return the name of the customer whose key has this digest, or None."""
        return self._customer_by_digest.get(digest)

    def customer(self, name: str) -> CustomerPart | None:
        """Return the part of a customer, or None."""
        part = self._parts.get(f"customers/{name}")
        return part if isinstance(part, CustomerPart) else None

    def route(self, name: str) -> RoutePart | None:
        """Return the part of a route, or None."""
        part = self._parts.get(f"routes/{name}")
        return part if isinstance(part, RoutePart) else None

    def model(self, name: str) -> ModelPart | None:
        """Return the part of a model, or None."""
        part = self._parts.get(f"models/{name}")
        return part if isinstance(part, ModelPart) else None

    def routes(self) -> dict[str, RoutePart]:
        """Return all routes by name."""
        return {
            name.partition("/")[2]: part
            for name, part in self._parts.items()
            if isinstance(part, RoutePart)
        }

    def customers(self) -> dict[str, CustomerPart]:
        """Return all customers by name."""
        return {
            name.partition("/")[2]: part
            for name, part in self._parts.items()
            if isinstance(part, CustomerPart)
        }

    def with_changes(
        self, version: int, changed: Mapping[str, Part], removed: Iterable[str]
    ) -> "Configuration":
        """Return a new version with some parts added or replaced and others removed."""
        parts = {**self._parts, **changed}
        for name in removed:
            parts.pop(name, None)
        return Configuration(version, parts)


EMPTY_CONFIGURATION = Configuration(0, {})
