"""Interface of the codec between the gateway and an endpoint's wire format."""

from collections.abc import Callable
from dataclasses import dataclass

from samphirehall.gateway.types import Headers, ListedEndpoint, Request


@dataclass(slots=True, frozen=True)
class PromptCopy:
    """Reference to prefilled keys and values that an engine keeps for another to fetch.

    Parameters
    ----------
    address : str
        IP address and port of the engine that keeps them.
    handle : str
        Identifier on that engine.
    """

    address: str
    handle: str


@dataclass(slots=True, frozen=True)
class Dispatch:
    """Fields that one send adds to the client request.

    Parameters
    ----------
    endpoint : ListedEndpoint
        Incarnation that must serve the send; any other refuses it.
    customer : str or None
        Owner of the key.
    rank : int or None
        Priority of a request to an engine; None for plain requests.
    remaining : float
        Seconds until the deadline.
    reads_only : bool
        Whether the engine only prefills and keeps the result for another engine.
    copy : PromptCopy or None
        Prefilled prompt on another engine.
    fetch_from : str or None
        Address of an engine from which cached prompt parts are fetched first.
    resume_after : int or None
        Number of the last event that the client has received.
    """

    endpoint: ListedEndpoint
    customer: str | None
    rank: int | None
    remaining: float
    reads_only: bool = False
    copy: PromptCopy | None = None
    fetch_from: str | None = None
    resume_after: int | None = None


@dataclass(slots=True, frozen=True)
class Dialect:
    """Functions that encode sends and decode responses.

    Parameters
    ----------
    send_headers : callable
        Returns the headers of a send.
    belongs : callable
        Returns whether response headers answer the request with a given id.
    says_not_run : callable
        Returns whether status and headers state that the request did not run.
    is_vouched : callable
        Returns whether response headers carry the endpoint's signature of the body.
    prompt_copy : callable
        Returns the identifier of the KV handle in the response body of a prefill.
    drop_copy : callable
        Returns method and target of the call that releases a KV handle.
    """

    send_headers: Callable[[Request, Dispatch], Headers]
    belongs: Callable[[str, Headers], bool]
    says_not_run: Callable[[int, Headers], bool]
    is_vouched: Callable[[Headers], bool]
    prompt_copy: Callable[[bytes], str]
    drop_copy: Callable[[str], tuple[str, bytes]]
