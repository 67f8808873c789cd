"""Admission of requests to this host."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from samphirehall.admission.authentication import Caller
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import LIMIT_REACHED, OVERLOADED
from samphirehall.core.types import Priority


@dataclass(slots=True, frozen=True)
class AdmissionRequest:
    """What admission knows of a request.

    Parameters
    ----------
    caller : Caller
        Customer and route.
    priority : Priority
        Order of service within the customer's share.
    deadline : float
        Boot clock in seconds.
    prompt_tokens, output_tokens : int
        Estimated cost.
    """

    caller: Caller
    priority: Priority
    deadline: float
    prompt_tokens: int = 0
    output_tokens: int = 0


class AdmissionController:
    """Bounds the requests open on this host, in all and by customer.

    Parameters
    ----------
    max_open : int
        Requests that may be open at once.
    """

    def __init__(self, *, max_open: int) -> None:
        self._max_open = max_open
        self._open = 0
        self._open_by_customer: dict[str, int] = {}

    @property
    def open_requests(self) -> int:
        """Requests open now."""
        return self._open

    @asynccontextmanager
    async def admit(self, request: AdmissionRequest, *, now: float) -> AsyncIterator[None]:
        """Hold a place for a request while the context lasts.

        Raises
        ------
        SamphireError
            The host is full or the customer is over its limit.
        """
        customer, limit = request.caller.customer, request.caller.part.max_in_flight
        held = self._open_by_customer.get(customer, 0)
        if limit is not None and held >= limit:
            detail = f"customer {customer!r} has {held} requests in flight of {limit}"
            raise SamphireError(LIMIT_REACHED, detail, retry_after=1.0)
        if self._open >= self._max_open:
            detail = f"{self._open} requests are open of {self._max_open}"
            raise SamphireError(OVERLOADED, detail, retry_after=1.0)
        self._open += 1
        self._open_by_customer[customer] = held + 1
        try:
            yield
        finally:
            self._open -= 1
            self._open_by_customer[customer] -= 1
