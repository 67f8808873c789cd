"""Callers of a run: completions, lookups and bookings, with each call recorded in the history."""

import http.client
import json
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from samphirehall.core.clock import boot_seconds
from samphirehall.standins.tokens import TokenSource, versions_in
from tests.promises.events import CallEnded, History

MODEL = "answer"
CALL_TIMEOUT_SECONDS = 10.0
CALL_GAP_RANGE_SECONDS = (0.02, 0.08)
COMPLETION_TOKENS_RANGE = (4, 60)
MAX_RESENDS = 3
READY_POLL_INTERVAL_SECONDS = 0.2
SUCCESS_RESULT_CODES = ("1000", "1001")
_marker_numbers = count(1)


@dataclass(slots=True, frozen=True)
class Credentials:
    """A customer and one of its keys; the customer is empty if the key was never issued."""

    customer: str
    key: str
    label: str


@dataclass(slots=True)
class HttpResponse:
    """Holds what was received for one HTTP request."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    last_received_at: float = 0.0
    error: str = ""


def send_request(
    address: str, method: str, path: str, body: object, headers: dict[str, str]
) -> HttpResponse:
    """Send one request and return what was received, also of an incomplete response."""
    result = HttpResponse()
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_SECONDS)
    try:
        content = None if body is None else json.dumps(body).encode()
        connection.request(method, path, content, headers)
        answer = connection.getresponse()
        result.status = answer.status
        result.headers = {name.lower(): value for name, value in answer.getheaders()}
        while chunk := answer.read1():
            result.body += chunk
            result.last_received_at = boot_seconds()
        if answer.length:
            result.error = "the body is short"
    except (OSError, http.client.HTTPException) as error:
        result.error = repr(error)
    finally:
        connection.close()
    return result


class Balancer:
    """Tracks which entries are ready, as the load balancer of the platform does.

    Parameters
    ----------
    addresses : dict of str to str
        Address by host at which callers reach its entry.
    """

    def __init__(self, addresses: dict[str, str]) -> None:
        self.addresses = addresses
        self.ready: list[str] = sorted(addresses)

    def poll_until_stopped(self, stop: threading.Event) -> None:
        """Poll the readiness of every entry periodically until `stop` is set."""
        while not stop.wait(READY_POLL_INTERVAL_SECONDS):
            self.poll()

    def poll(self) -> None:
        """Poll the readiness of every entry once."""
        self.ready = [name for name in sorted(self.addresses) if self._is_ready(name)]

    def _is_ready(self, name: str) -> bool:
        host, _, port = self.addresses[name].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
        try:
            connection.request("GET", "/healthz/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


class Caller:
    """Sends requests with one key; its random choices are seeded.

    Parameters
    ----------
    balancer : Balancer
        Entries to call.
    history : History
        History that records the calls.
    credentials : Credentials
        Key to call with.
    seed : str
        Seed of the choices.
    """

    def __init__(
        self, balancer: Balancer, history: History, credentials: Credentials, *, seed: str
    ) -> None:
        self._balancer = balancer
        self._history = history
        self._credentials = credentials
        self._random = random.Random(seed)
        self._booked: list[tuple[str, str]] = []

    def run(self, action: Callable[["Caller"], None], stop: threading.Event) -> None:
        """Repeat one action until `stop` is set."""
        while not stop.is_set():
            action(self)
            time.sleep(self._random.uniform(*CALL_GAP_RANGE_SECONDS))

    def complete(
        self, *, prompt_suffix: str = "", marker: str = "", max_tokens: int = 0
    ) -> CallEnded:
        """Request a completion, streamed or whole, and record it with the expected answer.

        That is the one of the software version that the first token names.
        """
        marker = marker or f"call-{next(_marker_numbers):06d}"
        prompt = f"{marker} is lot {self._random.randrange(999)} fit for Saturday? {prompt_suffix}"
        tokens = max_tokens or self._random.randint(*COMPLETION_TOKENS_RANGE)
        stream = bool(max_tokens) or self._random.random() < 0.6
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
        }

        def expect(received: str) -> str:
            source = TokenSource(MODEL, prompt, *versions_in(received)[:1])
            return "".join(source.token_at_index(index) for index in range(tokens))

        return self._call(
            "stream" if stream else "whole",
            "POST",
            "/v1/chat/completions",
            body,
            marker=marker,
            expect=expect,
        )

    def look_up(self) -> CallEnded:
        """Look up one lot at the order desk."""
        marker = f"lot-{next(_marker_numbers):06d}"
        return self._call("lookup", "GET", f"/services/stock/{marker}", None, marker=marker)

    def book(self) -> CallEnded:
        """Send a new or earlier booking; resend it up to `MAX_RESENDS` times until status 200."""
        if self._booked and self._random.random() < 0.2:
            key, marker = self._random.choice(self._booked)
        else:
            marker = f"freight-{next(_marker_numbers):06d}"
            key = f"key-{marker}"
            self._booked.append((key, marker))
        for _ in range(1 + MAX_RESENDS):
            ended = self.book_once(key, marker)
            if ended.status == 200:
                break
            time.sleep(self._random.uniform(*CALL_GAP_RANGE_SECONDS))
        return ended

    def book_once(self, key: str, marker: str) -> CallEnded:
        """Send one booking."""
        body = {"booking": marker}
        path = "/services/bookings/freight"
        return self._call("booking", "POST", path, body, marker=marker, idempotency_key=key)

    def _call(
        self,
        kind: str,
        method: str,
        path: str,
        body: object,
        *,
        marker: str,
        expect: Callable[[str], str] = lambda received: "",
        idempotency_key: str = "",
    ) -> CallEnded:
        """Send one call and record it; `expect` gives the correct answer for what was received."""
        host = self._random.choice(self._balancer.ready or sorted(self._balancer.addresses))
        headers = {
            "Authorization": f"Bearer {self._credentials.key}",
            "Content-Type": "application/json",
        }
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        started = boot_seconds()
        response = send_request(self._balancer.addresses[host], method, path, body, headers)
        received, ended = _parse_answer(kind, response)
        event = CallEnded(
            at=boot_seconds(),
            started=started,
            kind=kind,
            host=host,
            customer=self._credentials.customer,
            key=self._credentials.label,
            marker=marker,
            idempotency_key=idempotency_key,
            request_id=response.headers.get("samphire-request", ""),
            status=response.status,
            result=int(response.headers.get("samphire-result", "0")),
            run=response.headers.get("samphire-run", ""),
            endpoint=response.headers.get("samphire-endpoint", ""),
            expected=expect(received),
            received=received,
            last_token=response.last_received_at if received else 0.0,
            ended=ended,
            error=response.error,
        )
        self._history.append(event)
        return event


def _parse_answer(kind: str, response: HttpResponse) -> tuple[str, bool]:
    """Return the text of a successful answer and whether it is complete."""
    if response.headers.get("samphire-result") not in SUCCESS_RESULT_CODES:
        return "", False
    text = response.body.decode(errors="replace")
    if kind == "stream":
        return _parse_events(text)
    if response.error:
        return "", False
    if kind == "whole":
        return json.loads(text)["choices"][0]["message"]["content"], True
    return text, True


def _parse_events(text: str) -> tuple[str, bool]:
    tokens = []
    for event in text.split("\n\n")[:-1]:
        lines = event.split("\n")
        if "event: error" in lines:
            break
        data = [line.removeprefix("data: ") for line in lines if line.startswith("data: ")]
        if data == ["[DONE]"]:
            return "".join(tokens), True
        tokens += [json.loads(item)["choices"][0]["delta"].get("content", "") for item in data]
    return "".join(tokens), False
