"""Callers of a run: completions, lookups and bookings, each call written to the history."""

import http.client
import json
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from samphirehall.core.clock import boot_seconds
from samphirehall.standins.engine import token_at
from tests.promises.events import CallEnded, History

MODEL = "answer"
CALL_SECONDS = 10.0
PAUSE_SECONDS = (0.02, 0.08)
MAX_TOKENS = (4, 60)
RESENDS = 3
READY_POLL_SECONDS = 0.2
GOOD_CODES = ("1000", "1001")
_numbers = count(1)


@dataclass(slots=True, frozen=True)
class Credentials:
    """A customer and one of its keys; the customer is empty if the key was never issued."""

    customer: str
    key: str
    label: str


@dataclass(slots=True)
class Exchange:
    """What came back of one HTTP request."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    last_at: float = 0.0
    error: str = ""


def exchange(
    address: str, method: str, path: str, body: object, headers: dict[str, str]
) -> Exchange:
    """Make one request and return all that arrived, also of an answer that broke."""
    result = Exchange()
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=CALL_SECONDS)
    try:
        content = None if body is None else json.dumps(body).encode()
        connection.request(method, path, content, headers)
        answer = connection.getresponse()
        result.status = answer.status
        result.headers = {name.lower(): value for name, value in answer.getheaders()}
        while chunk := answer.read1():
            result.body += chunk
            result.last_at = boot_seconds()
        if answer.length:
            result.error = "the body is short"
    except (OSError, http.client.HTTPException) as error:
        result.error = repr(error)
    finally:
        connection.close()
    return result


class Balancer:
    """The platform's balancer: knows which entries are ready.

    Parameters
    ----------
    addresses : dict of str to str
        Callers' address of each host.
    """

    def __init__(self, addresses: dict[str, str]) -> None:
        self.addresses = addresses
        self.ready: list[str] = sorted(addresses)

    def follow(self, stop: threading.Event) -> None:
        """Ask every entry again and again until stopped."""
        while not stop.wait(READY_POLL_SECONDS):
            self.look()

    def look(self) -> None:
        """Ask every entry once."""
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
    """One caller with its own seeded choices.

    Parameters
    ----------
    balancer : Balancer
        Entries to call.
    history : History
        Where calls are written.
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

    def run(self, work: Callable[["Caller"], None], stop: threading.Event) -> None:
        """Repeat one kind of work until stopped."""
        while not stop.is_set():
            work(self)
            time.sleep(self._random.uniform(*PAUSE_SECONDS))

    def complete(self, *, mark: str = "", marker: str = "", max_tokens: int = 0) -> CallEnded:
        """Ask for a completion, streamed or whole, and note whether it is the right one."""
        marker = marker or f"call-{next(_numbers):06d}"
        prompt = f"{marker} is lot {self._random.randrange(999)} fit for Saturday? {mark}"
        tokens = max_tokens or self._random.randint(*MAX_TOKENS)
        stream = bool(max_tokens) or self._random.random() < 0.6
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
        }
        expected = "".join(token_at(MODEL, prompt, index) for index in range(tokens))
        return self._call(
            "stream" if stream else "whole",
            "POST",
            "/v1/chat/completions",
            body,
            marker=marker,
            expected=expected,
        )

    def look_up(self) -> CallEnded:
        """Ask the order desk for a lot."""
        marker = f"lot-{next(_numbers):06d}"
        return self._call("lookup", "GET", f"/services/stock/{marker}", None, marker=marker)

    def book(self) -> CallEnded:
        """Book once, resending while the outcome is not known; at times book the same again."""
        if self._booked and self._random.random() < 0.2:
            key, marker = self._random.choice(self._booked)
        else:
            marker = f"freight-{next(_numbers):06d}"
            key = f"key-{marker}"
            self._booked.append((key, marker))
        for _ in range(1 + RESENDS):
            ended = self.book_once(key, marker)
            if ended.status == 200:
                break
            time.sleep(self._random.uniform(*PAUSE_SECONDS))
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
        expected: str = "",
        idempotency_key: str = "",
    ) -> CallEnded:
        host = self._random.choice(self._balancer.ready or sorted(self._balancer.addresses))
        headers = {
            "Authorization": f"Bearer {self._credentials.key}",
            "Content-Type": "application/json",
        }
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        started = boot_seconds()
        got = exchange(self._balancer.addresses[host], method, path, body, headers)
        received, ended = _read(kind, got)
        event = CallEnded(
            at=boot_seconds(),
            started=started,
            kind=kind,
            host=host,
            customer=self._credentials.customer,
            key=self._credentials.label,
            marker=marker,
            idempotency_key=idempotency_key,
            request_id=got.headers.get("samphire-request", ""),
            status=got.status,
            result=int(got.headers.get("samphire-result", "0")),
            run=got.headers.get("samphire-run", ""),
            endpoint=got.headers.get("samphire-endpoint", ""),
            expected=expected,
            received=received,
            last_token=got.last_at if received else 0.0,
            ended=ended,
            error=got.error,
        )
        self._history.append(event)
        return event


def _read(kind: str, got: Exchange) -> tuple[str, bool]:
    """Return the text of an answer and whether it came with its end."""
    if got.headers.get("samphire-result") not in GOOD_CODES:
        return "", False
    text = got.body.decode(errors="replace")
    if kind == "stream":
        return _read_events(text)
    if got.error:
        return "", False
    if kind == "whole":
        return json.loads(text)["choices"][0]["message"]["content"], True
    return text, True


def _read_events(text: str) -> tuple[str, bool]:
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
