"""One completion on its way: what was asked, what came back, and what may have run."""

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
    """One completion on its way.

    Parameters
    ----------
    request_id : str
        Identifier that every event carries.
    caller : Caller
        Customer and route.
    completion : Completion
        What was asked for.
    priority : Priority
        Order of service on the engine.
    deadline : float
        Boot clock in seconds.
    payloads : list of bytes
        Payloads of all events accepted so far.
    endpoints : list of str
        Endpoints that the request was written to, in order.
    written : bool
        Whether an endpoint may have run a part of the request.
    streaming : bool
        Whether the head of a streamed answer has gone to the caller.
    """

    request_id: str
    caller: Caller
    completion: Completion
    priority: Priority
    deadline: float
    payloads: list[bytes] = field(default_factory=list)
    endpoints: list[str] = field(default_factory=list)
    written: bool = False
    streaming: bool = False
    _block_hashes: list[int] | None = None
    _fingerprint: str = ""
    _prompt_tokens: int = -1

    @property
    def fingerprint(self) -> str:
        """Fingerprint of model and messages; worked out once."""
        if not self._fingerprint:
            content = (self.caller.route.target, self.completion.messages)
            self._fingerprint = fingerprint(msgspec.json.encode(content))
        return self._fingerprint

    @property
    def prompt_tokens(self) -> int:
        """Estimated tokens of the prompt."""
        if self._prompt_tokens < 0:
            messages = self.completion.messages
            characters = sum(len(str(message.get("content", ""))) for message in messages)
            self._prompt_tokens = characters // CHARACTERS_PER_TOKEN
        return self._prompt_tokens

    @property
    def max_tokens(self) -> int:
        """Most tokens to generate."""
        limit = self.caller.route.max_tokens
        return min(self.completion.max_tokens or limit, limit)

    def block_hashes(self, *, block_tokens: int) -> list[int]:
        """Return the chained hashes of the prompt's blocks; worked out once."""
        if self._block_hashes is None:
            text = prompt_text(self.completion.messages)
            target = self.caller.route.target
            self._block_hashes = block_hashes(target, text, block_tokens=block_tokens)
        return self._block_hashes

    def failure(self, detail: str, *, not_run: Result = NO_ENDPOINT) -> SamphireError:
        """Return the error that ends the run, true about what ran.

        Parameters
        ----------
        detail : str
            What went wrong.
        not_run : Result
            Result if certainly nothing ran.
        """
        if self.payloads:
            return SamphireError(STREAM_CUT, detail)
        if self.written:
            return SamphireError(OUTCOME_UNKNOWN, detail, retry_after=RETRY_AFTER_SECONDS)
        return SamphireError(not_run, detail, retry_after=RETRY_AFTER_SECONDS)

    def deadline_error(self) -> SamphireError:
        """Return the error of a deadline that passed."""
        result = DEADLINE_UNKNOWN if self.written else DEADLINE_NOT_RUN
        return SamphireError(result, "the deadline passed")
