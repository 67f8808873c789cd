"""The configuration in the platform: a pointer row, a manifest and digest-addressed parts."""

import logging
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from samphirehall.configuration.documents import Part, decode_part, encode_part
from samphirehall.configuration.version import Configuration
from samphirehall.core.errors import PlatformUnavailableError, SamphireError
from samphirehall.core.identifiers import content_digest, new_identifier
from samphirehall.core.log import log_decision
from samphirehall.core.results import CONFIGURATION_CONFLICT
from samphirehall.platform import Check, Platform, Row, Write
from samphirehall.platform.table import ABSENT

POINTER_KEY = "configuration/pointer"
HISTORY_PREFIX = "configuration/history/"
SETTLE_ATTEMPTS = 5

_log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class Pointer:
    """Value of the pointer row.

    Parameters
    ----------
    version : int
        Version in force.
    manifest : str
        Digest of the manifest object.
    author : str
        Operator who applied it.
    change : str
        Identifier of the change, by which a lost answer is settled.
    applied_at : float
        Wall clock of the applying host, in seconds since the epoch.
    """

    version: int
    manifest: str
    author: str
    change: str
    applied_at: float


@dataclass(slots=True, frozen=True)
class Manifest:
    """Digests of all parts, by part name."""

    parts: dict[str, str]


class ConfigurationConflictError(SamphireError):
    """Another change won; the message names its version."""


async def read_pointer(platform: Platform) -> tuple[Pointer | None, int]:
    """Return the pointer and the version of its row; None and `ABSENT` before the first."""
    row = (await platform.read([POINTER_KEY])).get(POINTER_KEY)
    if row is None:
        return None, ABSENT
    return msgspec.convert(row.value, Pointer), row.version


async def read_manifest(platform: Platform, pointer: Pointer) -> Manifest:
    """Return the manifest a pointer names."""
    return msgspec.json.decode(await platform.get_object(pointer.manifest), type=Manifest)


async def fetch_configuration(
    platform: Platform, pointer: Pointer, current: Configuration
) -> Configuration:
    """Return the configuration a pointer names, fetching only parts that `current` lacks."""
    manifest = await read_manifest(platform, pointer)
    held = {content_digest(encode_part(part)): part for part in current.parts.values()}
    parts = {}
    for name, digest in manifest.parts.items():
        part = held.get(digest)
        parts[name] = part or decode_part(name, await platform.get_object(digest))
    return Configuration(pointer.version, parts)


async def apply_configuration(
    platform: Platform,
    parts: Mapping[str, Part],
    *,
    base_version: int | None,
    author: str,
    now: float,
) -> Pointer:
    """Make `parts` the configuration in force, as a whole.

    Parameters
    ----------
    platform : Platform
        Store of the configuration.
    parts : mapping of str to Part
        All parts, already checked.
    base_version : int, optional
        Version the change was made from; None for whichever is in force.
    author : str
        Operator for the history.
    now : float
        Wall clock in seconds since the epoch.

    Raises
    ------
    ConfigurationConflictError
        The version in force is not `base_version`, or another change won the race.
    PlatformUnavailableError
        The platform did not answer, and the outcome could not be read back.
    """
    current, row_version = await read_pointer(platform)
    current_version = current.version if current else 0
    if base_version is not None and base_version != current_version:
        raise _conflict(base_version, current)
    encoded = {name: encode_part(part) for name, part in parts.items()}
    manifest = msgspec.json.encode(
        Manifest({name: content_digest(content) for name, content in encoded.items()}),
        order="sorted",
    )
    for content in [*encoded.values(), manifest]:
        await platform.put_object(content_digest(content), content)
    pointer = Pointer(
        current_version + 1, content_digest(manifest), author, new_identifier("chg"), now
    )
    await _move_pointer(platform, pointer, row_version)
    log_decision(_log, "configuration-applied", "accepted", version=pointer.version, author=author)
    return pointer


async def _move_pointer(platform: Platform, pointer: Pointer, row_version: int) -> None:
    checks = [Check(POINTER_KEY, row_version)]
    value = msgspec.to_builtins(pointer)
    writes = [Write(POINTER_KEY, value), Write(_history_key(pointer.version), value)]
    for _ in range(SETTLE_ATTEMPTS):
        try:
            result = await platform.transact(checks, writes)
        except PlatformUnavailableError:
            if await _took_effect(platform, pointer):
                return
            continue
        if result.committed or await _took_effect(platform, pointer):
            return
        current, _ = await read_pointer(platform)
        raise _conflict(pointer.version - 1, current)
    raise PlatformUnavailableError("the outcome of the change could not be read back")


async def _took_effect(platform: Platform, pointer: Pointer) -> bool:
    key = _history_key(pointer.version)
    row = (await platform.read([key])).get(key)
    return row is not None and msgspec.convert(row.value, Pointer).change == pointer.change


def _history_key(version: int) -> str:
    return f"{HISTORY_PREFIX}{version:012d}"


def _conflict(base_version: int, current: Pointer | None) -> ConfigurationConflictError:
    version = current.version if current else 0
    author = current.author if current else "nobody"
    return ConfigurationConflictError(
        CONFIGURATION_CONFLICT,
        f"change was made from version {base_version}, but version {version} by {author!r} is "
        "in force",
    )


async def history(platform: Platform, *, limit: int = 50) -> list[Pointer]:
    """Return the newest accepted versions, newest first."""
    rows: list[Row] = await platform.scan(HISTORY_PREFIX, limit=10_000)
    return [msgspec.convert(row.value, Pointer) for row in reversed(rows[-limit:])]
