"""The way of every request, read from top to bottom."""

import logging
from collections.abc import Callable

import anyio

from samphirehall.core.errors import SamphireError
from samphirehall.core.log import log_decision
from samphirehall.core.results import (
    DEADLINE_NOT_RUN,
    DEADLINE_UNKNOWN,
    NO_CONFIGURATION,
    NO_ROUTE,
    QUARANTINED,
    Result,
)
from samphirehall.gateway.context import GatewayContext
from samphirehall.gateway.crashes import MIN_CRASHES_FOR_QUARANTINE, fingerprint
from samphirehall.gateway.generation import run_generation
from samphirehall.gateway.journey import Caller, Journey, log_refusal
from samphirehall.gateway.plain import run_plain
from samphirehall.gateway.routes import RouteTable, choose_service, request_rank
from samphirehall.gateway.types import CallerLimits, GatewayConfiguration, Request

NO_CONFIGURATION_RETRY_S = 0.3  # about the time in which a host that has just started learns it

_log = logging.getLogger(__name__)


Observe = Callable[[Journey, Result, float], None]


def _observe_nothing(journey: Journey, result: Result, seconds: float) -> None:
    """Leave a request out of all counts."""


class Gateway:
    """Serves requests by the newest configuration.

    Parameters
    ----------
    context : GatewayContext
        State shared by all requests of this host.
    observe : callable
        Called with each request that had a route, its result and its seconds.
    """

    def __init__(self, context: GatewayContext, observe: Observe = _observe_nothing) -> None:
        self.context = context
        self._observe = observe
        self._routes: RouteTable | None = None

    @property
    def version(self) -> int:
        """Version in force; 0 for none."""
        return self._routes.configuration.version if self._routes else 0

    @property
    def configuration(self) -> GatewayConfiguration | None:
        """Configuration in force."""
        return self._routes.configuration if self._routes else None

    @property
    def limits(self) -> CallerLimits:
        """Limits of clients' connections."""
        return self._routes.configuration.caller_limits if self._routes else CallerLimits()

    def take_configuration(self, configuration: GatewayConfiguration, *, source: str) -> bool:
        """Put a configuration in force if it is newer; return whether it is."""
        if configuration.version <= self.version:
            return False
        log_decision(
            _log,
            "configuration",
            "newer than the one in force",
            version=configuration.version,
            before=self.version,
            source=source,
            routes=len(configuration.routes),
        )
        self._routes = RouteTable(configuration)
        return True

    async def serve(self, request: Request, caller: Caller) -> None:
        """Answer one request.

        Raises
        ------
        SamphireError
            The request is refused, or its answer broke off; both have been logged.
        """
        now = self.context.clock()
        try:
            journey = self._admit(request)
            self._refuse_if_it_crashes(journey)
        except SamphireError as error:
            seconds = now - request.received_at
            log_refusal(request.request_id, error, version=self.version, seconds=seconds)
            raise
        try:
            result = await self._run(journey, caller)
        except SamphireError as error:
            self._end(journey, error.result, error.detail)
            raise
        except anyio.get_cancelled_exc_class():
            journey.log_client_left(now=self.context.clock())
            raise
        self._end(journey, result, "answered")

    def _end(self, journey: Journey, result: Result, detail: str) -> None:
        now = self.context.clock()
        journey.log(result, detail, now=now)
        self._observe(journey, result, journey.elapsed(now=now))

    def _admit(self, request: Request) -> Journey:
        """Return the journey of a request that the configuration allows."""
        if self._routes is None:
            raise SamphireError(
                NO_CONFIGURATION, "no configuration yet", retry_after=NO_CONFIGURATION_RETRY_S
            )
        route = self._routes.find(request.host, request.path)
        customer = self._routes.authenticate(request, route)
        name = choose_service(route, request.request_id)
        service = self._routes.configuration.services.get(name)
        if service is None:
            raise SamphireError(NO_ROUTE, f"route {route.name} names no service {name}")
        patience = min(request.timeout or route.timeout, route.timeout)
        self.context.budget(name).record_request(now=request.received_at)
        return Journey(
            request,
            route,
            service,
            customer,
            request_rank(route, customer),
            request.received_at + patience,
            self.version,
            fingerprint(request, route),
        )

    def _refuse_if_it_crashes(self, journey: Journey) -> None:
        crashed = self.context.crashes.crash_count(journey.fingerprint, now=self.context.clock())
        if crashed >= MIN_CRASHES_FOR_QUARANTINE:
            raise SamphireError(QUARANTINED, f"{crashed} endpoints broke off while running it")

    async def _run(self, journey: Journey, caller: Caller) -> Result:
        engines = journey.service.engine is not None and journey.request.prompt is not None
        run = run_generation if engines else run_plain
        try:
            with anyio.fail_after(journey.time_left(now=self.context.clock())):
                return await run(self.context, journey, caller)
        except TimeoutError as error:
            result = DEADLINE_UNKNOWN if journey.tried else DEADLINE_NOT_RUN
            raise SamphireError(result, "no final answer by the deadline") from error
