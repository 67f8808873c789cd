"""The duty of one host at a time: usage reports and orders for endpoints."""

import logging
import random
from collections.abc import Awaitable, Callable

import anyio

from samphirehall.authority.lease import LeaseGrant, LeaseLostError, LeaseTimes
from samphirehall.authority.lease_manager import LeaseManager
from samphirehall.backing.table import Table
from samphirehall.core.clock import boot_seconds

SCOPE = "duties"
MARGIN_SHARE = 0.2  # part of a lease that its holder leaves unused, for drift of clocks
DELIVERY_S = 1.0  # longest time between the check of a right and the end of its call
# Part of a lease that passes between the last call of one holder and the first of the next, so
# that two changes of the holder take longer than one lease.
GAP_SHARE = 0.6
LOOK_SHARE = 0.3  # part of a lease after which a candidate looks at it again

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
        times = LeaseTimes(lease_time, lease_time * MARGIN_SHARE, DELIVERY_S)
        self._keeper = LeaseManager(table, SCOPE, holder=holder, times=times)
        self._fencing = 0
        self._held_since = 0.0
        self._random = random.Random(holder)

    @property
    def release(self) -> Callable[[], Awaitable[None]]:
        """Gives the lease back at a planned stop."""
        return self._keeper.release

    @property
    def _gap(self) -> float:
        """Seconds that a new holder still waits after it has taken the lease."""
        gap = self._lease_time * GAP_SHARE
        if self._keeper.previous_holder_released:
            return gap
        # A lease that was not released was watched for this long after its holder's last call.
        return max(0.0, gap - self._lease_time * MARGIN_SHARE - DELIVERY_S)

    def right(self, *, now: float) -> LeaseGrant | None:
        """Return the right to act that lasts for one call at least, or None."""
        try:
            right = self._keeper.grant(now=now + DELIVERY_S)
        except LeaseLostError:
            return None
        if right.fencing != self._fencing:
            if right.fencing != self._fencing + 1 or not self._fencing:
                self._held_since = now
            self._fencing = right.fencing
        settled = right.fencing == 1 or now - self._held_since >= self._gap
        return right if settled else None

    async def run(self) -> None:
        """Keep or watch the lease until cancelled."""
        await anyio.sleep(self._random.random() * self._lease_time * LOOK_SHARE)
        await self._keeper.run(self._look_again)

    def _look_again(self) -> float:
        return self._lease_time * LOOK_SHARE * (0.5 + self._random.random())


def may_act(duty: Duty) -> Callable[[float], bool]:
    """Return whether a duty may be done at a time of the boot clock."""
    return lambda now: duty.right(now=now) is not None


def now_right(duty: Duty) -> LeaseGrant:
    """Return the present right.

    Raises
    ------
    LeaseLostError
        This host does not hold the duty.
    """
    right = duty.right(now=boot_seconds())
    if right is None:
        raise LeaseLostError(SCOPE, "not held")
    return right
