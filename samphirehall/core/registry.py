"""Registry of plug-ins.

A plug-in is a function or class that an entry point of the group
``samphirehall.<kind>`` names, or that is registered with `Registry.register`.
"""

from collections.abc import Callable
from importlib.metadata import entry_points
from typing import Generic, TypeVar

T = TypeVar("T")


class UnknownPluginError(LookupError):
    """Raised if no plug-in of a kind has the requested name."""


class Registry(Generic[T]):
    """Holds the plug-ins of one kind by name.

    Parameters
    ----------
    kind : str
        Kind of plug-in, such as ``"routing"``; entry points are looked up in the
        group ``samphirehall.<kind>``.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._plugins: dict[str, T] = {}
        self._loaded = False

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its argument as `name`."""

        def decorate(plugin: T) -> T:
            if name in self._plugins and self._plugins[name] is not plugin:
                raise ValueError(f"{self.kind} plug-in {name!r} is registered twice")
            self._plugins[name] = plugin
            return plugin

        return decorate

    def names(self) -> tuple[str, ...]:
        """Return the names of all plug-ins, sorted."""
        self._load()
        return tuple(sorted(self._plugins))

    def get(self, name: str) -> T:
        """Return the plug-in called `name`.

        Raises
        ------
        UnknownPluginError
            No plug-in has this name; the message lists the known ones.
        """
        self._load()
        if name not in self._plugins:
            known = ", ".join(self.names()) or "none"
            raise UnknownPluginError(f"unknown {self.kind} plug-in {name!r}; known: {known}")
        return self._plugins[name]

    def _load(self) -> None:
        if self._loaded:
            return
        self._loaded = True
        for entry_point in entry_points(group=f"samphirehall.{self.kind}"):
            self._plugins.setdefault(entry_point.name, entry_point.load())
