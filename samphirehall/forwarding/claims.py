"""Claims of non-idempotent requests in the platform's table.

A claim is a row of customer and idempotency key, written before the first
byte of the request goes to an endpoint. A request with a claim is dispatched
at most once, whatever fails. See docs/design/0005-forwarding.md.
"""

import enum
import hashlib
import logging
import random
from dataclasses import dataclass, replace

import anyio
import msgspec

from samphirehall.backing import Row, Table
from samphirehall.backing.table import ABSENT
from samphirehall.core.clock import boot_seconds, wall_seconds
from samphirehall.core.errors import PlatformUnavailableError, SamphireError
from samphirehall.core.identifiers import new_identifier
from samphirehall.core.log import log_decision
from samphirehall.core.results import STORE_UNAVAILABLE
from samphirehall.forwarding.group_commit import (
    ROW_BYTES,
    GroupCommit,
    PendingWrite,
    WriteOutcome,
)

PREFIX = "claims/"
KEPT_SECONDS = 24 * 3600.0
DEADLINE_MARGIN_SECONDS = 2.0
POLL_FIRST_SECONDS = 0.02
POLL_LIMIT_SECONDS = 0.5
SETTLE_WAIT_SECONDS = 0.25
MAX_OUTCOME_BYTES = 64 * 1024
CLEAN_SECONDS = 30.0
CLEAN_ROWS = 200
MAX_SHARD_DIGITS = 8

_log = logging.getLogger(__name__)


