"""A configuration in force: a version number and its parts, indexed for requests."""

from collections.abc import Iterable, Mapping

from samphirehall.configuration.documents import (
    CustomerPart,
    FleetPart,
    ModelPart,
    Part,
    RoutePart,
)


class Configuration:
    """One version of the operators' configuration; never changed once made.

    Parameters
    ----------
    version : int
        Grows by one with each accepted change; 0 before the first.
    parts : mapping of str to Part
        All parts by name.
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
        """All parts by name."""
        return self._parts

    @property
    def fleet(self) -> FleetPart:
        """Rules of the fleet; defaults if none were given."""
        part = self._parts.get("fleet")
        return part if isinstance(part, FleetPart) else FleetPart()

    def customer_of(self, digest: str) -> str | None:
        """Return the customer whose key has this digest, or None."""
        return self._customer_by_digest.get(digest)

    def customer(self, name: str) -> CustomerPart | None:
        """Return a customer's part, or None."""
        part = self._parts.get(f"customers/{name}")
        return part if isinstance(part, CustomerPart) else None

    def route(self, name: str) -> RoutePart | None:
        """Return a route's part, or None."""
        part = self._parts.get(f"routes/{name}")
        return part if isinstance(part, RoutePart) else None

    def model(self, name: str) -> ModelPart | None:
        """Return a model's part, or None."""
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

    def changed(
        self, version: int, changed: Mapping[str, Part], removed: Iterable[str]
    ) -> "Configuration":
        """Return the configuration after a change."""
        parts = {**self._parts, **changed}
        for name in removed:
            parts.pop(name, None)
        return Configuration(version, parts)


EMPTY = Configuration(0, {})
