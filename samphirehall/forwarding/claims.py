"""Claims of non-idempotent requests in the platform's table.

A claim is a row keyed by customer and idempotency key, written before the
first byte of the request is sent to an endpoint. A claimed request is
dispatched at most once, whatever fails. See docs/design/0005-forwarding.md.

A table that is restored from an older copy lacks the claims of its lost seconds. Each
process writes its own ones again, and nothing is dispatched under a claim of the new
era before all processes had time for it.
"""

import enum
import hashlib
import logging
import random
from dataclasses import dataclass, replace
from typing import Any

import anyio
import msgspec

from samphirehall.backing import Row, Table
from samphirehall.backing.table import ABSENT, NO_ERA, readable_rows
from samphirehall.core.clock import boot_seconds, wall_seconds
from samphirehall.core.decoding import DecodingError, convert
from samphirehall.core.errors import PlatformUnavailableError, SamphireError
from samphirehall.core.identifiers import new_identifier
from samphirehall.core.log import log_decision
from samphirehall.core.results import STORE_UNAVAILABLE
from samphirehall.forwarding.group_commit import (
    DEFAULT_ROW_BYTES,
    GroupCommit,
    PendingWrite,
    WriteOutcome,
)

CLAIM_KEY_PREFIX = "claims/"
RETENTION_SECONDS = 24 * 3600.0
DEADLINE_MARGIN_SECONDS = 2.0
INITIAL_POLL_INTERVAL_SECONDS = 0.02
MAX_POLL_INTERVAL_SECONDS = 0.5
OUTCOME_WRITE_TIMEOUT_SECONDS = 0.25
MAX_OUTCOME_BYTES = 64 * 1024
ERA_CHECK_INTERVAL_SECONDS = 1.0  # while a process has recent claims of its own
RESTORED_WAIT_SECONDS = 2.5  # for a check of the era and a write by each process
OWN_CLAIM_SECONDS = 60.0  # longer than what a restored table loses
MAX_KEPT_OUTCOME_CHARACTERS = 4096  # bounds the memory of an entry for its own claims
CLEANUP_INTERVAL_SECONDS = 30.0
MAX_CLEANUP_ROWS = 200
MAX_SHARD_DIGITS = 8

_log = logging.getLogger(__name__)


class ClaimState(enum.StrEnum):
    """Whether a claimed request ran, as far as is known."""

    OPEN = "open"
    RAN = "ran"
    UNKNOWN = "unknown"
    REFUSED = "refused"


