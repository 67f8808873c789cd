"""Messages of the link between the two processes of a host."""

from dataclasses import dataclass

from samphirehall.configuration.documents import decode_part, encode_part
from samphirehall.configuration.version import Configuration
from samphirehall.core.errors import FrameError
from samphirehall.core.types import EndpointInfo
from samphirehall.node.facts import Fact
from samphirehall.node.state import NodeState


@dataclass(slots=True, frozen=True)
class ConfigurationUpdate:
    """Parts of a configuration, changed against `base`; all of them if `base` is 0."""

    version: int
    base: int
    parts: dict[str, bytes]
    removed: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class EndpointsUpdate:
    """The whole endpoint table."""

    endpoints: tuple[EndpointInfo, ...]


@dataclass(slots=True, frozen=True)
class FactsUpdate:
    """Facts that are new to the sender."""

    facts: tuple[Fact, ...]


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """Keeps a quiet link alive and says what the sender has.

    Parameters
    ----------
    version : int
        Configuration version in force in the sending process.
    confirmed_at : float
        Boot clock of this host, in seconds, at which the sender's configuration
        was last known to be the newest; minus infinity if never.
    """

    version: int
    confirmed_at: float


LINK_MESSAGES = (ConfigurationUpdate, EndpointsUpdate, FactsUpdate, Heartbeat)


def configuration_update(old: Configuration, new: Configuration) -> ConfigurationUpdate:
    """Return the change from one configuration to the next."""
    changed = {
        name: encode_part(part) for name, part in new.parts.items() if old.parts.get(name) != part
    }
    removed = tuple(old.parts.keys() - new.parts.keys())
    return ConfigurationUpdate(new.version, old.version, changed, removed)


def apply_update(state: NodeState, update: ConfigurationUpdate) -> bool:
    """Put the configuration of an update in force; return whether it was newer.

    Raises
    ------
    FrameError
        The change was made from another version; a new connection brings everything.
    """
    if update.version <= state.configuration.version:
        return False
    parts = {name: decode_part(name, content) for name, content in update.parts.items()}
    if update.base == 0:
        return state.take_configuration(Configuration(update.version, parts))
    if update.base != state.configuration.version:
        held = state.configuration.version
        raise FrameError(f"change from version {update.base}, but version {held} is in force")
    return state.take_configuration(
        state.configuration.with_changes(update.version, parts, update.removed)
    )
