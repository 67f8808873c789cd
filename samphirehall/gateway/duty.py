"""The duty of one host at a time: usage reports and orders for endpoints."""

import logging
import random
from collections.abc import Awaitable, Callable

import anyio

from samphirehall.authority.keeper import LeaseKeeper
from samphirehall.authority.lease import LeaseLostError, LeaseTimes, Right
from samphirehall.backing.table import Table
from samphirehall.core.clock import boot_seconds

SCOPE = "duties"
LEASE_MARGIN_FRACTION = 0.2  # part of a lease that its holder leaves unused, for drift of clocks
MAX_CALL_SECONDS = 1.0  # longest time between the check of a right and the end of its call
# Part of a lease that passes between the last call of one holder and the first of the next, so
# that two changes of the holder take longer than one lease.
HOLDER_GAP_FRACTION = 0.6
CHECK_INTERVAL_FRACTION = 0.3  # part of a lease after which a candidate looks at it again

_log = logging.getLogger(__name__)


class Duty:
    """The part of this host in the lease of the duties.

    A new holder acts after a gap, so that holders never take turns within one
    lease time. One that takes its own lease over again goes on at once: the
    fencing number shows that nobody held it in between.

    Parameters
    ----------
    table : Table
        Where the lease is.
    holder : str
        This process; no other one ever has the same name.
    lease_time : float
        Length of the lease in seconds.
    """

    def __init__(self, table: Table, holder: str, lease_time: float) -> None:
        self._lease_time = lease_time
        times = LeaseTimes(lease_time, lease_time * LEASE_MARGIN_FRACTION, MAX_CALL_SECONDS)
        self._lease_manager = LeaseKeeper(table, SCOPE, holder=holder, times=times)
        self._fencing = 0
        self._held_since = 0.0
        self._random = random.Random(holder)

    @property
    def release(self) -> Callable[[], Awaitable[None]]:
        """Gives the lease back at a planned stop."""
        return self._lease_manager.release

    @property
    def _holder_gap(self) -> float:
        """Seconds that a new holder still waits after it has taken the lease."""
        gap = self._lease_time * HOLDER_GAP_FRACTION
        if self._lease_manager.taken_after_release:
            return gap
        # A lease that was not released was watched for this long after its holder's last call.
        return max(0.0, gap - self._lease_time * LEASE_MARGIN_FRACTION - MAX_CALL_SECONDS)

    def grant(self, *, now: float) -> Right | None:
        """Return the right to act that lasts for one call at least, or None."""
        try:
            grant = self._lease_manager.right(now=now + MAX_CALL_SECONDS)
        except LeaseLostError:
            return None
        if grant.fencing != self._fencing:
            if grant.fencing != self._fencing + 1 or not self._fencing:
                self._held_since = now
            self._fencing = grant.fencing
        settled = grant.fencing == 1 or now - self._held_since >= self._holder_gap
        return grant if settled else None

    async def run(self) -> None:
        """Keep or watch the lease until cancelled."""
        await anyio.sleep(self._random.random() * self._lease_time * CHECK_INTERVAL_FRACTION)
        await self._lease_manager.run(self._next_check_delay)

    def _next_check_delay(self) -> float:
        return self._lease_time * CHECK_INTERVAL_FRACTION * (0.5 + self._random.random())


def may_act(duty: Duty) -> Callable[[float], bool]:
    """Return whether a duty may be done at a time of the boot clock."""
    return lambda now: duty.grant(now=now) is not None


def current_grant(duty: Duty) -> Right:
    """Return the present right.

    Raises
    ------
    LeaseLostError
        This host does not hold the duty.
    """
    grant = duty.grant(now=boot_seconds())
    if grant is None:
        raise LeaseLostError(SCOPE, "not held")
    return grant
