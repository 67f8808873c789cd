"""HTTP protocol of uvicorn with limits on the time and size of a request head."""

import asyncio

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from samphirehall.core.results import BAD_REQUEST, CALL_TIMEOUT, OVERLOADED, TOO_LARGE, Result
from samphirehall.forwarding.caller_connection import CONNECTION_SCOPE_KEY, CallerConnection
from samphirehall.forwarding.caller_heads import head_without_upgrade, refusal
from samphirehall.forwarding.caller_input import (
    PIECE_COST_BYTES,
    TURN_BYTES,
    InputControl,
    UnparsedInput,
    may_read,
)
from samphirehall.forwarding.connection_limits import (
    HEADER_BYTES,
    ConnectionLimits,
    Held,
    RefusalReason,
    limits_of_process,
)

MAX_HEAD_BYTES = 64 * 1024
UNREAD_GRACE_SECONDS = 0.05  # in which the event loop reads what has arrived
TARGET_SCOPE_KEY = "samphire.target"


def caller_protocol(
    *, head_timeout: float, limits: ConnectionLimits | None = None
) -> type[HttpToolsProtocol]:
    """Return the uvicorn protocol class for connections of callers.

    Parameters
    ----------
    head_timeout : float
        Seconds in which the head of a request must arrive, counted from its first byte;
        for the first request, from the opening of the connection.
    limits : ConnectionLimits, optional
        Limits on all connections together; by default those of the process.
    """
    shared_limits = limits or limits_of_process()

    class CallerProtocol(HttpToolsProtocol):
        """Refuses a request whose head is late or too long, and notices a caller that closes.

        The connection is read on while a request is served; what follows waits unparsed.
        """

        _head_timer: asyncio.TimerHandle | None = None
        _head_bytes = 0
        _in_head = True
        _in_body = False
        _framing_bytes = 0  # received since the last byte of a body or the end of a request
        _has_refused = False
        _is_ending = False
        _offers_upgrade = False
        _request_bytes = 0  # of the request that is being parsed
        _queued_bytes = 0  # of the request that waits for the running one
        _head_is_overdue = False
        _parses_soon = False

        def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
            """Start to wait for the first head."""
            super().connection_made(transport)
            self._unparsed = UnparsedInput()
            self._input = InputControl(transport, self._reads_on)
            self.flow = self._input
            self._caller = CallerConnection(transport.close, self._has_requests)
            if shared_limits.admit(self):
                self.expect_first_head()
            else:
                detail = f"{shared_limits.max_connections} connections are open"
                self._refuse(RefusalReason.TOO_MANY, OVERLOADED, detail)

        def expect_first_head(self) -> None:
            """Start the timeout of the first head when the connection opens."""
            self._expect_head()

        def connection_lost(self, exc: Exception | None) -> None:
            """Cancel the head timeout and report the connection as closed."""
            self._cancel_head_timer()
            self._input.release()
            self._unparsed.clear()
            shared_limits.remove(self)
            super().connection_lost(exc)
            self._unset_keepalive_if_required()  # uvicorn keeps the timer of a reset connection
            # Reference cycles would keep them until the garbage collector finds them.
            self.scope = self.headers = None  # type: ignore[assignment]
            self._caller.mark_closed()

        def data_received(self, data: bytes) -> None:
            """Parse received bytes, except those behind a request that waits for another one."""
            if self._takes_input():
                self._unparsed.add(data)
                if self._parses_soon:
                    self._input.update()
                else:
                    self._parse()

        def shutdown(self) -> None:
            """Close the connection once all requests that have arrived are answered."""
            self._is_ending = True
            self._close_if_done()

        def has_unread_bytes(self) -> bool:
            """Return whether received bytes wait to be read."""
            return self._input.has_unread_bytes()

        def close_for_room(self, reason: RefusalReason) -> None:
            """Close the connection, once requests that have been read are answered.

            A caller that does not read its responses has them no longer.
            """
            self._unparsed.clear()
            if self.flow.write_paused or reason == RefusalReason.UNUSED:
                shared_limits.record(reason, self._client_name(), "closed to make room")
                self.transport.abort()
            else:
                self._refuse(reason, OVERLOADED, "connections of callers hold too many bytes")

        def head_seconds(self) -> float:
            """Return the seconds in which a head must arrive."""
            return head_timeout

        def max_head_bytes(self) -> int:
            """Return the maximum size of a head in bytes."""
            return MAX_HEAD_BYTES

        def on_message_begin(self) -> None:
            """Start the head timeout, unless it already runs."""
            super().on_message_begin()
            self._unset_keepalive_if_required()
            shared_limits.mark_used(self)
            self.scope[CONNECTION_SCOPE_KEY] = self._caller  # type: ignore[literal-required]
            self._expect_head()

        def on_url(self, url: bytes) -> None:
            """Store the undecoded request target in the scope."""
            super().on_url(url)
            self.scope[TARGET_SCOPE_KEY] = self.url  # type: ignore[literal-required]

        def on_header(self, name: bytes, value: bytes) -> None:
            """Add a header, but no trailer: it would grow the headers of a request without end."""
            if self._in_head:
                self._request_bytes += HEADER_BYTES + len(name) + len(value)
                super().on_header(name, value)

        def on_body(self, body: bytes) -> None:
            """Reset the count of bytes that belong to no body."""
            self._framing_bytes = 0
            if not self.cycle.response_complete:
                self._request_bytes += len(body)
            super().on_body(body)

        def on_headers_complete(self) -> None:
            """Cancel the head timeout and reset the size count."""
            self._in_head = False
            self._framing_bytes = 0
            self._head_bytes = 0
            self._cancel_head_timer()
            if self.parser.should_upgrade():
                self._offers_upgrade = True
                return
            super().on_headers_complete()  # raises for a target without a path
            self._in_body = True

        def on_message_complete(self) -> None:
            """Read on once a body is whole, however long, so that a close is noticed."""
            if not self._offers_upgrade:
                self._in_body = False
                self._framing_bytes = 0
                self._queued_bytes = self._request_bytes if self.pipeline else 0
                self._request_bytes = 0
                super().on_message_complete()
                self._input.update()

        def on_response_complete(self) -> None:
            """Start the next request, or close the connection if the one behind it was refused."""
            if self._has_refused and not self.pipeline:
                self.transport.close()
            super().on_response_complete()
            if self._head_timer is not None:  # the head of the next request has begun
                self._unset_keepalive_if_required()
            elif self.timeout_keep_alive_task is not None and not self._has_requests():
                shared_limits.mark_idle(self)
            self._queued_bytes = 0
            if self._in_body and self.cycle.response_complete:
                self._request_bytes = 0  # the rest of the body is discarded
            self._update_held()
            self._parse_soon()
            self._close_if_done()

        def pause_writing(self) -> None:
            """Stop to parse and read requests whose responses the caller would not read."""
            super().pause_writing()
            self._input.update()
            self.loop.call_soon(self._update_held)  # closes no connection inside its own write

        def resume_writing(self) -> None:
            """Parse and read on."""
            super().resume_writing()
            self._input.update()
            self._update_held()
            self._parse_soon()

        def send_400_response(self, msg: str) -> None:
            """Refuse a request that is not valid HTTP."""
            self._refuse(RefusalReason.INVALID, BAD_REQUEST, msg)

        def timeout_keep_alive_handler(self) -> None:
            """Close an idle connection, unless a request has arrived on it.

            After a stall of the process, the event loop runs its timers before it reads. What
            follows a response inside a body is the rest of that body, which may have no end.
            """
            has_arrived = self._has_requests() or self._input.has_unread_bytes()
            if has_arrived and not self._in_body:
                self.timeout_keep_alive_task = self.loop.call_later(
                    UNREAD_GRACE_SECONDS, self.timeout_keep_alive_handler
                )
                return
            super().timeout_keep_alive_handler()

        def _takes_input(self) -> bool:
            return not self._has_refused and not self.transport.is_closing()

        def _has_requests(self) -> bool:
            return bool(self.pipeline) or bool(self._unparsed)

        def _may_parse(self) -> bool:
            """Return whether no request waits and the caller reads its responses."""
            return not self.pipeline and not self.flow.write_paused

        def _reads_on(self) -> bool:
            if self.flow.write_paused and self._has_requests():
                return False
            cycle = self.cycle
            takes_body = cycle is not None and cycle.more_body and not cycle.response_complete
            return may_read(len(self._unparsed), len(cycle.body) if takes_body else 0)

        def _client_name(self) -> str:
            return self.client[0] if self.client else ""

        def _update_held(self) -> None:
            """Tell the limits what this connection holds."""
            if self._has_refused or self.transport.is_closing():
                return
            unread = self.transport.get_write_buffer_size() if self.flow.write_paused else 0
            unparsed = len(self._unparsed)
            cycle = self.cycle
            is_behind = cycle is not None and not (cycle.response_complete or cycle.more_body)
            unread_ahead = unread if self._has_requests() else 0
            ahead = self._queued_bytes + unread_ahead + (unparsed if is_behind else 0)
            # The parser keeps a target, header or trailer until it is whole.
            head = self._head_bytes + self._framing_bytes
            waiting = unparsed + unread + head + self._request_bytes + self._queued_bytes
            shared_limits.update(self, Held(waiting, ahead, unread_ahead))

        def _parse_soon(self) -> None:
            """Parse in the next turn, once however often it is asked for."""
            if self._unparsed and not self._parses_soon:
                self._parses_soon = True
                self.loop.call_soon(self._parse_now)

        def _parse_now(self) -> None:
            self._parses_soon = False
            self._parse()

        def _parse(self) -> None:
            """Parse until a request waits for another one, or the turn is over."""
            if self.parser is None:  # the connection is lost
                return
            left = TURN_BYTES
            while self._unparsed and self._may_parse() and left > 0:
                piece = self._unparsed.take()
                left -= len(piece) + PIECE_COST_BYTES
                self._parse_piece(piece)
                if not self._takes_input():
                    self._unparsed.clear()
                    return
            if self._may_parse():
                self._parse_soon()
            self._close_if_done()
            self._input.update()
            self._update_held()

        def _close_if_done(self) -> None:
            """Close a connection that is being shut down, unless requests are unanswered."""
            is_idle = self.cycle is None or self.cycle.response_complete
            if not self._is_ending or not is_idle or self._has_requests():
                return
            if self._input.has_unread_bytes():
                self.loop.call_later(UNREAD_GRACE_SECONDS, self._close_if_done)
            else:
                self.transport.close()

        def _feed(self, data: bytes) -> None:
            """Give received bytes to the parser."""
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as offer:
                self._ignore_upgrade(data[offer.args[0] :])
            except httptools.HttpParserError:
                self.send_400_response("Invalid HTTP request received.")

        def _ignore_upgrade(self, rest: bytes) -> None:
            """Parse the head of a request once more, without its offer to change the protocol.

            The parser takes a request with such an offer to have no body.
            """
            self._offers_upgrade = False
            if self.parser.get_method() == b"CONNECT":
                self._refuse(RefusalReason.INVALID, BAD_REQUEST, "CONNECT is not supported")
                return
            head = head_without_upgrade(
                self.parser.get_method(), self.url, self.parser.get_http_version(), self.headers
            )
            self.parser = httptools.HttpRequestParser(self)
            self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
            self._feed(head + rest)

        def _parse_piece(self, piece: bytes) -> None:
            """Parse a piece, and refuse a head that is too long."""
            if self._in_head:
                self._head_bytes += len(piece)
            else:
                self._framing_bytes += len(piece)
            self._feed(piece)
            if self._in_head and self._head_bytes > self.max_head_bytes():
                self._refuse(
                    RefusalReason.LONG_HEAD,
                    TOO_LARGE,
                    f"request head is longer than {self.max_head_bytes()} bytes",
                )
            elif not self._in_head and self._framing_bytes > self.max_head_bytes():
                self._refuse(
                    RefusalReason.FRAMING,
                    TOO_LARGE,
                    f"over {self.max_head_bytes()} bytes belong to no head and no body",
                )

        def _expect_head(self) -> None:
            self._in_head = True
            if self._head_timer is None:
                self._head_is_overdue = False
                self._head_timer = self.loop.call_later(self.head_seconds(), self._on_head_timeout)

        def _cancel_head_timer(self) -> None:
            if self._head_timer is not None:
                self._head_timer.cancel()
                self._head_timer = None

        def _on_head_timeout(self) -> None:
            """Refuse a late head, once what has arrived of it has been read."""
            self._head_timer = None
            if self._input.has_unread_bytes() and not self._head_is_overdue:
                self._head_is_overdue = True
                self._head_timer = self.loop.call_later(UNREAD_GRACE_SECONDS, self._on_head_timeout)
                return
            self._refuse(
                RefusalReason.LATE_HEAD,
                CALL_TIMEOUT,
                f"request head did not arrive within {self.head_seconds()} s",
            )

        def _refuse(self, reason: RefusalReason, result: Result, detail: str) -> None:
            """Refuse a request and close the connection.

            Requests before it are answered first, and it then gets no answer. What arrives
            meanwhile is discarded, as a connection that is not read shows no disconnect.
            """
            if self.transport.is_closing():
                return
            shared_limits.record(reason, self._client_name(), detail)
            shared_limits.retire(self)
            if self._in_head and self.headers:
                self.headers.clear()  # a turn of the event loop may refuse hundreds of heads
            if self._in_body and self.cycle.response_complete:
                self.transport.close()  # a second answer would be taken for the next request's
                return
            if self.cycle is None or self.cycle.response_complete:
                self.transport.write(refusal(result, detail))
                self.transport.close()
                return
            is_refused_one = self.cycle.more_body
            if is_refused_one and not self.pipeline:
                self.transport.close()
                return
            if is_refused_one:
                self.pipeline.popleft()
            else:
                self.cycle.keep_alive = False
            self._has_refused = True
            self._cancel_head_timer()

    return CallerProtocol
