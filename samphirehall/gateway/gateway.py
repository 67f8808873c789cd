"""Entry point of all requests: authentication, routing, limits and dispatch."""

import logging
from collections.abc import Awaitable, Callable

import anyio

from samphirehall.core.errors import SamphireError
from samphirehall.core.log import log_decision
from samphirehall.core.results import (
    DEADLINE_NOT_RUN,
    DEADLINE_UNKNOWN,
    NO_CONFIGURATION,
    NO_ROUTE,
    OUTCOME_UNKNOWN,
    SHUTTING_DOWN,
    Result,
)
from samphirehall.core.stopping import StopSchedule, takes_request
from samphirehall.gateway.context import GatewayContext
from samphirehall.gateway.crashes import fingerprint
from samphirehall.gateway.exchange import check_quarantine
from samphirehall.gateway.generation import run_generation
from samphirehall.gateway.passing import RequestPassing, no_path_error
from samphirehall.gateway.plain import run_plain
from samphirehall.gateway.quota_admission import charged_to_quota, is_limited
from samphirehall.gateway.request_state import Caller, RequestState, log_refusal
from samphirehall.gateway.routes import RouteTable, choose_service, request_rank
from samphirehall.gateway.types import CallerLimits, GatewayConfiguration, Request

NO_CONFIGURATION_RETRY_AFTER_SECONDS = 0.3  # a started host loads it in about this time
SHUTDOWN_RETRY_AFTER_SECONDS = 0.05  # another host can take the request at once

_log = logging.getLogger(__name__)


Observe = Callable[[RequestState, Result, float], None]
_Run = Callable[[GatewayContext, RequestState, Caller], Awaitable[Result]]


def _ignore_request(request_state: RequestState, result: Result, seconds: float) -> None:
    """Record nothing."""