@dataclass(slots=True, frozen=True)
class StoredOutcome:
    """Answer of a claimed request, stored for replays."""

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
        Fingerprint of the request, to detect a key that is reused for another request.
    deadline_at : float
        Wall clock in seconds until which the attempt may still be running.
    expires_at : float
        Wall clock in seconds after which the row may be deleted.
    state : ClaimState
        Whether the request ran; an attempt in state ``refused`` never did.
    outcome : StoredOutcome, optional
        Answer of a request that ran; None if it was too long to store.
    """

    attempt: str
    fingerprint: str
    deadline_at: float
    expires_at: float
    state: ClaimState = ClaimState.OPEN
    outcome: StoredOutcome | None = None


@dataclass(slots=True, frozen=True)
class ClaimRow:
    """A claim row as one attempt wrote or read it.

    Parameters
    ----------
    key : str
        Key of the row.
    version : int
        Version of the row.
    claim : Claim
        Value of the row.
    won : bool
        Whether this attempt wrote the claim and may dispatch the request once.
    """

    key: str
    version: int
    claim: Claim
    won: bool


@dataclass(slots=True)
class _OwnClaim:
    """Latest value of a claim that this process wrote, to be written again.

    `forget_at` is a time of the boot clock in seconds.
    """

    value: dict[str, Any]
    forget_at: float


class ClaimStore:
    """Reads claims from the platform's table, and writes them by group commit.

    Parameters
    ----------
    table : Table
        Table that holds the claims.
    random_source : random.Random
        Source of jitter.
    """

    def __init__(self, table: Table, *, random_source: random.Random | None = None) -> None:
        self._table = table
        self._random = random_source or random.Random()
        self._group_commit = GroupCommit(table, random_source=self._random)
        self._own_claims: dict[str, _OwnClaim] = {}
        self._era: int | None = None
        self._era_since = float("-inf")

    async def run(self) -> None:
        """Commit queued claims and outcomes, and watch for restorations, until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._group_commit.run)
            group.start_soon(self._watch_era)

    async def flush(self) -> None:
        """Wait until every outcome and refusal is stored."""
        await self._group_commit.flush()

    async def claim(
        self, customer: str, key: str, *, fingerprint: str, deadline: float
    ) -> ClaimRow:
        """Claim a request, or return the claim of another attempt.

        Waits while another attempt with the same key is running.

        Parameters
        ----------
        customer, key : str
            Customer and idempotency key.
        fingerprint : str
            Fingerprint of the request.
        deadline : float
            Boot clock in seconds; the latest time to wait for the store.

        Raises
        ------
        SamphireError
            The store did not answer before the deadline; nothing was dispatched
            and nothing will be.
        """
        row_key = claim_key(customer, key)
        deadline_at = wall_seconds() + deadline - boot_seconds()
        attempt = new_identifier("att")
        claim = Claim(attempt, fingerprint, deadline_at, deadline_at + RETENTION_SECONDS)
        row = Row(row_key, ABSENT, None)
        poll_interval = INITIAL_POLL_INTERVAL_SECONDS
        while True:
            if row.value is None or _is_refused(row):
                outcome = await self._write_claim(row, claim, deadline)
                row = outcome.row
                if outcome.committed and self._is_settled(now=boot_seconds()):
                    self._keep_own(row.key, claim, now=boot_seconds())
                    return ClaimRow(row_key, row.version, claim, won=True)
                if outcome.committed:
                    row = await self._read_after_restoration(row, claim, deadline)
                    if row.value == msgspec.to_builtins(claim):
                        self._keep_own(row.key, claim, now=boot_seconds())
                        return ClaimRow(row_key, row.version, claim, won=True)
                continue
            current = _decode_claim(row)
            if not _may_still_finish(current, fingerprint, now=wall_seconds()):
                return ClaimRow(row_key, row.version, current, won=False)
            if boot_seconds() + poll_interval >= deadline:
                return ClaimRow(row_key, row.version, current, won=False)
            await anyio.sleep(poll_interval)
            poll_interval = min(MAX_POLL_INTERVAL_SECONDS, poll_interval * 2)
            row = await self._read(row)

    async def record_outcome(self, claim_row: ClaimRow, outcome: StoredOutcome) -> None:
        """Store the answer of a claimed request.

        Returns after `OUTCOME_WRITE_TIMEOUT_SECONDS` at the latest; a slower write goes on in
        the background.
        """
        size_bytes = DEFAULT_ROW_BYTES + len(outcome.body)
        stored_outcome = outcome if len(outcome.body) <= MAX_OUTCOME_BYTES else None
        write = self._submit_state(claim_row, ClaimState.RAN, stored_outcome, size_bytes=size_bytes)
        with anyio.move_on_after(OUTCOME_WRITE_TIMEOUT_SECONDS):
            await write.done.wait()

    def mark_ran(self, claim_row: ClaimRow) -> None:
        """Store that a claimed request ran and that its answer was not stored."""
        self._submit_state(claim_row, ClaimState.RAN)

    def mark_unknown(self, claim_row: ClaimRow) -> None:
        """Store that it is unknown whether a claimed request ran."""
        self._submit_state(claim_row, ClaimState.UNKNOWN)

    def mark_refused(self, claim_row: ClaimRow) -> None:
        """Store that a claimed request was not dispatched, so that a retry may run."""
        self._submit_state(claim_row, ClaimState.REFUSED)

    async def delete_expired_forever(self) -> None:
        """Delete expired claims until cancelled, one random shard at a time."""
        digits = 1
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_SECONDS * (0.5 + self._random.random()))
            try:
                digits = await self.delete_expired(digits, now=wall_seconds())
            except PlatformUnavailableError:
                continue

    async def delete_expired(self, digits: int, *, now: float) -> int:
        """Delete expired claims of one random shard; return the digits to use for the next shard.

        The prefix grows by a digit when a scan is full, and shrinks when it is almost empty.

        Parameters
        ----------
        digits : int
            Number of hexadecimal digits in the prefix of the shard.
        now : float
            Wall clock in seconds.
        """
        shard = f"{self._random.randrange(16**digits):0{digits}x}"
        rows = await self._table.scan(CLAIM_KEY_PREFIX + shard, limit=MAX_CLEANUP_ROWS)
        for row, claim in readable_rows(rows, lambda value: convert(value, Claim)):
            if claim.expires_at < now:
                self._group_commit.submit(row.key, row.version, None)
        if len(rows) == MAX_CLEANUP_ROWS:
            return min(MAX_SHARD_DIGITS, digits + 1)
        return max(1, digits - 1) if len(rows) < MAX_CLEANUP_ROWS // 32 else digits

    def _keep_own(self, key: str, claim: Claim, *, now: float) -> None:
        """Remember the value of a claim under which the request may run; long answers are left."""
        if claim.outcome is not None and len(claim.outcome.body) > MAX_KEPT_OUTCOME_CHARACTERS:
            claim = replace(claim, outcome=None)
        self._own_claims[key] = _OwnClaim(msgspec.to_builtins(claim), now + OWN_CLAIM_SECONDS)

    async def _watch_era(self) -> None:
        """Read the table while there are own claims, so that a restoration is noticed."""
        while True:
            await anyio.sleep(ERA_CHECK_INTERVAL_SECONDS)
            now = boot_seconds()
            for key in [key for key, own in self._own_claims.items() if own.forget_at <= now]:
                del self._own_claims[key]
            if self._own_claims:
                try:
                    await self._table.read([next(iter(self._own_claims))])
                except PlatformUnavailableError:
                    continue
            self._is_settled(now=boot_seconds())

    def _is_settled(self, *, now: float) -> bool:
        """Return whether all processes had time to write their claims into the current table."""
        era = self._table.era
        if self._era is None:
            # A process that was just started cannot tell how long ago the table was restored.
            self._era, self._era_since = era, (float("-inf") if era == NO_ERA else now)
        if era != self._era:
            self._era, self._era_since = era, now
            reason = "the table was restored from an older copy"
            log_decision(_log, "claims-stored-again", reason, claims=len(self._own_claims), era=era)
            for key, own in self._own_claims.items():
                self._insist(key, ABSENT, own.value)
        return now >= self._era_since + RESTORED_WAIT_SECONDS

    def _insist(self, key: str, version: int, value: dict[str, Any]) -> None:
        """Write a claim over whatever a restored table or a later attempt has in its place."""

        def write_over(outcome: WriteOutcome) -> None:
            if not outcome.committed:
                self._insist(key, outcome.row.version, value)

        self._group_commit.submit(key, version, value, on_done=write_over)

    async def _read_after_restoration(self, row: Row, claim: Claim, deadline: float) -> Row:
        """Wait for the claims of other processes, and read the row that this process wrote.

        Raises
        ------
        SamphireError
            The deadline is too near; the claim is given up and nothing was dispatched.
        """
        settled_at = self._era_since + RESTORED_WAIT_SECONDS
        if settled_at >= deadline:
            refused = msgspec.to_builtins(replace(claim, state=ClaimState.REFUSED))
            self._group_commit.submit(row.key, row.version, refused)
            detail = "the table was restored, and its claims are not complete yet"
            raise SamphireError(STORE_UNAVAILABLE, detail, retry_after=settled_at - boot_seconds())
        await anyio.sleep(max(0.0, settled_at - boot_seconds()))
        return await self._read(row)

    async def _write_claim(self, row: Row, claim: Claim, deadline: float) -> WriteOutcome:
        write = self._group_commit.submit(row.key, row.version, msgspec.to_builtins(claim))
        try:
            with anyio.move_on_after(max(0.0, deadline - boot_seconds())):
                await write.done.wait()
        except BaseException:
            self._abandon(write, claim)
            raise
        if write.outcome is None:
            self._abandon(write, claim)
            raise SamphireError(STORE_UNAVAILABLE, "the claim could not be stored", retry_after=1.0)
        return write.outcome

    def _abandon(self, write: PendingWrite, claim: Claim) -> None:
        """Make sure that an abandoned claim never blocks a retry.

        The claim may have been written, or a delayed write may still take effect.
        Writing a refused row in its place rules out both.
        """
        if self._group_commit.withdraw(write):
            return
        refused = msgspec.to_builtins(replace(claim, state=ClaimState.REFUSED))
        written = msgspec.to_builtins(claim)

        def refuse_written_claim(outcome: WriteOutcome) -> None:
            if not outcome.committed and outcome.row.value == written:
                self._group_commit.submit(write.key, outcome.row.version, refused)

        self._group_commit.submit(write.key, write.version, refused, on_done=refuse_written_claim)
        log_decision(_log, "claim-refused", "the store did not answer", attempt=claim.attempt)

    def _submit_state(
        self,
        claim_row: ClaimRow,
        state: ClaimState,
        outcome: StoredOutcome | None = None,
        *,
        size_bytes: int = DEFAULT_ROW_BYTES,
    ) -> PendingWrite:
        claim = replace(claim_row.claim, state=state, outcome=outcome)
        value = msgspec.to_builtins(claim)
        if state is ClaimState.REFUSED:
            self._own_claims.pop(claim_row.key, None)
        else:
            self._keep_own(claim_row.key, claim, now=boot_seconds())

        def write_over_own(outcome: WriteOutcome) -> None:
            row = outcome.row
            is_own = row.value is not None and row.value["attempt"] == claim.attempt
            if not outcome.committed and is_own:
                self._group_commit.submit(row.key, row.version, value, size_bytes=size_bytes)

        return self._group_commit.submit(
            claim_row.key,
            claim_row.version,
            value,
            size_bytes=size_bytes,
            on_done=write_over_own,
        )

    async def _read(self, row: Row) -> Row:
        try:
            return (await self._table.read([row.key])).get(row.key, Row(row.key, ABSENT, None))
        except PlatformUnavailableError:
            return row


