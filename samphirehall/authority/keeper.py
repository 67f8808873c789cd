"""Manager of one lease: renews it while it is held, polls its rows while it is not."""

import dataclasses
import logging
from collections.abc import Awaitable, Callable

import anyio
import msgspec

from samphirehall.authority.lease import (
    NOBODY,
    LeaseLostError,
    LeaseRow,
    LeaseTimes,
    Observation,
    Right,
    decide_takeover,
    decode_lease,
    lease_key,
    observe,
    renewal_key,
    right_end,
)
from samphirehall.backing.table import Check, Row, Table, Write
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.log import log_decision

RETRY_SECONDS = 0.5  # applies when renewals are overdue, so that retries do not load the store

_log = logging.getLogger(__name__)


class LeaseKeeper:
    """Acquires, renews and releases the lease of one scope for one process.

    An expired grant is never extended: the process takes its own row over again,
    with a new fencing number.

    Parameters
    ----------
    table : Table
        Table that stores the lease rows.
    scope : str
        Scope of the lease.
    holder : str
        Incarnation of this process; unique among all processes, past ones included.
    times : LeaseTimes
        Durations of the lease.
    clock : callable
        Boot clock in seconds.
    sleep : callable
        Waits for a number of seconds.
    """

    def __init__(
        self,
        table: Table,
        scope: str,
        *,
        holder: str,
        times: LeaseTimes,
        clock: Callable[[], float] = boot_seconds,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self._table = table
        self._scope = scope
        self._holder = holder
        self._times = times
        self._clock = clock
        self._sleep = sleep
        self._held: Right | None = None
        self._seen: Observation | None = None
        self._row: LeaseRow | None = None
        self._counter = 0
        self._stopped = False
        self._taken_after_release = False

    @property
    def scope(self) -> str:
        """Scope of the lease."""
        return self._scope

    @property
    def row(self) -> LeaseRow | None:
        """Lease row as last read or written by this process; None before the first."""
        return self._row

    @property
    def taken_after_release(self) -> bool:
        """Whether the previous holder had released the lease before this process took it."""
        return self._taken_after_release

    def right(self, *, now: float) -> Right:
        """Return the grant of this process.

        Parameters
        ----------
        now : float
            Boot clock in seconds.

        Raises
        ------
        LeaseLostError
            The process does not hold the lease, or its grant has expired.
        """
        held = self._held
        if held is None:
            raise LeaseLostError(self._scope, "not held by this process")
        if now >= held.until:
            raise LeaseLostError(self._scope, f"the grant expired {now - held.until:.3f} s ago")
        return held

    async def run(self, poll_interval: Callable[[], float]) -> None:
        """Renew the lease or poll its rows until cancelled or released.

        Parameters
        ----------
        poll_interval : callable
            Returns the seconds until a candidate reads the rows again.
        """
        while not self._stopped:
            await self.step()
            await self._sleep(self._pause(poll_interval, now=self._clock()))

    async def step(self) -> None:
        """Renew the lease once if it is held; otherwise poll it once and take it if allowed."""
        if self._held is not None:
            await self._renew(self._held)
        elif not self._stopped:
            await self._watch()

    async def release(self) -> None:
        """Release the lease at a planned stop.

        The grant ends immediately. The row is released only after the delivery
        limit, so that no order of this process is in flight when the next holder
        starts.
        """
        held, self._held = self._held, None
        self._stopped = True
        if held is None:
            return
        await self._sleep(self._times.delivery_limit)
        free = LeaseRow(NOBODY, held.fencing, self._times.ttl)
        write = Write(lease_key(self._scope), msgspec.to_builtins(free))
        try:
            result = await self._table.transact([held.check], [write])
            outcome = (
                "planned stop"
                if result.committed
                else "taken over by another process before the release"
            )
        except PlatformUnavailableError:
            outcome = "planned stop; the store did not answer, so the release may have failed"
        log_decision(_log, "lease-release", outcome, scope=self._scope, fencing=held.fencing)

    def _pause(self, poll_interval: Callable[[], float], *, now: float) -> float:
        if self._held is None:
            return poll_interval()
        since_renewal = now - (self._held.until - right_end(0.0, self._times))
        return max(RETRY_SECONDS, self._times.renewal_interval - since_renewal)

    async def _renew(self, held: Right) -> None:
        sent_at = self._clock()
        if sent_at >= held.until:
            self._lose(held, "the grant expired before it was renewed")
            return
        counter = self._next_counter()
        write = Write(renewal_key(self._scope), counter)
        try:
            result = await self._table.transact([held.check], [write])
            renewed = result.committed
            taken = not renewed
        except PlatformUnavailableError:
            renewed, taken = await self._settle_renewal(held, counter)
        if self._held is not held:
            return
        if taken:
            self._lose(held, "another process has taken the lease over")
        elif self._clock() >= held.until:
            self._lose(held, "the grant expired while it was being renewed")
        elif renewed:
            self._held = dataclasses.replace(held, until=right_end(sent_at, self._times))

    async def _settle_renewal(self, held: Right, counter: int) -> tuple[bool, bool]:
        """Return whether an unanswered renewal took effect, and whether the lease is lost."""
        try:
            lease, renewal = await self._read_rows()
        except PlatformUnavailableError:
            return False, False
        if lease is None or lease.version != held.version:
            return False, True
        return renewal is not None and renewal.value == counter, False

    async def _watch(self) -> None:
        try:
            lease, renewal = await self._read_rows()
        except PlatformUnavailableError:
            return
        now = self._clock()
        self._row = decode_lease(lease)
        self._seen = observe(self._seen, lease, renewal, now=now)
        decision = decide_takeover(
            self._row, self._seen, self._times, candidate=self._holder, now=now
        )
        if decision.take and not self._stopped:
            await self._take_over(self._seen, decision.reason)

    async def _take_over(self, seen: Observation, reason: str) -> None:
        fencing = 1 if self._row is None else self._row.fencing + 1
        after_release = self._row is not None and self._row.holder == NOBODY
        row = LeaseRow(self._holder, fencing, self._times.ttl)
        counter = self._next_counter()
        sent_at = self._clock()
        version = await self._write_takeover(seen, row, counter)
        until = right_end(sent_at, self._times)
        inputs = {"scope": self._scope, "fencing": fencing, "holder": self._holder}
        if version is None:
            log_decision(
                _log,
                "takeover-failed",
                "another process was first, or the store did not answer",
                **inputs,
            )
        elif self._stopped or self._clock() >= until:
            log_decision(
                _log,
                "takeover-failed",
                "the store answered after the grant had expired or the process had stopped",
                **inputs,
            )
        else:
            self._row, self._taken_after_release = row, after_release
            self._held = Right(self._scope, self._holder, fencing, until, version)
            log_decision(_log, "takeover", reason, **inputs)

    async def _write_takeover(self, seen: Observation, row: LeaseRow, counter: int) -> int | None:
        """Write both rows; return the version of the lease row, or None if the write failed."""
        checks = [
            Check(lease_key(self._scope), seen.lease_version),
            Check(renewal_key(self._scope), seen.renewal_version),
        ]
        writes = [
            Write(lease_key(self._scope), msgspec.to_builtins(row)),
            Write(renewal_key(self._scope), counter),
        ]
        try:
            result = await self._table.transact(checks, writes)
            return (result.versions or {}).get(lease_key(self._scope))
        except PlatformUnavailableError:
            return await self._settle_takeover(row, counter)

    async def _settle_takeover(self, row: LeaseRow, counter: int) -> int | None:
        try:
            lease, renewal = await self._read_rows()
        except PlatformUnavailableError:
            return None
        if lease is None or renewal is None:
            return None
        ours = decode_lease(lease) == row and renewal.value == counter
        return lease.version if ours else None

    async def _read_rows(self) -> tuple[Row | None, Row | None]:
        keys = [lease_key(self._scope), renewal_key(self._scope)]
        rows = await self._table.read(keys)
        return rows.get(keys[0]), rows.get(keys[1])

    def _next_counter(self) -> int:
        self._counter += 1
        return self._counter

    def _lose(self, held: Right, reason: str) -> None:
        self._held = None
        log_decision(_log, "lease-lost", reason, scope=self._scope, fencing=held.fencing)
