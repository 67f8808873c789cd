"""HTTP/1.1 connections to endpoints that match each response to its request.

h11 parses the protocol. An endpoint may send a response late, or one too many.
A response to another request is read and discarded, and a connection is reused
only if exactly one whole response arrived on it. It carries no request id twice, as
a response to the first request would match the second one as well.
"""

import contextlib
import re
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import anyio
import h11
import httpcore

from samphirehall.core.clock import boot_seconds
from samphirehall.core.connections import MAX_STATUS, SOCKET_OPTIONS, CarriedIds
from samphirehall.core.decoding import parse_unsigned
from samphirehall.core.network import TcpBackend, TcpStream
from samphirehall.core.turns import Turn
from samphirehall.gateway.types import Headers

CONNECT_TIMEOUT_SECONDS = 0.5  # over two round trips between zones; a cut-off peer never answers
REFUSAL_TIMEOUT_SECONDS = 0.1  # a refusal takes one round trip; delays the next attempt
CLOSE_TIMEOUT_SECONDS = 0.1  # some transports do not close at once
RECEIVE_BUFFER_BYTES = 65_536  # a full receive window
MAX_RESPONSE_HEAD_BYTES = 65_536  # the same as for requests
MAX_STRAY_RESPONSES = 3  # skipped before the exchange fails
MAX_STRAY_BODY_BYTES = 262_144  # of one of them; a longer one may have no end
MAX_INFORMATIONAL_RESPONSES = 8  # before the response itself; more may have no end
IDLE_TIMEOUT_FRACTION = 0.5  # of the endpoint's idle timeout, so that this side closes first
DEFAULT_IDLE_TIMEOUT_SECONDS = 2.0  # when the endpoint states no timeout
MAX_IDLE_TIMEOUT_SECONDS = 3600  # that an endpoint can state
MAX_NON_REPEATABLE_IDLE_SECONDS = 0.5  # an older connection may be closing at the endpoint

_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)")

ResponseMatcher = Callable[[Headers], bool]


class NotSentError(Exception):
    """No connection could be opened; no byte of the request was sent."""


class WrongProcessError(NotSentError):
    """Another process than the expected one responds at the address of an endpoint."""


class UnknownProcessError(NotSentError):
    """A new connection was opened, but nothing shows that it leads to the expected process."""


class IncompleteResponseError(Exception):
    """The request was sent, but no whole response arrived."""


@dataclass(slots=True, frozen=True)
class ProcessCheck:
    """Call by which a new connection is found to lead to the expected process.

    A connection belongs to one process, so that it is checked once.

    Parameters
    ----------
    method : str
        HTTP method.
    target : bytes
        Path and query.
    headers : list of pairs of bytes
        All headers.
    timeout : float
        Seconds in which the response has to arrive.
    max_bytes : int
        Maximum length of its body.
    accepts : callable
        Returns whether the process is the expected one from the body of its response, which is
        None if no whole one arrived.
    """

    method: str
    target: bytes
    headers: Headers
    timeout: float
    max_bytes: int
    accepts: Callable[[bytes | None], bool]


@dataclass(slots=True)
class Response:
    """A response whose head has arrived and whose body is read on demand.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of pairs of bytes
        As received, names in lower case.
    """

    status: int
    headers: Headers
    _connection: "_Connection" = field(repr=False)

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of the header `name`, given in lower case."""
        return next((value for key, value in self.headers if key == name), None)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield chunks of the body as they arrive.

        Raises
        ------
        IncompleteResponseError
            The body ends early.
        """
        while (data := await self._connection.next_data()) is not None:
            yield data

    async def read(self, *, max_bytes: int) -> bytes:
        """Return the whole body.

        Raises
        ------
        IncompleteResponseError
            The body ends early or is longer than `max_bytes`.
        """
        body = bytearray()
        async for data in self.chunks():
            body += data
            if len(body) > max_bytes:
                raise IncompleteResponseError(f"body over {max_bytes} bytes")
        return bytes(body)


