"""Storage of the configuration in the platform.

A pointer row names the manifest of the version in force; the manifest lists the
digests of the parts. Manifests and parts are objects addressed by their digests.

The table may be restored from an older copy, and then lacks versions that are in force.
Hosts store the version that they have again. The first change after a restoration leaves
out numbers, as its number would otherwise be that of a lost version of other content.
"""

import logging
from collections.abc import Container, Mapping
from dataclasses import dataclass, replace
from typing import Protocol

import anyio
import msgspec

from samphirehall.backing import Check, Table, Write
from samphirehall.backing.table import ABSENT, NO_ERA, convert_row, readable_rows
from samphirehall.configuration.documents import Part, decode_part, encode_part, part_digest
from samphirehall.configuration.version import Configuration
from samphirehall.core.decoding import DecodingError, convert, decode
from samphirehall.core.errors import PlatformUnavailableError, SamphireError
from samphirehall.core.identifiers import content_digest, new_identifier
from samphirehall.core.log import log_decision
from samphirehall.core.results import CONFIGURATION_CONFLICT

POINTER_KEY = "configuration/pointer"
HISTORY_PREFIX = "configuration/history/"
MAX_POINTER_ATTEMPTS = 8
POINTER_RETRY_INTERVAL_SECONDS = 0.2
RESTORED_VERSION_GAP = 1_000  # more changes than a table loses in a restoration
MAX_HISTORY_VERSIONS = 10_000  # older rows are deleted when a version is accepted

_log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class Pointer:
    """Value of the pointer row.

    Parameters
    ----------
    version : int
        Version of the configuration.
    manifest : str
        Digest of the manifest object.
    author : str
        Operator who applied the version.
    change : str
        Identifier of the change. After a lost answer it shows whether the change was
        accepted.
    applied_at : float
        Wall clock of the applying host, in seconds since the epoch.
    era : int
        Era of the table in which the number was chosen.
    """

    version: int
    manifest: str
    author: str
    change: str
    applied_at: float
    era: int = NO_ERA


@dataclass(slots=True, frozen=True)
class Manifest:
    """Manifest object: the digests of all parts, by part name."""

    parts: dict[str, str]


class ConfigurationStore(Table, Protocol):
    """Interface of the platform that stores the configuration: a table and an object store."""

    async def put_object(self, digest: str, content: bytes) -> None:
        """Store an object under its digest; storing it again has no effect."""

    async def get_object(self, digest: str) -> bytes:
        """Return the object with a digest."""


_manifest_decoder = msgspec.json.Decoder(Manifest)


class ConfigurationConflictError(SamphireError):
    """Another version is in force than the change was based on; the message names it."""


async def read_pointer(platform: Table) -> tuple[Pointer | None, int]:
    """Return the pointer and its row version; None and `ABSENT` if there is no row yet."""
    row = (await platform.read([POINTER_KEY])).get(POINTER_KEY)
    if row is None:
        return None, ABSENT
    return convert_row(row, Pointer), row.version


async def read_manifest(platform: ConfigurationStore, pointer: Pointer) -> Manifest:
    """Return the manifest that a pointer refers to.

    Raises
    ------
    PlatformUnavailableError
        The platform did not return a manifest.
    """
    try:
        return decode(await platform.get_object(pointer.manifest), _manifest_decoder)
    except DecodingError as error:
        raise PlatformUnavailableError(f"object {pointer.manifest}: {error}") from error


async def fetch_configuration(
    platform: ConfigurationStore, pointer: Pointer, current: Configuration
) -> Configuration:
    """Return the configuration of a pointer, fetching only parts that `current` lacks."""
    manifest = await read_manifest(platform, pointer)
    known_parts = {part_digest(part): part for part in current.parts.values()}
    parts = {}
    for name, digest in manifest.parts.items():
        part = known_parts.get(digest)
        try:
            parts[name] = part or decode_part(name, await platform.get_object(digest))
        except ValueError as error:
            raise PlatformUnavailableError(f"object {digest}: {error}") from error
    return Configuration(pointer.version, parts)


async def apply_configuration(
    platform: ConfigurationStore,
    parts: Mapping[str, Part],
    *,
    base_version: int | None,
    author: str,
    now: float,
) -> Pointer:
    """Replace the whole configuration in force by `parts`.

    Parameters
    ----------
    platform : ConfigurationStore
        Store of the configuration.
    parts : mapping of str to Part
        All parts, already validated.
    base_version : int, optional
        Version that the change was based on; None for the version in force.
    author : str
        Operator who is named in the history.
    now : float
        Wall clock in seconds since the epoch.

    Raises
    ------
    ConfigurationConflictError
        The version in force is not `base_version`, or another change was accepted
        first.
    PlatformUnavailableError
        The platform did not answer, and the outcome could not be read either.
    """
    pointer = await _apply_once(platform, parts, base_version, author, now)
    while pointer.era != platform.era:
        # A number of an earlier era may be that of a lost version.
        pointer = await _apply_once(platform, parts, None, author, now)
    log_decision(_log, "configuration-applied", "accepted", version=pointer.version, author=author)
    return pointer


