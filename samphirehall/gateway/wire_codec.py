"""Interface of the codec between the gateway and an endpoint's wire format."""

from collections.abc import Callable
from dataclasses import dataclass

from samphirehall.gateway.types import Headers, ListedEndpoint, Request


@dataclass(slots=True, frozen=True)
class KvHandle:
    """Reference to prefilled keys and values that an engine keeps for another to fetch.

    Parameters
    ----------
    address : str
        IP address and port of the engine that keeps them.
    handle_id : str
        Identifier on that engine.
    """

    address: str
    handle_id: str


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
    prefill_only : bool
        Whether the engine only prefills and keeps the result for another engine.
    kv_handle : KvHandle or None
        Prefilled prompt on another engine.
    prefix_source : str or None
        Address of an engine from which cached prompt parts are fetched first.
    resume_after : int or None
        Number of the last event that the client has received.
    """

    endpoint: ListedEndpoint
    customer: str | None
    rank: int | None
    remaining: float
    prefill_only: bool = False
    kv_handle: KvHandle | None = None
    prefix_source: str | None = None
    resume_after: int | None = None


@dataclass(slots=True, frozen=True)
class WireCodec:
    """Functions that encode sends and decode responses.

    Parameters
    ----------
    request_headers : callable
        Returns the headers of a send.
    passed_headers : callable
        Returns the headers with which a request is passed on to another host, from the request and
        the seconds until its deadline.
    matches_request : callable
        Returns whether response headers answer the request with a given id.
    reports_not_run : callable
        Returns whether status and headers state that the request did not run.
    is_signed : callable
        Returns whether response headers carry the endpoint's signature of the body.
    decode_kv_handle : callable
        Returns the identifier of the KV handle in the response body of a prefill.
    kv_release_call : callable
        Returns method and target of the call that releases a KV handle.
    endpoint_limit : callable
        Returns the requests per second that an endpoint takes from all hosts together, as
        response headers state them; None without a limit.
    report_call : callable
        Returns method and target of the call that asks an engine for its state.
    decode_started_at : callable
        Returns when the process that answered such a call has started, in milliseconds since 1970;
        None if it does not say.
    """

    request_headers: Callable[[Request, Dispatch], Headers]
    passed_headers: Callable[[Request, float], Headers]
    matches_request: Callable[[str, Headers], bool]
    reports_not_run: Callable[[int, Headers], bool]
    is_signed: Callable[[Headers], bool]
    decode_kv_handle: Callable[[bytes], str]
    kv_release_call: Callable[[str], tuple[str, bytes]]
    endpoint_limit: Callable[[Headers], float | None]
    report_call: Callable[[], tuple[str, bytes]]
    decode_started_at: Callable[[bytes], int | None]
