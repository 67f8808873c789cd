"""Configuration changes, split into pieces for the transfer between hosts."""

from collections import deque
from collections.abc import Iterator

from samphirehall.configuration.documents import decode_part, encode_part
from samphirehall.configuration.version import EMPTY_CONFIGURATION, Configuration
from samphirehall.core.errors import FrameError
from samphirehall.membership.messages import Change

PIECE_BYTES = 64 * 1024
MAX_CHANGE_BYTES = 64 * 1024 * 1024
MAX_RECENT_VERSIONS = 16


class RecentConfigurations:
    """The last configurations, from which changes can be computed."""

    def __init__(self) -> None:
        self._configurations: deque[Configuration] = deque(maxlen=MAX_RECENT_VERSIONS)

    def add(self, configuration: Configuration) -> None:
        """Add a configuration that came into force."""
        self._configurations.append(configuration)

    def get(self, version: int) -> Configuration:
        """Return the configuration of a version, or the empty one if it is no longer stored."""
        return next(
            (
                configuration
                for configuration in self._configurations
                if configuration.version == version
            ),
            EMPTY_CONFIGURATION,
        )


def split_change(base: Configuration, new: Configuration) -> Iterator[Change]:
    """Yield the change from `base` to `new` in pieces of about `PIECE_BYTES`."""
    changed = {name: part for name, part in new.parts.items() if base.parts.get(name) != part}
    removed = tuple(sorted(base.parts.keys() - new.parts.keys()))
    pieces: list[dict[str, bytes]] = [{}]
    piece_bytes = 0
    for name, part in changed.items():
        content = encode_part(part)
        if pieces[-1] and piece_bytes + len(content) > PIECE_BYTES:
            pieces.append({})
            piece_bytes = 0
        pieces[-1][name] = content
        piece_bytes += len(content) + len(name)
    for number, parts in enumerate(pieces):
        piece_removed = removed if number == len(pieces) - 1 else ()
        yield Change(new.version, base.version, number, len(pieces), parts, piece_removed)


class ChangeAssembly:
    """Assembles a configuration from the pieces of one change, which arrive in order."""

    def __init__(self) -> None:
        self._reset(None)

    def _reset(self, first: Change | None) -> None:
        self._first = first
        self._next_piece = 0
        self._parts: dict[str, bytes] = {}
        self._total_bytes = 0

    def add(self, piece: Change, current: Configuration) -> Configuration | None:
        """Add a piece; return the configuration after the last one, otherwise None.

        None is also returned after the last piece if the change was not made from
        `current`.

        Parameters
        ----------
        piece : Change
            Received piece.
        current : Configuration
            Newest configuration of this host, the base of the change unless its base is 0.

        Raises
        ------
        FrameError
            The piece is not the next one of this change, or the change is too long or
            malformed.
        """
        if piece.piece == 0:
            self._reset(piece)
        first = self._first
        if first is None or (piece.version, piece.base, piece.pieces) != (
            first.version,
            first.base,
            first.pieces,
        ):
            raise FrameError("the piece does not belong to the configuration change being received")
        if piece.piece != self._next_piece:
            raise FrameError(f"received piece {piece.piece}, expected piece {self._next_piece}")
        self._next_piece += 1
        self._total_bytes += sum(map(len, piece.parts.values()))
        if self._total_bytes > MAX_CHANGE_BYTES:
            raise FrameError(f"the configuration change exceeds {MAX_CHANGE_BYTES} bytes")
        self._parts.update(piece.parts)
        if self._next_piece < piece.pieces:
            return None
        return self._assemble(piece, current)

    def _assemble(self, last: Change, current: Configuration) -> Configuration | None:
        if last.base not in (0, current.version):
            return None
        base = current if last.base else EMPTY_CONFIGURATION
        try:
            changed = {name: decode_part(name, content) for name, content in self._parts.items()}
        except ValueError as error:
            raise FrameError(f"malformed part: {error}") from error
        return base.with_changes(last.version, changed, last.removed)
