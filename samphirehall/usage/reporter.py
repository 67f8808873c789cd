"""Posts frozen figures to the platform, unchanged, until the platform answers each."""

import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio

from samphirehall.authority.lease import LeaseGrant, LeaseLostError
from samphirehall.authority.leases import Leases
from samphirehall.backing.client import OrderAnswer, UsageReport
from samphirehall.backing.table import ABSENT, Check, Row, Table, Write, convert_row
from samphirehall.core.clock import boot_seconds
from samphirehall.core.decoding import DecodingError, Unsigned, parse_unsigned
from samphirehall.core.errors import PlatformUnavailableError
from samphirehall.core.log import log_decision
from samphirehall.core.types import UsageFigures
from samphirehall.usage.flusher import NEXT_WINDOW_KEY
from samphirehall.usage.windows import decode_frozen, frozen_key

REPORTED_BEFORE_KEY = "usage/reported"
MAX_CONCURRENT_POSTS = 8
MAX_ODD_KEYS = 100  # of another writer, passed over before the first frozen window

_log = logging.getLogger(__name__)


class PostReport(Protocol):
    """Posts one report to the platform; see `Platform.report_usage`."""

    def __call__(
        self, report: UsageReport, *, recheck: Callable[[], None] | None = None
    ) -> Awaitable[OrderAnswer]:
        """Post the report."""


class UsageReporter:
    """Reports frozen windows in order, under the lease of the platform scope.

    Parameters
    ----------
    leases : Leases
        Leases of this process.
    table : Table
        Table that holds the frozen figures.
    post : callable
        Posts one report.
    window_seconds : int
        Length of a window in seconds.
    clock : callable
        Boot clock in seconds.
    """

    def __init__(
        self,
        leases: Leases,
        table: Table,
        *,
        post: PostReport,
        window_seconds: int,
        clock: Callable[[], float] = boot_seconds,
    ) -> None:
        self._leases = leases
        self._table = table
        self._post = post
        self._window_seconds = window_seconds
        self._clock = clock
        self.refused = 0

    async def step(self, grant: LeaseGrant) -> bool:
        """Report the next frozen window; return whether one was reported in full.

        Raises
        ------
        LeaseLostError
            This process has lost the lease.
        PlatformUnavailableError
            The platform did not answer; the next step posts the same figures again.
        """
        rows = await self._table.read([REPORTED_BEFORE_KEY, NEXT_WINDOW_KEY])
        if NEXT_WINDOW_KEY not in rows:
            return False
        reported = rows.get(REPORTED_BEFORE_KEY)
        if reported is None:
            window = await self._first_frozen_window()
        else:
            window = convert_row(reported, Unsigned)
        if window is None or window >= convert_row(rows[NEXT_WINDOW_KEY], Unsigned):
            return False
        frozen = (await self._table.read([frozen_key(window)])).get(frozen_key(window))
        if frozen is not None:
            await self._post_row(grant, window, frozen)
        version = ABSENT if reported is None else reported.version
        write = Write(REPORTED_BEFORE_KEY, window + self._window_seconds)
        result = await self._table.transact(
            [grant.lease_check, Check(REPORTED_BEFORE_KEY, version)], [write]
        )
        if result.committed:
            log_decision(
                _log,
                "usage-reported",
                "the platform answered every report of the window",
                window=window,
            )
        return result.committed

    async def _post_row(self, grant: LeaseGrant, window: int, frozen: Row) -> None:
        """Post the frozen figures in a row; leave out a window whose figures cannot be read."""
        try:
            figures = decode_frozen(frozen)
        except DecodingError as error:
            _log.error("usage-left-out", extra={"window": window, "reason": str(error)})
            return
        await self.post_window(grant, window, figures)

    async def post_window(
        self, grant: LeaseGrant, window: int, frozen: dict[str, UsageFigures]
    ) -> None:
        """Post the frozen figures of all customers in a window."""
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_POSTS)
        failures: list[Exception] = []

        async def post(customer: str, figures: UsageFigures) -> None:
            async with limiter:
                try:
                    await self.post_one(grant, window, customer, figures)
                except (LeaseLostError, PlatformUnavailableError) as error:
                    failures.append(error)

        async with anyio.create_task_group() as group:
            for customer, figures in frozen.items():
                group.start_soon(post, customer, figures)
        if failures:
            raise failures[0]

    async def post_one(
        self, grant: LeaseGrant, window: int, customer: str, figures: UsageFigures
    ) -> None:
        """Post the frozen figures of one customer in a window."""
        report = UsageReport(window, customer, figures, grant.fencing, grant.holder)
        recheck = self._leases.recheck(grant, clock=self._clock)
        recheck()
        answer = await self._post(report, recheck=recheck)
        if not answer.accepted:
            self.refused += 1
            _log.error(
                "usage-refused",
                extra={"reason": answer.reason, "window": window, "customer": customer},
            )

    async def _first_frozen_window(self) -> int | None:
        """Return the first frozen window in the table, or None."""
        prefix = frozen_key(0).removesuffix("0")
        rows = await self._table.scan(prefix, limit=MAX_ODD_KEYS + 1)
        windows = (parse_unsigned(row.key.removeprefix(prefix)) for row in rows)
        return next((window for window in windows if window is not None), None)
