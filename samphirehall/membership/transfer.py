"""Configuration changes between hosts, in pieces of bounded size."""

from collections import deque
from collections.abc import Iterator

from samphirehall.configuration.documents import decode_part, encode_part
from samphirehall.configuration.version import EMPTY_CONFIGURATION, Configuration
from samphirehall.core.errors import FrameError
from samphirehall.membership.messages import Change

PIECE_BYTES = 64 * 1024
MAX_CHANGE_BYTES = 64 * 1024 * 1024
KEPT_VERSIONS = 16


class RecentConfigurations:
    """The last versions, against which changes can be worked out."""

    def __init__(self) -> None:
        self._kept: deque[Configuration] = deque(maxlen=KEPT_VERSIONS)

    def keep(self, configuration: Configuration) -> None:
        """Keep a version that came into force."""
        self._kept.append(configuration)

    def base(self, version: int) -> Configuration:
        """Return the version to work out a change from; the empty one if it is not kept."""
        return next((kept for kept in self._kept if kept.version == version), EMPTY_CONFIGURATION)


def change_pieces(base: Configuration, new: Configuration) -> Iterator[Change]:
    """Yield the change from `base` to `new` in pieces of about `PIECE_BYTES`."""
    changed = {name: part for name, part in new.parts.items() if base.parts.get(name) != part}
    removed = tuple(sorted(base.parts.keys() - new.parts.keys()))
    pieces: list[dict[str, bytes]] = [{}]
    size = 0
    for name, part in changed.items():
        content = encode_part(part)
        if pieces[-1] and size + len(content) > PIECE_BYTES:
            pieces.append({})
            size = 0
        pieces[-1][name] = content
        size += len(content) + len(name)
    for number, parts in enumerate(pieces):
        gone = removed if number == len(pieces) - 1 else ()
        yield Change(new.version, base.version, number, len(pieces), parts, gone)


class ChangeAssembly:
    """Pieces of one change as they arrive in order."""

    def __init__(self) -> None:
        self._begin(None)

    def _begin(self, first: Change | None) -> None:
        self._first = first
        self._next = 0
        self._parts: dict[str, bytes] = {}
        self._size = 0

    def add(self, piece: Change, current: Configuration) -> Configuration | None:
        """Take a piece; return the whole configuration with the last one.

        Parameters
        ----------
        piece : Change
            What arrived.
        current : Configuration
            Configuration in force, which the change may be made from.

        Raises
        ------
        FrameError
            The piece does not belong here, or the change is too long or malformed.
        """
        if piece.piece == 0:
            self._begin(piece)
        first = self._first
        if first is None or (piece.version, piece.base, piece.pieces) != (
            first.version,
            first.base,
            first.pieces,
        ):
            raise FrameError("a piece of another configuration change")
        if piece.piece != self._next:
            raise FrameError(f"piece {piece.piece} in place of {self._next}")
        self._next += 1
        self._size += sum(map(len, piece.parts.values()))
        if self._size > MAX_CHANGE_BYTES:
            raise FrameError(f"a configuration change over {MAX_CHANGE_BYTES} bytes")
        self._parts.update(piece.parts)
        if self._next < piece.pieces:
            return None
        return self._whole(piece, current)

    def _whole(self, last: Change, current: Configuration) -> Configuration | None:
        if last.base not in (0, current.version):
            return None
        base = current if last.base else EMPTY_CONFIGURATION
        try:
            changed = {name: decode_part(name, content) for name, content in self._parts.items()}
        except ValueError as error:
            raise FrameError(f"malformed part: {error}") from error
        return base.with_changes(last.version, changed, last.removed)
