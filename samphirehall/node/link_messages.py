"""Messages on the link between the two processes of a host.

Class names are sent as text, the fields of a message by position, and the
fields of values inside it, such as facts, by name.
"""

from dataclasses import dataclass

from samphirehall.configuration.documents import decode_part, encode_part
from samphirehall.configuration.version import Configuration
from samphirehall.core.errors import FrameError
from samphirehall.core.types import EndpointInfo
from samphirehall.node.facts import Fact
from samphirehall.node.state import NodeState


@dataclass(slots=True, frozen=True)
class ConfigurationUpdate:
    """Parts that changed since `base_version`, or all parts if that is 0."""

    version: int
    base_version: int
    changed_parts: dict[str, bytes]
    removed_parts: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class EndpointsUpdate:
    """The complete endpoint table; replaces the receiver's."""

    endpoints: tuple[EndpointInfo, ...]


@dataclass(slots=True, frozen=True)
class FactsUpdate:
    """Facts that the receiver may not have yet."""

    facts: tuple[Fact, ...]


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """Keeps an idle link alive and reports the configuration version of the sender.

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
    """Return the update that turns `old` into `new`."""
    changed_parts = {
        name: encode_part(part) for name, part in new.parts.items() if old.parts.get(name) != part
    }
    removed = tuple(old.parts.keys() - new.parts.keys())
    return ConfigurationUpdate(new.version, old.version, changed_parts, removed)


def apply_update(state: NodeState, update: ConfigurationUpdate) -> bool:
    """Put the configuration of an update in force; return whether it was newer.

    Raises
    ------
    FrameError
        If the update is based on a version that is not in force, or has a malformed
        part. The link is then closed, and the next connection sends the whole
        configuration.
    """
    if update.version <= state.configuration.version:
        return False
    try:
        parts = {name: decode_part(name, content) for name, content in update.changed_parts.items()}
    except ValueError as error:
        raise FrameError(f"malformed part: {error}") from error
    if update.base_version == 0:
        return state.put_in_force(Configuration(update.version, parts))
    if update.base_version != state.configuration.version:
        version_in_force = state.configuration.version
        raise FrameError(
            f"the update is based on version {update.base_version}, "
            f"but version {version_in_force} is in force"
        )
    return state.put_in_force(
        state.configuration.with_changes(update.version, parts, update.removed_parts)
    )
