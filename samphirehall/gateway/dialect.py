"""What the gateway needs to know of the words that endpoints use on the wire."""

from collections.abc import Callable
from dataclasses import dataclass

from samphirehall.gateway.types import Headers, ListedEndpoint, Request


@dataclass(slots=True, frozen=True)
class PromptCopy:
    """A read prompt that an engine keeps for another to take.

    Parameters
    ----------
    address : str
        Engine that keeps it.
    handle : str
        Its name there.
    """

    address: str
    handle: str


@dataclass(slots=True, frozen=True)
class Dispatch:
    """What one send adds to the client's request.

    Parameters
    ----------
    endpoint : ListedEndpoint
        The incarnation that is meant; any other must refuse.
    customer : str or None
        Owner of the key.
    rank : int or None
        Urgency of a generation; None for plain requests.
    remaining : float
        Seconds that the endpoint has.
    reads_only : bool
        Whether the prompt is only to be read and kept.
    copy : PromptCopy or None
        Prompt that another engine has read.
    fetch_from : str or None
        Address of an engine whose cached parts are to be fetched first.
    resume_after : int or None
        Number of the last event that the client has.
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
    """Functions that encode sends and decode answers.

    Parameters
    ----------
    send_headers : callable
        Headers of a send.
    belongs : callable
        Whether headers of an answer are those of the answer to a request id.
    says_not_run : callable
        Whether status and headers of an answer state that the request did not run.
    is_vouched : callable
        Whether headers of an answer carry the endpoint's signature of an unchanged body.
    prompt_copy : callable
        Name of the copy in the body of the answer to a send that only reads.
    drop_copy : callable
        Method and target of the call that frees a copy.
    """

    send_headers: Callable[[Request, Dispatch], Headers]
    belongs: Callable[[str, Headers], bool]
    says_not_run: Callable[[int, Headers], bool]
    is_vouched: Callable[[Headers], bool]
    prompt_copy: Callable[[bytes], str]
    drop_copy: Callable[[str], tuple[str, bytes]]