class Gateway:
    """Serves requests according to the newest configuration.

    Parameters
    ----------
    context : GatewayContext
        State shared by all requests of this host.
    observe : callable
        Called with each finished request that had a route, its result and its duration in seconds.

    Attributes
    ----------
    stop_schedule : StopSchedule or None
        Times of a planned stop that has begun.
    passing : RequestPassing or None
        Passes requests on while this host reaches no endpoint; without it, they fail here.
    """

    def __init__(self, context: GatewayContext, observe: Observe = _ignore_request) -> None:
        self.context = context
        self._observe = observe
        self._routes: RouteTable | None = None
        self.stop_schedule: StopSchedule | None = None
        self.passing: RequestPassing | None = None
        self._running: set[anyio.CancelScope] = set()
        self._stopped = False

    @property
    def version(self) -> int:
        """Configuration version in force; 0 without a configuration."""
        return self._routes.configuration.version if self._routes else 0

    @property
    def configuration(self) -> GatewayConfiguration | None:
        """Configuration in force, if any."""
        return self._routes.configuration if self._routes else None

    @property
    def limits(self) -> CallerLimits:
        """Limits of client connections."""
        return self._routes.configuration.caller_limits if self._routes else CallerLimits()

    def apply_configuration(self, configuration: GatewayConfiguration, *, source: str) -> bool:
        """Apply a configuration if it is newer than the one in force; return whether it is."""
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
        self.context.quotas.set_customers((configuration.customers_by_key or {}).values())
        return True

    def end_running_requests(self) -> None:
        """End all running requests at the end of a planned stop, each with an answer if it can."""
        self._stopped = True
        for scope in self._running:
            scope.cancel()

    async def serve(self, request: Request, caller: Caller, *, passed: bool = False) -> None:
        """Serve one request and log its result.

        Parameters
        ----------
        request : Request
            Request of a client.
        caller : Caller
            Receives the response.
        passed : bool
            Whether another host has passed the request on; it is not passed on again.

        Raises
        ------
        SamphireError
            The request was refused, or its response was cut short; either is logged already.
        """
        now = self.context.clock()
        try:
            request_state = self._accept(request)
            check_quarantine(self.context, request_state)
            run = self._choose_run(request_state, passed=passed)
        except SamphireError as error:
            seconds = now - request.received_at
            log_refusal(request.request_id, error, version=self.version, seconds=seconds)
            raise
        try:
            if is_limited(request_state) and not request_state.passed_on:
                async with charged_to_quota(self.context.quotas, request_state, self.context.clock):
                    result = await self._run(request_state, caller, run)
            else:
                result = await self._run(request_state, caller, run)
        except SamphireError as error:
            self._finish(request_state, error.result, error.detail)
            raise
        except anyio.get_cancelled_exc_class():
            request_state.log_client_left(now=self.context.clock())
            raise
        self._finish(request_state, result, "answered")

    def _finish(self, request_state: RequestState, result: Result, detail: str) -> None:
        now = self.context.clock()
        request_state.log_result(result, detail, now=now)
        self._observe(request_state, result, request_state.elapsed(now=now))

    def _accept(self, request: Request) -> RequestState:
        """Return the state of a request after routing and authentication."""
        if self._routes is None:
            raise SamphireError(
                NO_CONFIGURATION,
                "the host has no configuration yet",
                retry_after=NO_CONFIGURATION_RETRY_AFTER_SECONDS,
            )
        route = self._routes.find(request.host, request.path)
        customer = self._routes.authenticate(request, route)
        service_name = choose_service(route, request.resumes or request.request_id)
        service = self._routes.configuration.services.get(service_name)
        if service is None:
            raise SamphireError(NO_ROUTE, f"route {route.name} names no service {service_name}")
        timeout = route.timeout
        if request.timeout is not None:
            timeout = min(request.timeout, route.timeout)
        deadline = request.received_at + timeout
        if not takes_request(self.stop_schedule, deadline, now=self.context.clock()):
            raise stopping_error()
        return RequestState(
            request,
            route,
            service,
            customer,
            request_rank(route, customer),
            deadline,
            self.version,
            fingerprint(request, route),
        )

    def _choose_run(self, request_state: RequestState, *, passed: bool) -> _Run:
        """Return how to serve a request; only one that is served here is counted here.

        Raises
        ------
        SamphireError
            Another host has passed the request on, and this one reaches no endpoint either.
        """
        if self.context.paths.lost and passed:
            raise no_path_error("no endpoint can be reached from this host")
        if self.context.paths.lost and self.passing is not None:
            request_state.passed_on = True
            return self.passing.pass_on
        service = request_state.service
        self.context.repeat_budget(service.name).record_request(
            now=request_state.request.received_at
        )
        if self.context.hedging is not None:
            self.context.hedging.record_request(service.name)
        engines = service.engine is not None and request_state.request.prompt is not None
        return run_generation if engines else run_plain

    async def _run(self, request_state: RequestState, caller: Caller, run: _Run) -> Result:
        if self._stopped:  # while the request waited for its quota
            raise stopping_error()
        remaining = request_state.remaining_time(now=self.context.clock())
        if remaining <= 0:
            raise SamphireError(DEADLINE_NOT_RUN, "the deadline had passed on arrival")
        with anyio.move_on_after(remaining) as scope:
            self._running.add(scope)
            try:
                return await run(self.context, request_state, caller)
            finally:
                self._running.discard(scope)
        if self._stopped:
            raise self._cut_by_stop_error(request_state)
        self.context.paths.suspect()
        result = DEADLINE_UNKNOWN if request_state.tried_endpoints else DEADLINE_NOT_RUN
        raise SamphireError(result, "no complete response by the deadline")

    def _cut_by_stop_error(self, request_state: RequestState) -> SamphireError:
        if request_state.tried_endpoints:
            return SamphireError(OUTCOME_UNKNOWN, "the host stopped while the request ran")
        return stopping_error()


def stopping_error() -> SamphireError:
    """Return the refusal of a request that a stopping host does not take."""
    return SamphireError(
        SHUTTING_DOWN, "the host is stopping", retry_after=SHUTDOWN_RETRY_AFTER_SECONDS
    )