async def _apply_once(
    platform: ConfigurationStore,
    parts: Mapping[str, Part],
    base_version: int | None,
    author: str,
    now: float,
) -> Pointer:
    current, row_version = await read_pointer(platform)
    era = platform.era
    current_version = current.version if current else 0
    if base_version is not None and base_version != current_version:
        raise _conflict_error(base_version, current)
    stored = set((await read_manifest(platform, current)).parts.values()) if current else set()
    manifest = await _put_objects(platform, parts, stored)
    version = _next_version(current, era)
    pointer = Pointer(version, manifest, author, new_identifier("chg"), now, era)
    await _write_pointer(platform, pointer, row_version)
    return pointer


def _next_version(current: Pointer | None, era: int) -> int:
    if current is None:
        return 1 if era == NO_ERA else 1 + RESTORED_VERSION_GAP
    return current.version + (1 if current.era == era else RESTORED_VERSION_GAP)


async def _put_objects(
    platform: ConfigurationStore, parts: Mapping[str, Part], stored: Container[str]
) -> str:
    """Store the parts whose digests are not in `stored`, and their manifest; return its digest."""
    encoded = {name: encode_part(part) for name, part in parts.items()}
    digests = {name: content_digest(content) for name, content in encoded.items()}
    manifest = msgspec.json.encode(Manifest(digests), order="sorted")
    for name, content in encoded.items():
        if digests[name] not in stored:
            await platform.put_object(digests[name], content)
    await platform.put_object(content_digest(manifest), manifest)
    return content_digest(manifest)


async def store_again(
    platform: ConfigurationStore, configuration: Configuration, pointer: Pointer
) -> bool:
    """Store a version that the table lacks since it was restored; return whether that was needed.

    The pointer gets the era of the one that it replaces, so that the next change still leaves
    out the numbers of versions that no host has stored again.

    Parameters
    ----------
    platform : ConfigurationStore
        Store of the configuration.
    configuration : Configuration
        Newest version that this host has.
    pointer : Pointer
        Pointer of that version, as it was accepted.

    Raises
    ------
    PlatformUnavailableError
        The platform did not answer.
    """
    current, row_version = await read_pointer(platform)
    if current is not None and current.version >= pointer.version:
        return False
    await _put_objects(platform, configuration.parts, frozenset())
    stored = replace(pointer, era=current.era if current else NO_ERA)
    result = await platform.transact([Check(POINTER_KEY, row_version)], _pointer_writes(stored))
    if result.committed:
        reason = "the table was restored from an older copy"
        log_decision(_log, "configuration-stored-again", reason, version=pointer.version)
    return result.committed


async def _write_pointer(platform: Table, pointer: Pointer, row_version: int) -> None:
    """Compare and set the pointer; after a lost answer, read whether it was accepted."""
    for _ in range(MAX_POINTER_ATTEMPTS):
        try:
            result = await platform.transact(
                [Check(POINTER_KEY, row_version)], _pointer_writes(pointer)
            )
            if result.committed or await _was_accepted(platform, pointer):
                return
            current, _ = await read_pointer(platform)
        except PlatformUnavailableError:
            await anyio.sleep(POINTER_RETRY_INTERVAL_SECONDS)
            continue
        raise _conflict_error(pointer.version - 1, current)
    raise PlatformUnavailableError(
        f"change {pointer.change} to version {pointer.version} may have been accepted; "
        "the history shows whether it was"
    )


def _pointer_writes(pointer: Pointer) -> list[Write]:
    value = msgspec.to_builtins(pointer)
    writes = [Write(POINTER_KEY, value), Write(_history_key(pointer.version), value)]
    if pointer.version > MAX_HISTORY_VERSIONS:
        writes.append(Write(_history_key(pointer.version - MAX_HISTORY_VERSIONS), None))
    return writes


async def _was_accepted(platform: Table, pointer: Pointer) -> bool:
    accepted_pointer = await read_version(platform, pointer.version)
    return accepted_pointer is not None and accepted_pointer.change == pointer.change


async def read_version(platform: Table, version: int) -> Pointer | None:
    """Return the pointer of an accepted version, or None if it is unknown or deleted."""
    key = _history_key(version)
    row = (await platform.read([key])).get(key)
    return None if row is None else convert_row(row, Pointer)


def _history_key(version: int) -> str:
    return f"{HISTORY_PREFIX}{version:012d}"


def _conflict_error(base_version: int, current: Pointer | None) -> ConfigurationConflictError:
    version = current.version if current else 0
    author = current.author if current else "nobody"
    return ConfigurationConflictError(
        CONFIGURATION_CONFLICT,
        f"the change is based on version {base_version}, but version {version} by {author!r} is "
        "in force",
    )


async def read_history(platform: Table, *, limit: int = 50) -> list[Pointer]:
    """Return the newest accepted versions, newest first."""
    newest, _ = await read_pointer(platform)
    if newest is None:
        return []
    oldest = max(1, newest.version - limit + 1)
    keys = [_history_key(version) for version in range(newest.version, oldest - 1, -1)]
    rows = await platform.read(keys)
    listed = [rows[key] for key in keys if key in rows]
    return [pointer for _, pointer in readable_rows(listed, lambda value: convert(value, Pointer))]
