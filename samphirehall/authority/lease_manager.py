"""Manager of one lease: renews it while it is held, polls its rows while it is not."""

import dataclasses
import logging
from collections.abc import Awaitable, Callable

import anyio
import msgspec

from samphirehall.authority.lease import (
    NO_HOLDER,
    LeaseGrant,
    LeaseLostError,
    LeaseObservation,
    LeaseRow,
    LeaseTimes,
    decide_takeover,
    decode_lease,
    grant_expiry,
    lease_key,
    next_fencing,
    renewal_key,
    update_observation,
)
from samphirehall.backing.table import Check, Row, Table, Write
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.log import log_decision

MIN_RENEWAL_INTERVAL_SECONDS = 0.5  # retry interval while renewals fail
RESTORED = "the table was restored from an older copy"  # why a grant ended

_log = logging.getLogger(__name__)


class LeaseManager:
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
    first_start : bool
        See `decide_takeover`.
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
        first_start: bool = False,
    ) -> None:
        self._table = table
        self._scope = scope
        self._holder = holder
        self._times = times
        self._clock = clock
        self._sleep = sleep
        self._first_start = first_start
        self._first_era: int | None = None
        self._grant: LeaseGrant | None = None
        self._last_grant: LeaseGrant | None = None
        self._observation: LeaseObservation | None = None
        self._lease_row: LeaseRow | None = None
        self._counter = 0
        self._stopped = False
        self._previous_holder_released = False
        self._is_first_holder = False

    @property
    def scope(self) -> str:
        """Scope of the lease."""
        return self._scope

    @property
    def lease_row(self) -> LeaseRow | None:
        """Lease row as last read or written by this process; None before the first."""
        return self._lease_row

    @property
    def previous_holder_released(self) -> bool:
        """Whether the previous holder had released the lease before this process took it."""
        return self._previous_holder_released

    @property
    def is_first_holder(self) -> bool:
        """Whether there was no lease row before this process took the lease."""
        return self._is_first_holder

    def grant(self, *, now: float) -> LeaseGrant:
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
        grant = self._grant
        if grant is None:
            raise LeaseLostError(self._scope, "not held by this process")
        if grant.era != self._table.era:
            raise LeaseLostError(self._scope, RESTORED)
        if now >= grant.expires_at:
            raise LeaseLostError(
                self._scope, f"the grant expired {now - grant.expires_at:.3f} s ago"
            )
        return grant

    def exclusive_fencing(self, *, now: float) -> int | None:
        """Return the fencing number of this process if no other one can have succeeded it yet.

        That is so for a while after its grant has ended, as candidates wait for orders in
        delivery. Its orders may not be sent any more by then.

        Parameters
        ----------
        now : float
            Boot clock in seconds.
        """
        last = self._last_grant
        if last is None or now >= last.expires_at + self._times.delivery_limit:
            return None
        return last.fencing

    async def run(
        self, poll_interval: Callable[[], float], *, may_poll: Callable[[], bool] = lambda: True
    ) -> None:
        """Renew the lease or poll its rows until cancelled or released.

        Parameters
        ----------
        poll_interval : callable
            Returns the seconds until a candidate reads the rows again.
        may_poll : callable
            Returns whether this process is a candidate; if not, it only renews a lease it holds.
        """
        while not self._stopped:
            if self._grant is not None or may_poll():
                await self.step()
            await self._sleep(self._seconds_until_next_step(poll_interval, now=self._clock()))

    async def step(self) -> None:
        """Renew the lease once if it is held; otherwise poll it once and take it if allowed."""
        if self._grant is not None:
            await self._renew(self._grant)
        elif not self._stopped:
            await self._poll()

    async def release(self) -> None:
        """Release the lease at a planned stop.

        The grant ends immediately. The row is released only after the delivery
        limit, so that no order of this process is in flight when the next holder
        starts.
        """
        grant, self._grant = self._grant, None
        self._last_grant = None
        self._stopped = True
        if grant is None or grant.era != self._table.era:
            return
        await self._sleep(self._times.delivery_limit)
        released_row = LeaseRow(NO_HOLDER, grant.fencing, self._times.ttl)
        write = Write(lease_key(self._scope), msgspec.to_builtins(released_row))
        try:
            result = await self._table.transact([grant.lease_check], [write])
            outcome = (
                "planned stop"
                if result.committed
                else "taken over by another process before the release"
            )
        except PlatformUnavailableError:
            outcome = "planned stop; the store did not answer, so the release may have failed"
        log_decision(_log, "lease-release", outcome, scope=self._scope, fencing=grant.fencing)

    def _seconds_until_next_step(self, poll_interval: Callable[[], float], *, now: float) -> float:
        if self._grant is None:
            return poll_interval()
        since_renewal = now - (self._grant.expires_at - grant_expiry(0.0, self._times))
        return max(MIN_RENEWAL_INTERVAL_SECONDS, self._times.renewal_interval - since_renewal)

    async def _renew(self, grant: LeaseGrant) -> None:
        sent_at = self._clock()
        if sent_at >= grant.expires_at or grant.era != self._table.era:
            expired = "the grant expired before it was renewed"
            self._drop_grant(grant, expired if sent_at >= grant.expires_at else RESTORED)
            return
        counter = self._next_counter()
        write = Write(renewal_key(self._scope), counter)
        try:
            result = await self._table.transact([grant.lease_check], [write])
            renewed = result.committed
            taken_over = not renewed
        except PlatformUnavailableError:
            renewed, taken_over = await self._resolve_unanswered_renewal(grant, counter)
        if self._grant is not grant:
            return
        if grant.era != self._table.era:
            self._drop_grant(grant, RESTORED)
        elif taken_over:
            self._last_grant = None
            self._drop_grant(grant, "another process has taken the lease over")
        elif self._clock() >= grant.expires_at:
            self._drop_grant(grant, "the grant expired while it was being renewed")
        elif renewed:
            self._grant = dataclasses.replace(grant, expires_at=grant_expiry(sent_at, self._times))
            self._last_grant = self._grant

    async def _resolve_unanswered_renewal(
        self, grant: LeaseGrant, counter: int
    ) -> tuple[bool, bool]:
        """Return whether an unanswered renewal took effect, and whether the lease is lost."""
        try:
            lease, renewal = await self._read_rows()
        except PlatformUnavailableError:
            return False, False
        if lease is None or lease.version != grant.version:
            return False, True
        return renewal is not None and renewal.value == counter, False

    async def _poll(self) -> None:
        try:
            lease, renewal = await self._read_rows()
        except PlatformUnavailableError:
            return
        now, era = self._clock(), self._table.era
        if self._first_era is None:
            self._first_era = era
        self._lease_row = decode_lease(lease, era=era)
        self._observation = update_observation(self._observation, lease, renewal, era=era, now=now)
        decision = decide_takeover(
            self._lease_row,
            self._observation,
            self._times,
            candidate=self._holder,
            first_start=self._first_start and era == self._first_era,
            now=now,
        )
        if decision.take_over and not self._stopped:
            await self._take_over(self._observation, decision.reason)

    async def _take_over(self, observation: LeaseObservation, reason: str) -> None:
        fencing = next_fencing(self._lease_row, era=observation.era)
        is_first_holder = self._lease_row is None
        previous_holder_released = (
            self._lease_row is not None and self._lease_row.holder == NO_HOLDER
        )
        row = LeaseRow(self._holder, fencing, self._times.ttl)
        counter = self._next_counter()
        sent_at = self._clock()
        version = await self._write_takeover(observation, row, counter)
        expires_at = grant_expiry(sent_at, self._times)
        fields = {"scope": self._scope, "fencing": fencing, "holder": self._holder}
        if version is None or observation.era != self._table.era:
            log_decision(
                _log,
                "takeover-failed",
                "another process was first, the table was restored, or the store did not answer",
                **fields,
            )
        elif self._stopped or self._clock() >= expires_at:
            log_decision(
                _log,
                "takeover-failed",
                "the store answered after the grant had expired or the process had stopped",
                **fields,
            )
        else:
            self._lease_row, self._previous_holder_released = row, previous_holder_released
            self._is_first_holder = is_first_holder
            self._grant = LeaseGrant(
                self._scope, self._holder, fencing, expires_at, version, observation.era
            )
            self._last_grant = self._grant
            log_decision(_log, "takeover", reason, **fields)

    async def _write_takeover(
        self, observation: LeaseObservation, row: LeaseRow, counter: int
    ) -> int | None:
        """Write both rows; return the lease row version, or None if the write may have failed."""
        checks = [
            Check(lease_key(self._scope), observation.lease_version),
            Check(renewal_key(self._scope), observation.renewal_version),
        ]
        writes = [
            Write(lease_key(self._scope), msgspec.to_builtins(row)),
            Write(renewal_key(self._scope), counter),
        ]
        try:
            result = await self._table.transact(checks, writes)
            return (result.versions or {}).get(lease_key(self._scope))
        except PlatformUnavailableError:
            return await self._resolve_unanswered_takeover(row, counter)

    async def _resolve_unanswered_takeover(self, row: LeaseRow, counter: int) -> int | None:
        try:
            lease, renewal = await self._read_rows()
        except PlatformUnavailableError:
            return None
        if lease is None or renewal is None:
            return None
        found = decode_lease(lease, era=self._table.era)
        written_by_this_process = found == row and renewal.value == counter
        return lease.version if written_by_this_process else None

    async def _read_rows(self) -> tuple[Row | None, Row | None]:
        keys = [lease_key(self._scope), renewal_key(self._scope)]
        rows = await self._table.read(keys)
        return rows.get(keys[0]), rows.get(keys[1])

    def _next_counter(self) -> int:
        self._counter += 1
        return self._counter

    def _drop_grant(self, grant: LeaseGrant, reason: str) -> None:
        self._grant = None
        log_decision(_log, "lease-lost", reason, scope=self._scope, fencing=grant.fencing)