class _Connection:
    """One connection to an endpoint, with at most one request in flight."""

    def __init__(self, stream: TcpStream) -> None:
        self._stream = stream
        self._parser = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._no_stray_bytes = True
        self._turn = Turn()
        self.carried = CarriedIds()
        self.is_checked = False
        self.idle_timeout = DEFAULT_IDLE_TIMEOUT_SECONDS

    @property
    def reusable(self) -> bool:
        """Whether exactly one whole response arrived and the endpoint keeps the connection open."""
        parser = self._parser
        done = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        whole = self._no_stray_bytes and done and not parser.trailing_data[0]
        return whole and not self.carried.is_full

    @property
    def has_no_input(self) -> bool:
        """Whether neither data nor an end of stream has arrived since the last response."""
        return not self._stream.get_extra_info("is_readable")

    async def send(self, head: h11.Request, body: bytes) -> None:
        self._request = head
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES)
        data = self._encode_request(self._parser, body)
        with contextlib.suppress(httpcore.WriteError):
            # An endpoint may respond early and close; its response can still be read.
            await self._stream.write(data)

    async def next_response(self, matches: ResponseMatcher | None) -> Response:
        for _ in range(MAX_STRAY_RESPONSES + 1):
            response = await self._next_final_response()
            if not isinstance(response, h11.Response):
                raise IncompleteResponseError(
                    f"got {type(response).__name__} where a response head was expected"
                )
            headers = list(response.headers)
            if matches is None or matches(headers):
                if response.status_code > MAX_STATUS:
                    raise IncompleteResponseError(f"status {response.status_code}")
                self._update_idle_timeout(headers)
                return Response(response.status_code, headers, self)
            await self._skip_stray_response()
        raise IncompleteResponseError("only responses to other requests arrived")

    async def ask(self, check: ProcessCheck) -> bytes | None:
        """Return the body of the response to a check, or None if no whole one arrives in time."""
        head = h11.Request(method=check.method, target=check.target, headers=check.headers)
        try:
            with anyio.fail_after(check.timeout):
                await self.send(head, b"")
                response = await self.next_response(None)
                return await response.read(max_bytes=check.max_bytes)
        except (IncompleteResponseError, TimeoutError):
            return None

    async def _next_final_response(self) -> object:
        """Return the next event that is no informational response."""
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event()
            if not isinstance(event, h11.InformationalResponse):
                return event
        raise IncompleteResponseError(
            f"over {MAX_INFORMATIONAL_RESPONSES} informational responses arrived"
        )

    async def next_data(self) -> bytes | None:
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise IncompleteResponseError(f"got {type(event).__name__} inside a body")

    async def aclose(self) -> None:
        if self._request is not None and self._parser.their_state is not h11.DONE:
            self._stream.set_reset_on_close(True)
        with (
            contextlib.suppress(OSError, anyio.BrokenResourceError),
            anyio.move_on_after(CLOSE_TIMEOUT_SECONDS, shield=True),
        ):
            await self._stream.aclose()

    def _encode_request(self, parser: h11.Connection, body: bytes) -> bytes:
        assert self._request is not None
        data = parser.send(self._request) or b""
        if body:
            data += parser.send(h11.Data(data=body)) or b""
        return data + (parser.send(h11.EndOfMessage()) or b"")

    async def _skip_stray_response(self) -> None:
        """Read the rest of a response to another request and prepare the parser for the next."""
        self._no_stray_bytes = False
        length = 0
        while (data := await self.next_data()) is not None:
            length += len(data)
            if length > MAX_STRAY_BODY_BYTES:
                raise IncompleteResponseError("the response to another request does not end")
        remainder, _ = self._parser.trailing_data
        if self._parser.their_state is not h11.DONE:
            raise IncompleteResponseError("the connection ends after a response to another request")
        request = self._request
        assert request is not None
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEAD_BYTES)
        self._parser.send(h11.Request(method="GET", target="/", headers=[("Host", "-")]))
        self._parser.send(h11.EndOfMessage())
        if remainder:
            self._parser.receive_data(remainder)

    async def _next_event(self) -> object:
        """Return the next event of the parser, those that arrived together in turns."""
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise IncompleteResponseError(str(error)) from error
            if event is not h11.NEED_DATA:
                await self._turn.step()
                return event
            try:
                data = await self._stream.read(RECEIVE_BUFFER_BYTES)
            except httpcore.NetworkError as error:
                raise IncompleteResponseError("the connection was reset") from error
            self._turn.restart()
            self._parser.receive_data(data)

    def _update_idle_timeout(self, headers: Headers) -> None:
        for name, value in headers:
            if name == b"keep-alive" and (match := _KEEP_ALIVE_TIMEOUT.search(value)):
                stated = parse_unsigned(match[1], maximum=MAX_IDLE_TIMEOUT_SECONDS)
                if stated is None:
                    stated = MAX_IDLE_TIMEOUT_SECONDS
                self.idle_timeout = stated * IDLE_TIMEOUT_FRACTION