def claim_key(customer: str, key: str) -> str:
    """Return the key of a claim's row.

    The digest spreads the rows over all prefixes and hides the idempotency key.
    """
    digest = hashlib.sha256(f"{len(customer)}:{customer}:{key}".encode()).hexdigest()
    return f"{CLAIM_KEY_PREFIX}{digest}"


def _decode_claim(row: Row) -> Claim:
    """Decode a claim that another attempt has won.

    Raises
    ------
    SamphireError
        The row holds no claim, so it is unknown whether the request may run.
    """
    try:
        return convert(row.value, Claim)
    except DecodingError as error:
        raise SamphireError(STORE_UNAVAILABLE, f"claim {row.key}: {error}") from error


def _is_refused(row: Row) -> bool:
    return _decode_claim(row).state is ClaimState.REFUSED


def is_overdue(claim: Claim, *, now: float) -> bool:
    """Return whether an open claim's attempt cannot be running any more.

    Parameters
    ----------
    claim : Claim
        Value of the row.
    now : float
        Wall clock in seconds. A wrong clock may change the result of a refusal, but never
        causes a dispatch.
    """
    return now > claim.deadline_at + DEADLINE_MARGIN_SECONDS


def _may_still_finish(claim: Claim, fingerprint: str, *, now: float) -> bool:
    """Return whether the attempt that wrote a claim may still store its outcome."""
    same_request = claim.fingerprint == fingerprint
    return same_request and claim.state is ClaimState.OPEN and not is_overdue(claim, now=now)
