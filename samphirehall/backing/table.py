"""Interface of the transactional table of the backing service.

Every row has a version that grows by one with each write. A transaction
checks versions and writes rows, all or nothing. An answer may be lost after
the transaction has taken effect: the caller then gets
`PlatformUnavailableError` and has to read the rows to find out.

The table may be restored from an older copy: writes that it had acknowledged are
gone, and versions are given out again. Its era rises by one each time. Nothing
read in one era says anything about what was written in another.
"""

import logging
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

from samphirehall.core.decoding import DecodingError, convert
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.log import RejectionLog

ABSENT = 0
NO_ERA = 0  # of a table that states no era, or was never restored

_log = logging.getLogger(__name__)
_rejections = RejectionLog(_log, "row-unreadable")

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Row:
    """One row.

    Parameters
    ----------
    key : str
        Slash-separated name.
    version : int
        Number of writes since the row was created.
    value : object
        JSON value; None if the row holds none, which only another writer can leave.
    """

    key: str
    version: int
    value: Any


def convert_row(row: Row, value_type: type[T]) -> T:
    """Convert the value of a row that a decision needs.

    Raises
    ------
    PlatformUnavailableError
        Another writer has left something else there, so that the table gives no answer.
    """
    try:
        return convert(row.value, value_type)
    except DecodingError as error:
        raise PlatformUnavailableError(f"row {row.key!r}: {error}") from error


def readable_rows(rows: Iterable[Row], decode: Callable[[Any], T]) -> list[tuple[Row, T]]:
    """Return rows with their decoded values; log and leave out those that cannot be read.

    Parameters
    ----------
    rows : iterable of Row
        Rows of one kind.
    decode : callable
        Decodes a value or raises `DecodingError`.
    """
    readable = []
    for row in rows:
        try:
            readable.append((row, decode(row.value)))
        except DecodingError as error:
            _rejections.record(row.key, error)
    return readable


@dataclass(slots=True, frozen=True)
class Check:
    """Condition of a transaction: `key` has `version` (`ABSENT` for no row)."""

    key: str
    version: int


@dataclass(slots=True, frozen=True)
class Write:
    """New value of a row; None deletes it."""

    key: str
    value: Any


@dataclass(slots=True, frozen=True)
class TransactionResult:
    """Outcome of a transaction.

    Parameters
    ----------
    committed : bool
        Whether all checks held and all writes took effect.
    conflicts : tuple of Row
        Present rows of the checks that failed; an absent row has version 0.
    versions : dict
        Versions of the written rows.
    """

    committed: bool
    conflicts: tuple[Row, ...] = ()
    versions: dict[str, int] | None = None


class Table(Protocol):
    """Transactional table; implemented by `Platform`, `Store` and the tables of tests."""

    @property
    def era(self) -> int:
        """Highest era stated by an answer, at least that of each answer returned so far.

        Answers of an earlier era are never returned: they raise `PlatformUnavailableError`.
        """

    async def transact(self, checks: Sequence[Check], writes: Sequence[Write]) -> TransactionResult:
        """Apply a transaction.

        Raises
        ------
        PlatformUnavailableError
            No answer; the transaction may have taken effect.
        """

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist among `keys`.

        Raises
        ------
        PlatformUnavailableError
            No answer.
        """

    async def scan(self, prefix: str, *, limit: int = 1000) -> list[Row]:
        """Return rows whose key starts with `prefix`, ordered by key.

        Raises
        ------
        PlatformUnavailableError
            No answer.
        """
