"""Lease-based election of the host that reports usage and orders endpoints."""

import logging
import random
from collections.abc import Awaitable, Callable

import anyio

from samphirehall.authority.lease import LeaseGrant, LeaseLostError, LeaseTimes
from samphirehall.authority.lease_manager import LeaseManager
from samphirehall.backing.table import Table
from samphirehall.core.clock import boot_seconds

SCOPE = "duties"
LEASE_MARGIN_FRACTION = 0.2  # of the lease; unused by its holder, for clock drift
MAX_CALL_SECONDS = 1.0  # from the check of a grant to the end of the call made under it
# Fraction of the lease between the last call of one holder and the first call of the next, so
# that two changes of holder take longer than one lease.
HOLDER_GAP_FRACTION = 0.6
CHECK_INTERVAL_FRACTION = 0.3  # of the lease; average time between checks by a candidate

_log = logging.getLogger(__name__)


class Duty:
    """Participation of this host in the lease of the duties.

    A new holder waits for a gap before it acts, so that the holder does not change back
    and forth within one lease time. A host that reacquires its own lease continues at
    once, as the fencing number shows that no other host held it in between.

    Parameters
    ----------
    table : Table
        Table that stores the lease.
    holder : str
        Unique name of this process, never reused.
    lease_time : float
        Length of the lease in seconds.
    may_compete : callable
        Returns whether this host tries to acquire the lease while it does not hold it.
    first_start : bool
        Whether the whole system starts for the first time.
    """

    def __init__(
        self,
        table: Table,
        holder: str,
        lease_time: float,
        may_compete: Callable[[], bool] = lambda: True,
        *,
        first_start: bool = False,
    ) -> None:
        self._may_compete = may_compete
        self._lease_time = lease_time
        times = LeaseTimes(lease_time, lease_time * LEASE_MARGIN_FRACTION, MAX_CALL_SECONDS)
        self._lease_manager = LeaseManager(
            table, SCOPE, holder=holder, times=times, first_start=first_start
        )
        self._fencing = 0
        self._held_since = 0.0
        self._random = random.Random(holder)

    @property
    def release(self) -> Callable[[], Awaitable[None]]:
        """Function that releases the lease at a planned stop."""
        return self._lease_manager.release

    @property
    def _holder_gap(self) -> float:
        """Seconds that a new holder waits after it has acquired the lease."""
        gap = self._lease_time * HOLDER_GAP_FRACTION
        if self._lease_manager.previous_holder_released:
            return gap
        # A lease that was not released expires only after the margin and the maximum call time have
        # passed since the last call of its holder.
        return max(0.0, gap - self._lease_time * LEASE_MARGIN_FRACTION - MAX_CALL_SECONDS)

    def grant(self, *, now: float) -> LeaseGrant | None:
        """Return a grant that is valid for at least one call, or None."""
        try:
            grant = self._lease_manager.grant(now=now + MAX_CALL_SECONDS)
        except LeaseLostError:
            return None
        if grant.fencing != self._fencing:
            if grant.fencing != self._fencing + 1 or not self._fencing:
                self._held_since = now
            self._fencing = grant.fencing
        is_first = self._lease_manager.is_first_holder
        settled = is_first or now - self._held_since >= self._holder_gap
        return grant if settled else None

    def exclusive_fencing(self, *, now: float) -> int | None:
        """Return the fencing number of this host if no other one can have succeeded it by now."""
        return self._lease_manager.exclusive_fencing(now=now)

    async def run(self) -> None:
        """Renew or watch the lease until cancelled."""
        await anyio.sleep(self._random.random() * self._lease_time * CHECK_INTERVAL_FRACTION)
        await self._lease_manager.run(self._next_check_delay, may_poll=self._may_compete)

    def _next_check_delay(self) -> float:
        return self._lease_time * CHECK_INTERVAL_FRACTION * (0.5 + self._random.random())


def may_act(duty: Duty) -> Callable[[float], bool]:
    """Return a function that tells whether the duty may be exercised at a boot-clock time."""
    return lambda now: duty.grant(now=now) is not None


def current_grant(duty: Duty) -> LeaseGrant:
    """Return the current grant.

    Raises
    ------
    LeaseLostError
        This host does not hold the duty.
    """
    grant = duty.grant(now=boot_seconds())
    if grant is None:
        raise LeaseLostError(SCOPE, "not held")
    return grant
