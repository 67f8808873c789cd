"""Claims of non-idempotent requests in the platform's table.

A claim is a row of customer and idempotency key, inserted before the first
byte of the request goes to an endpoint. A request with a claim is dispatched
at most once, whatever fails.
"""

from dataclasses import dataclass

import anyio
import msgspec

from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import PlatformUnavailableError, SamphireError
from samphirehall.core.identifiers import new_identifier
from samphirehall.core.results import STORE_UNAVAILABLE
from samphirehall.platform import Check, Row, Table, Write
from samphirehall.platform.table import ABSENT

RETRY_SECONDS = 0.1


@dataclass(slots=True, frozen=True)
class StoredOutcome:
    """Answer of a claimed request, kept for replays."""

    status: int
    content_type: str
    body: str
    endpoint: str


@dataclass(slots=True, frozen=True)
class Claim:
    """Value of a claim row.

    Parameters
    ----------
    attempt : str
        Attempt that won the claim.
    fingerprint : str
        Fingerprint of the request, so that a reused key is noticed.
    deadline_seconds : float
        Time that the attempt was given.
    outcome : StoredOutcome, optional
        Answer, once it is known.
    refused : bool
        Whether the attempt is known not to have run.
    """

    attempt: str
    fingerprint: str
    deadline_seconds: float
    outcome: StoredOutcome | None = None
    refused: bool = False


class ClaimStore:
    """Claims in the platform's table.

    Parameters
    ----------
    table : Table
        Store of the claims.
    """

    def __init__(self, table: Table) -> None:
        self._table = table

    async def claim(
        self, customer: str, key: str, *, fingerprint: str, deadline: float
    ) -> tuple[Claim, bool]:
        """Return the claim of a request and whether this attempt won it.

        Parameters
        ----------
        customer, key : str
            Customer and idempotency key.
        fingerprint : str
            Fingerprint of the request.
        deadline : float
            Boot clock in seconds until which the store is asked.

        Raises
        ------
        SamphireError
            The store did not answer before the deadline; nothing was dispatched.
        """
        row_key = _row_key(customer, key)
        claim = Claim(new_identifier("att"), fingerprint, deadline - boot_seconds())
        value = msgspec.to_builtins(claim)
        while boot_seconds() < deadline:
            try:
                result = await self._table.transact(
                    [Check(row_key, ABSENT)], [Write(row_key, value)]
                )
                if result.committed:
                    return claim, True
                return _held(result.conflicts[0], claim)
            except PlatformUnavailableError:
                await anyio.sleep(RETRY_SECONDS)
        raise SamphireError(STORE_UNAVAILABLE, "the claim could not be stored", retry_after=1.0)

    async def settle(self, customer: str, key: str, claim: Claim) -> None:
        """Store what became of a claimed request; best effort while the store is out."""
        row_key = _row_key(customer, key)
        try:
            row = (await self._table.read([row_key])).get(row_key)
            if row is not None:
                check = Check(row_key, row.version)
                await self._table.transact([check], [Write(row_key, msgspec.to_builtins(claim))])
        except PlatformUnavailableError:
            return


def _held(row: Row, claim: Claim) -> tuple[Claim, bool]:
    held = msgspec.convert(row.value, Claim)
    return held, held.attempt == claim.attempt


def _row_key(customer: str, key: str) -> str:
    return f"claims/{customer}/{key}"