class EndpointConnections:
    """Connection pool for one incarnation of an endpoint.

    Parameters
    ----------
    address : str
        IP address and port.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle: deque[tuple[float, _Connection]] = deque()
        self._backend = TcpBackend()
        self._closed = False

    @contextlib.asynccontextmanager
    async def exchange(
        self,
        method: str,
        target: bytes,
        headers: Headers,
        body: bytes,
        *,
        matches: ResponseMatcher | None,
        request_id: str | None = None,
        must_not_repeat: bool = False,
        check: ProcessCheck | None = None,
    ) -> AsyncIterator[Response]:
        """Send a request and yield its response with the body unread.

        Leaving the context before the whole body has been read closes the
        connection, which cancels the request at the endpoint.

        Parameters
        ----------
        method : str
            HTTP method.
        target : bytes
            Path and query.
        headers : list of pairs of bytes
            All headers except Content-Length, which is added here.
        body : bytes
            Whole body.
        matches : callable or None
            Returns whether a response with the given headers answers this request. None if
            responses do not tell; the request then uses a new connection.
        request_id : str, optional
            Id by which responses are matched; a connection that has carried it is not used.
        must_not_repeat : bool
            Whether the request must not be repeated. It then uses a connection that was idle
            only briefly, or a new one, since a write to a closed connection leaves open
            whether the request ran.
        check : ProcessCheck, optional
            Check that the connection has to pass before the request is sent.

        Raises
        ------
        NotSentError
            No connection could be opened, or it leads to another process.
        IncompleteResponseError
            No whole response arrived.
        """
        has_body = body or method not in ("GET", "HEAD", "DELETE")
        framing = [(b"Content-Length", str(len(body)).encode())] if has_body else []
        head = h11.Request(method=method, target=target, headers=[*headers, *framing])
        if matches is None:
            connection = await self._open()
        else:
            connection = await self._acquire(
                MAX_NON_REPEATABLE_IDLE_SECONDS if must_not_repeat else None, request_id
            )
        if check is not None:
            connection = await self._checked(connection, check)
        if request_id is not None:
            connection.carried.add(request_id)
        try:
            await connection.send(head, body)
            yield await connection.next_response(matches)
        finally:
            await self._release(connection)

    async def confirm(self, check: ProcessCheck) -> None:
        """Hold a connection ready that has passed a check.

        Raises
        ------
        NotSentError
            No connection could be opened, or it leads to another process.
        """
        connection = await self._acquire(None, None)
        await self._release(await self._checked(connection, check))

    async def refuses_connections(self) -> bool:
        """Return whether the endpoint refuses a new connection, as a process that ended does.

        An endpoint that cannot be reached in time does not refuse.
        """
        try:
            stream = await self._connect(REFUSAL_TIMEOUT_SECONDS)
        except httpcore.ConnectTimeout:
            return False
        except httpcore.ConnectError:
            return True
        await _Connection(stream).aclose()
        return False

    async def accepts_connections(self, timeout: float) -> bool:
        """Return whether a new connection can be opened within a time in seconds."""
        try:
            stream = await self._connect(timeout)
        except (httpcore.ConnectTimeout, httpcore.ConnectError):
            return False
        await _Connection(stream).aclose()
        return True

    async def aclose(self) -> None:
        """Close idle connections now, and each busy one when its request ends."""
        self._closed = True
        while self._idle:
            _, connection = self._idle.pop()
            await connection.aclose()

    async def _acquire(self, max_idle: float | None, request_id: str | None) -> _Connection:
        now = boot_seconds()
        carriers: list[tuple[float, _Connection]] = []
        try:
            while self._idle:
                idle_since, connection = self._idle.pop()
                idle_timeout = connection.idle_timeout if max_idle is None else max_idle
                if (
                    now - idle_since >= min(idle_timeout, connection.idle_timeout)
                    or not connection.has_no_input
                ):
                    await connection.aclose()
                elif request_id is not None and request_id in connection.carried:
                    carriers.append((idle_since, connection))
                else:
                    return connection
        finally:
            self._idle.extend(reversed(carriers))
        return await self._open()

    async def _open(self) -> _Connection:
        """Open a connection.

        Raises
        ------
        NotSentError
            The endpoint cannot be reached.
        """
        try:
            stream = await self._connect(CONNECT_TIMEOUT_SECONDS)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise NotSentError(str(error)) from error
        return _Connection(stream)

    async def _checked(self, connection: _Connection, check: ProcessCheck) -> _Connection:
        """Return a connection that has passed a check: this one, or a new one in its place.

        A process that is accepted without a whole response is sent the request on a connection
        on which no late response to the check can arrive.

        Raises
        ------
        NotSentError
            The connection leads to another process, or no new one could be opened.
        """
        if connection.is_checked:
            return connection
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(connection.aclose)
            body = await connection.ask(check)
            if not check.accepts(body):
                error = UnknownProcessError if body is None else WrongProcessError
                raise error(f"the process at {self._host}:{self._port} was not accepted")
            if connection.reusable:
                connection.is_checked = True
                stack.pop_all()
                return connection
        return await self._open()

    async def _connect(self, timeout: float) -> TcpStream:
        return await self._backend.connect_tcp(
            self._host, self._port, timeout=timeout, socket_options=SOCKET_OPTIONS
        )

    async def _release(self, connection: _Connection) -> None:
        if connection.reusable and not self._closed:
            self._idle.append((boot_seconds(), connection))
            return
        await connection.aclose()
