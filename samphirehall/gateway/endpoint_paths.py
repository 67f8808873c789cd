"""Finds out whether this host can open a connection to any endpoint.

A host may lose its paths to all endpoints while clients, the store and other hosts reach
it. A failed send to one endpoint proves nothing; it makes this host try a few others, and
only if none of many can be connected to, the paths count as lost. Without failed sends
nothing is tried.
"""

import logging
import random
from collections.abc import Callable, Sequence

import anyio

from samphirehall.core.log import log_decision
from samphirehall.gateway.fleet import EndpointState, Fleet

FEW_ENDPOINTS = 3  # connected to after a failed send
MANY_ENDPOINTS = 12  # connected to before the paths count as lost
CONNECT_TIMEOUT_SECONDS = 0.3  # a connection within a region takes milliseconds
MIN_CHECK_INTERVAL_SECONDS = 0.5  # while the paths are good
RETURN_CHECK_INTERVAL_SECONDS = 0.25  # while they are lost
FRESH_SECONDS = 0.1  # a check is not repeated within this time

_log = logging.getLogger(__name__)


class EndpointPaths:
    """Whether this host reaches any endpoint.

    Parameters
    ----------
    fleet : Fleet
        The listed endpoints; its failed sends cause a check.
    random_source : random.Random
        Chooses the endpoints that are connected to.
    clock : callable
        Boot clock in seconds.

    Attributes
    ----------
    lost_event : Event
        Set while the paths are lost.
    """

    def __init__(
        self, fleet: Fleet, random_source: random.Random, clock: Callable[[], float]
    ) -> None:
        self._fleet = fleet
        self._random = random_source
        self._clock = clock
        self._suspected = anyio.Event()
        self._lost = False
        self._checked_at = float("-inf")
        self._check_lock = anyio.Lock()
        self.lost_event = anyio.Event()
        fleet.on_failure = self.suspect

    @property
    def lost(self) -> bool:
        """Whether no endpoint could be connected to at the last check."""
        return self._lost

    def suspect(self) -> None:
        """Check the paths soon, as a send has failed."""
        self._suspected.set()

    async def may_blame(self, endpoint_id: str, *, now: float) -> bool:
        """Return whether an endpoint that cannot be connected to is at fault, and not the paths.

        The paths are checked unless they just were. An endpoint that is the only one is at fault.

        Parameters
        ----------
        endpoint_id : str
            Endpoint that cannot be connected to.
        now : float
            Boot clock in seconds.
        """
        listed = (state.listed for state in self._fleet.states() if state.listed.ready)
        if all(endpoint.endpoint_id == endpoint_id for endpoint in listed):
            return True
        async with self._check_lock:
            if not self._lost and now - self._checked_at >= FRESH_SECONDS:
                await self._check()
        return not self._lost

    async def run(self) -> None:
        """Check the paths after failed sends, and periodically while they are lost."""
        while True:
            if not self._lost:
                await self._suspected.wait()
            self._suspected = anyio.Event()
            async with self._check_lock:
                await self._check()
            interval = RETURN_CHECK_INTERVAL_SECONDS if self._lost else MIN_CHECK_INTERVAL_SECONDS
            await anyio.sleep(interval)

    async def _check(self) -> None:
        listed = [state for state in self._fleet.states() if state.listed.ready]
        self._random.shuffle(listed)
        few, more = listed[:FEW_ENDPOINTS], listed[FEW_ENDPOINTS:MANY_ENDPOINTS]
        reached = not listed or await _any_accepts(few)
        if not reached and not self._lost:
            reached = await _any_accepts(more)
        self._checked_at = self._clock()
        if reached is not self._lost:
            return
        self._lost = not reached
        if self._lost:
            self.lost_event.set()
        else:
            self.lost_event = anyio.Event()
        reason = "an endpoint was connected to" if reached else "none could be connected to"
        log_decision(_log, "endpoint-paths", reason, lost=self._lost, listed=len(listed))


async def _any_accepts(states: Sequence[EndpointState]) -> bool:
    """Return whether any of the endpoints accepts a connection in time."""
    accepted = False

    async def check(state: EndpointState) -> None:
        nonlocal accepted
        if await state.connections.accepts_connections(CONNECT_TIMEOUT_SECONDS):
            accepted = True
            group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        for state in states:
            group.start_soon(check, state)
    return accepted
