"""Hosts on which a configuration version is in force."""

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class HostsInForce:
    """Hosts grouped by whether they reported a version, or a later one, as in force.

    Parameters
    ----------
    in_force : list of str
        Hosts that reported it.
    unknown : list of str
        Known hosts that did not report it, or could not be reached.
    down : list of str
        Hosts of `unknown` that the hosts of their zone report as down.
    """

    in_force: list[str] = field(default_factory=list)
    unknown: list[str] = field(default_factory=list)
    down: list[str] = field(default_factory=list)


ReadHostsInForce = Callable[[int], HostsInForce]
