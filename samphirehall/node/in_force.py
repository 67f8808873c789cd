"""On which hosts a configuration version is in force."""

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class HostsInForce:
    """Hosts by whether they said that a version, or a later one, is in force.

    Parameters
    ----------
    in_force : list of str
        Hosts that said so.
    unknown : list of str
        Known hosts that did not, or could not be asked.
    down : list of str
        Those of `unknown` that their own zone reports as down.
    """

    in_force: list[str] = field(default_factory=list)
    unknown: list[str] = field(default_factory=list)
    down: list[str] = field(default_factory=list)


ReadHostsInForce = Callable[[int], HostsInForce]