class ClaimState(enum.StrEnum):
    """What is known of a claimed request."""

    OPEN = "open"
    RAN = "ran"
    UNKNOWN = "unknown"
    REFUSED = "refused"


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
    deadline_at : float
        Wall clock in seconds until which the attempt may still be running.
    expires_at : float
        Wall clock in seconds after which the row may be deleted.
    state : ClaimState
        What is known; an attempt in state ``refused`` never ran.
    outcome : StoredOutcome, optional
        Answer of a request that ran, unless it was too long to keep.
    """

    attempt: str
    fingerprint: str
    deadline_at: float
    expires_at: float
    state: ClaimState = ClaimState.OPEN
    outcome: StoredOutcome | None = None


@dataclass(slots=True, frozen=True)
class HeldClaim:
    """A claim as this attempt found or made it.

    Parameters
    ----------
    key : str
        Row of the claim.
    version : int
        Version of the row.
    claim : Claim
        Value of the row.
    won : bool
        Whether this attempt holds the claim and may dispatch the request once.
    """

    key: str
    version: int
    claim: Claim
    won: bool


class ClaimStore:
    """Claims in the platform's table, group-committed.

    Parameters
    ----------
    table : Table
        Store of the claims.
    random_source : random.Random
        Source of jitter.
    """

    def __init__(self, table: Table, *, random_source: random.Random | None = None) -> None:
        self._table = table
        self._random = random_source or random.Random()
        self._commits = GroupCommit(table, random_source=self._random)

    async def run(self) -> None:
        """Commit claims and outcomes until cancelled."""
        await self._commits.run()

    async def flush(self) -> None:
        """Wait until every outcome and refusal is stored."""
        await self._commits.flush()

    async def claim(
        self, customer: str, key: str, *, fingerprint: str, deadline: float
    ) -> HeldClaim:
        """Claim a request, or return what another attempt made of it.

        Waits while another attempt with the same key is running.

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
            The store did not answer before the deadline; nothing was dispatched
            and nothing will be.
        """
        row_key = claim_key(customer, key)
        deadline_at = wall_seconds() + deadline - boot_seconds()
        attempt = new_identifier("att")
        claim = Claim(attempt, fingerprint, deadline_at, deadline_at + KEPT_SECONDS)
        row = Row(row_key, ABSENT, None)
        pause = POLL_FIRST_SECONDS
        while True:
            if row.value is None or _is_refused(row):
                outcome = await self._write_claim(row, claim, deadline)
                row = outcome.row
                if outcome.committed:
                    return HeldClaim(row_key, row.version, claim, won=True)
                continue
            held = msgspec.convert(row.value, Claim)
            if not _may_settle(held, fingerprint, now=wall_seconds()):
                return HeldClaim(row_key, row.version, held, won=False)
            if boot_seconds() + pause >= deadline:
                return HeldClaim(row_key, row.version, held, won=False)
            await anyio.sleep(pause)
            pause = min(POLL_LIMIT_SECONDS, pause * 2)
            row = await self._read(row)

    async def settle(self, held: HeldClaim, outcome: StoredOutcome) -> None:
        """Store the answer of a claimed request; goes on in the background if the store is slow."""
        size = ROW_BYTES + len(outcome.body)
        kept = outcome if len(outcome.body) <= MAX_OUTCOME_BYTES else None
        write = self._change(held, ClaimState.RAN, kept, size=size)
        with anyio.move_on_after(SETTLE_WAIT_SECONDS):
            await write.done.wait()

    def mark_ran(self, held: HeldClaim) -> None:
        """Store that a claimed request ran and its answer was not kept."""
        self._change(held, ClaimState.RAN)

    def mark_unknown(self, held: HeldClaim) -> None:
        """Store that nobody can tell whether a claimed request ran."""
        self._change(held, ClaimState.UNKNOWN)

    def refuse(self, held: HeldClaim) -> None:
        """Store that a claimed request was not dispatched, so that a retry may run."""
        self._change(held, ClaimState.REFUSED)

    async def clean_forever(self) -> None:
        """Delete expired claims, a small random part of them at a time."""
        digits = 1
        while True:
            await anyio.sleep(CLEAN_SECONDS * (0.5 + self._random.random()))
            try:
                digits = await self.clean(digits, now=wall_seconds())
            except PlatformUnavailableError:
                continue

    async def clean(self, digits: int, *, now: float) -> int:
        """Delete expired claims of one random shard; return the next shard's length in digits.

        Parameters
        ----------
        digits : int
            Hexadecimal digits of the shard's prefix.
        now : float
            Wall clock in seconds.
        """
        shard = f"{self._random.randrange(16**digits):0{digits}x}"
        rows = await self._table.scan(PREFIX + shard, limit=CLEAN_ROWS)
        for row in rows:
            if msgspec.convert(row.value, Claim).expires_at < now:
                self._commits.submit(row.key, row.version, None)
        if len(rows) == CLEAN_ROWS:
            return min(MAX_SHARD_DIGITS, digits + 1)
        return max(1, digits - 1) if len(rows) < CLEAN_ROWS // 32 else digits

    async def _write_claim(self, row: Row, claim: Claim, deadline: float) -> WriteOutcome:
        write = self._commits.submit(row.key, row.version, msgspec.to_builtins(claim))
        try:
            with anyio.move_on_after(max(0.0, deadline - boot_seconds())):
                await write.done.wait()
        except BaseException:
            self._give_up(write, claim)
            raise
        if write.outcome is None:
            self._give_up(write, claim)
            raise SamphireError(STORE_UNAVAILABLE, "the claim could not be stored", retry_after=1.0)
        return write.outcome

    def _give_up(self, write: PendingWrite, claim: Claim) -> None:
        """Make sure that an abandoned claim never stands in the way of a retry.

        The claim may have been written, or a delayed write may still take effect.
        A refused row in its place rules out both.
        """
        if self._commits.withdraw(write):
            return
        refused = msgspec.to_builtins(replace(claim, state=ClaimState.REFUSED))
        written = msgspec.to_builtins(claim)

        def replace_own(outcome: WriteOutcome) -> None:
            if not outcome.committed and outcome.row.value == written:
                self._commits.submit(write.key, outcome.row.version, refused)

        self._commits.submit(write.key, write.version, refused, on_done=replace_own)
        log_decision(_log, "claim-refused", "the store did not answer", attempt=claim.attempt)

    def _change(
        self,
        held: HeldClaim,
        state: ClaimState,
        outcome: StoredOutcome | None = None,
        *,
        size: int = ROW_BYTES,
    ) -> PendingWrite:
        value = msgspec.to_builtins(replace(held.claim, state=state, outcome=outcome))
        return self._commits.submit(held.key, held.version, value, size=size)

    async def _read(self, row: Row) -> Row:
        try:
            return (await self._table.read([row.key])).get(row.key, Row(row.key, ABSENT, None))
        except PlatformUnavailableError:
            return row


def claim_key(customer: str, key: str) -> str:
    """Return the row of a claim; the digest spreads rows and hides the idempotency key."""
    digest = hashlib.sha256(f"{len(customer)}:{customer}:{key}".encode()).hexdigest()
    return f"{PREFIX}{digest}"


def _is_refused(row: Row) -> bool:
    return msgspec.convert(row.value, Claim).state is ClaimState.REFUSED


def is_overdue(claim: Claim, *, now: float) -> bool:
    """Return whether an open claim's attempt cannot be running any more.

    Parameters
    ----------
    claim : Claim
        Value of the row.
    now : float
        Wall clock in seconds; an error of it changes the words of a refusal, never a dispatch.
    """
    return now > claim.deadline_at + DEADLINE_MARGIN_SECONDS


def _may_settle(claim: Claim, fingerprint: str, *, now: float) -> bool:
    """Return whether an outcome may still come from the attempt that holds a claim."""
    same = claim.fingerprint == fingerprint
    return same and claim.state is ClaimState.OPEN and not is_overdue(claim, now=now)
