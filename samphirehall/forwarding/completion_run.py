"""State of a completion across its attempts."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec

from samphirehall.admission.authentication import Caller
from samphirehall.core.errors import SamphireError
from samphirehall.core.identifiers import fingerprint
from samphirehall.core.results import (
    DEADLINE_NOT_RUN,
    DEADLINE_UNKNOWN,
    NO_ENDPOINT,
    OUTCOME_UNKNOWN,
    STREAM_CUT,
    Result,
)
from samphirehall.core.types import Priority
from samphirehall.endpoints.events import EventBatch
from samphirehall.forwarding.inbound import Completion
from samphirehall.routing.blocks import block_hashes, prompt_text

CHARACTERS_PER_TOKEN = 4
RETRY_AFTER_SECONDS = 1.0

Sink = Callable[[EventBatch], Awaitable[None]]


@dataclass(slots=True)
class CompletionRun:
    """State of one completion across its attempts.

    Parameters
    ----------
    request_id : str
        Identifier in the id of every event.
    caller : Caller
        Customer and route.
    completion : Completion
        The validated request.
    priority : Priority
        Scheduling priority on the engine.
    deadline : float
        Time by which the answer must be complete, on the boot clock in seconds.
    payloads : list of bytes
        Payloads of all events received so far, without the end marker.
    endpoints : list of str
        Identifiers of the endpoints that were called, in order.
    may_have_run : bool
        Whether a part of the request may have run on an endpoint.
    stream_started : bool
        Whether the head of a streamed answer has been sent to the caller.
    software_version : str
        Software version of the engine that sent the first event; empty if it is unknown.
    """

    request_id: str
    caller: Caller
    completion: Completion
    priority: Priority
    deadline: float
    payloads: list[bytes] = field(default_factory=list)
    endpoints: list[str] = field(default_factory=list)
    may_have_run: bool = False
    stream_started: bool = False
    software_version: str = ""
    _block_hashes: list[int] | None = None
    _fingerprint: str = ""
    _shared_parts: list[str] | None = None
    _prompt_tokens: int = -1

    @property
    def fingerprint(self) -> str:
        """Fingerprint of model and messages, computed on first use."""
        if not self._fingerprint:
            content = (self.caller.route.target, self.completion.messages)
            self._fingerprint = fingerprint(msgspec.json.encode(content))
        return self._fingerprint

    @property
    def shared_parts(self) -> list[str]:
        """Digests of all messages but the last, which other requests may share."""
        if self._shared_parts is None:
            target = self.caller.route.target
            self._shared_parts = [
                fingerprint(msgspec.json.encode((target, message)))
                for message in self.completion.messages[:-1]
            ]
        return self._shared_parts

    @property
    def prompt_tokens(self) -> int:
        """Number of prompt tokens, estimated from the number of characters."""
        if self._prompt_tokens < 0:
            messages = self.completion.messages
            characters = sum(len(str(message.get("content", ""))) for message in messages)
            self._prompt_tokens = characters // CHARACTERS_PER_TOKEN
        return self._prompt_tokens

    @property
    def max_tokens(self) -> int:
        """Maximum number of tokens to decode, at most the limit of the route."""
        limit = self.caller.route.max_tokens
        return min(self.completion.max_tokens or limit, limit)

    def block_hashes(self, *, block_tokens: int) -> list[int]:
        """Return the chained hashes of the prompt's blocks, computed on the first call."""
        if self._block_hashes is None:
            text = prompt_text(self.completion.messages)
            target = self.caller.route.target
            self._block_hashes = block_hashes(target, text, block_tokens=block_tokens)
        return self._block_hashes

    def discard_events(self) -> None:
        """Discard all events, so that the answer begins anew; the caller has received none."""
        self.payloads.clear()
        self.software_version = ""

    def build_error(self, detail: str, *, not_run: Result = NO_ENDPOINT) -> SamphireError:
        """Return the error that ends the completion and says whether the request ran.

        Parameters
        ----------
        detail : str
            Description of the failure.
        not_run : Result
            Result to report if no part of the request ran.
        """
        if self.payloads:
            return SamphireError(STREAM_CUT, detail)
        if self.may_have_run:
            return SamphireError(OUTCOME_UNKNOWN, detail, retry_after=RETRY_AFTER_SECONDS)
        return SamphireError(not_run, detail, retry_after=RETRY_AFTER_SECONDS)

    def deadline_error(self) -> SamphireError:
        """Return the error for a passed deadline, which says whether the request may have run."""
        result = DEADLINE_UNKNOWN if self.may_have_run else DEADLINE_NOT_RUN
        return SamphireError(result, "the deadline of the request passed")
