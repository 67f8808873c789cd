"""Late, malformed and too long request heads on a loopback socket."""

import os
import time
from types import SimpleNamespace

import anyio
import pytest

from samphirehall.core.clock import boot_seconds
from samphirehall.core.network import raw_socket
from samphirehall.core.serving import serving
from samphirehall.forwarding.answers import send_response
from samphirehall.forwarding.app import EntryApp
from samphirehall.forwarding.caller_connection import CONNECTION_SCOPE_KEY
from samphirehall.forwarding.caller_input import HEAD_END, PIECE_COST_BYTES, TURN_BYTES
from samphirehall.forwarding.caller_protocol import MAX_HEAD_BYTES, caller_protocol
from samphirehall.forwarding.connection_limits import ConnectionLimits
from tests.support.ports import free_address

pytestmark = pytest.mark.anyio

HEAD_TIMEOUT_SECONDS = 0.15
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


async def answer_ok(scope, receive, send):
    await send_response(send, 200, [], b"ok")


async def answer_later(scope, receive, send):
    await anyio.sleep(3 * HEAD_TIMEOUT_SECONDS)
    await send_response(send, 200, [], b"ok")


async def exchange(*pieces, pause=0.0, durations=None, app=answer_ok, limits=None):
    """Send pieces with pauses between them and return all bytes received until the close."""
    address = free_address()
    protocol = caller_protocol(head_timeout=HEAD_TIMEOUT_SECONDS, limits=limits)
    host, _, port = address.rpartition(":")
    received = b""
    async with (
        serving(app, address, protocol=protocol),
        await anyio.connect_tcp(host, int(port)) as stream,
    ):
        began = boot_seconds()
        for piece in pieces:
            await stream.send(piece)
            await anyio.sleep(pause)
        with anyio.fail_after(2), pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            while True:
                received += await stream.receive()
        if durations is not None:
            durations.append(boot_seconds() - began)
    return received


class TestHead:
    @pytest.mark.parametrize("pieces", [(), (b"GET / HT",), (REQUEST, b"GET")], ids=len)
    async def test_late_head_is_refused_and_closed(self, pieces):
        answer = await exchange(*pieces, pause=0.01)
        assert b"408 " in answer and b"samphire-result: 2016" in answer
        assert answer.count(b"200 OK") == pieces.count(REQUEST)

    async def test_timeout_is_not_extended_by_a_trickling_head(self):
        pieces = [b"GET / HTTP/1.1\r\n", b"X-A: b\r\n", b"X-A: b\r\n"]
        pause = HEAD_TIMEOUT_SECONDS / 4
        durations = []
        answer = await exchange(*pieces, pause=pause, durations=durations)
        assert b"samphire-result: 2016" in answer
        assert durations[0] < HEAD_TIMEOUT_SECONDS + pause

    async def test_long_head_is_refused(self):
        line = b"X-A: " + b"b" * 1000 + b"\r\n"
        pieces = [b"GET / HTTP/1.1\r\n", *[line] * (MAX_HEAD_BYTES // len(line) + 2)]
        assert b"samphire-result: 2001" in await exchange(*pieces)

    async def test_data_that_is_not_http_is_refused_with_a_result_code(self):
        assert b"samphire-result: 2000" in await exchange(b"\x16\x03\x01 not HTTP\r\n\r\n")

    # Guards against a refusal that fails: the connection was closed without an answer, and each
    # such request on a new connection logged a traceback.
    @pytest.mark.parametrize("answered", [0, 1])
    async def test_target_without_a_path_is_refused_with_a_result_code(self, answered):
        target = b"GET http://h HTTP/1.1\r\nHost: h\r\n\r\n"
        answer = await exchange(*[REQUEST] * answered, target, pause=0.03)
        assert b"samphire-result: 2000" in answer and answer.count(b"200 OK") == answered

    async def test_pipelined_requests_are_all_answered(self):
        last = REQUEST[:-2] + b"Connection: close\r\n\r\n"
        assert (await exchange(REQUEST * 20 + last)).count(b"200 OK") == 21


OFFERS = {
    "h2c": b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n",
    "websocket": b"Connection: keep-alive, Upgrade\r\nUpgrade: websocket\r\n",
    "twice": b"Connection: Upgrade\r\nUpgrade: a\r\nUpgrade: b\r\n",
}
BODIES = {
    "length": (b"Content-Length: %d\r\n" % len(REQUEST), REQUEST),
    "chunks": (
        b"Transfer-Encoding: chunked\r\n",
        b"%x\r\n%b\r\n0\r\n\r\n" % (len(REQUEST), REQUEST),
    ),
}


class TestStall:
    # Guards against LOST: uvloop runs due timers before it reads what arrived during a stall.
    @pytest.mark.parametrize("anyio_backend", [("asyncio", {"use_uvloop": True})])
    async def test_head_that_has_arrived_is_not_late(self, anyio_backend):
        address = free_address()
        host, _, port = address.rpartition(":")
        protocol = caller_protocol(head_timeout=HEAD_TIMEOUT_SECONDS)
        async with (
            serving(answer_ok, address, protocol=protocol),
            await anyio.connect_tcp(host, int(port)) as stream,
        ):
            await stream.send(REQUEST[:10])
            await anyio.sleep(HEAD_TIMEOUT_SECONDS / 5)
            os.write(raw_socket(stream).fileno(), REQUEST[10:])
            time.sleep(1.5 * HEAD_TIMEOUT_SECONDS)
            with anyio.fail_after(2):
                assert b"200 OK" in await stream.receive()


class TestStop:
    # Guards against LOST: a request that is dropped with the answer before it.
    async def test_request_behind_another_is_answered(self):
        app = EntryApp(SimpleNamespace(stopping=True))
        request = b"GET /healthz/live HTTP/1.1\r\nHost: h\r\n\r\n"
        answer = await exchange(request * 3, app=app)
        assert answer.count(b"200 OK") == 3 and answer.count(b"connection: close") == 1


class TestUpgrade:
    # Guards against UNASKED: a body that is run as a request, as its head offers another protocol.
    @pytest.mark.parametrize("is_split", [False, True])
    @pytest.mark.parametrize("framing", BODIES)
    @pytest.mark.parametrize("offer", OFFERS)
    async def test_offer_is_ignored_and_the_body_is_whole(self, offer, framing, is_split):
        bodies = []

        async def record(scope, receive, send):
            body = b""
            while True:
                message = await receive()
                body += message["body"]
                if not message["more_body"]:
                    break
            bodies.append((scope["method"], scope["path"], body))
            await send_response(send, 200, [], b"ok")

        header, body = BODIES[framing]
        head = b"POST /a HTTP/1.1\r\nHost: h\r\n" + OFFERS[offer] + header + b"\r\n"
        last = b"GET /b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        pieces = [head, body, last] if is_split else [head + body + last]
        answer = await exchange(*pieces, pause=0.02, app=record)
        assert bodies == [("POST", "/a", REQUEST), ("GET", "/b", b"")]
        assert answer.count(b"200 OK") == 2

    async def test_connect_is_refused(self):
        answer = await exchange(b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\n")
        assert b"samphire-result: 2000" in answer and b"200 OK" not in answer


CHUNKED = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "trailers": (b"1\r\nx\r\n0\r\n", b"a:b\r\n"),
    "trailer name": (b"1\r\nx\r\n0\r\n", b"a"),
    "chunk extension": (b"1;", b"a"),
    "chunk size": (b"", b"0"),
}


class TestFraming:
    # Guards against memory that grows, and connections that stay, by bytes that are no body.
    @pytest.mark.parametrize("kind", ENDLESS)
    async def test_endless_framing_closes_the_connection(self, kind):
        begin, more = ENDLESS[kind]
        headers = []

        async def wait_for_body(scope, receive, send):
            headers.append(scope["headers"])
            while (await receive())["type"] != "http.disconnect":
                pass

        await exchange(CHUNKED + begin, more * (2 * MAX_HEAD_BYTES), app=wait_for_body)
        assert len(headers) == 1 and len(headers[0]) == 2

    @pytest.mark.parametrize("app", [answer_ok, answer_later])
    async def test_short_trailers_are_dropped_and_the_connection_stays(self, app):
        last = REQUEST[:-2] + b"Connection: close\r\n\r\n"
        body = b"1;a=b\r\nx\r\n" * 10_000 + b"0\r\nHost: other\r\n\r\n"
        assert (await exchange(CHUNKED + body + last, app=app)).count(b"200 OK") == 2

    async def test_endless_trailers_behind_an_answer_add_no_second_answer(self):
        trailers = b"1\r\nx\r\n0\r\n" + b"a:b\r\n" * MAX_HEAD_BYTES
        answer = await exchange(CHUNKED, trailers, pause=0.02)
        assert answer.count(b"HTTP/1.1") == 1

    async def test_empty_lines_without_end_close_the_connection(self):
        answer = await exchange(REQUEST, b"\r\n" * MAX_HEAD_BYTES, pause=0.02)
        assert answer.count(b"200 OK") == 1


class TestUnreadAnswers:
    # Guards against a process that ends because clients send ahead and read nothing.
    async def test_requests_wait_unparsed_until_their_answers_are_read(self):
        started, connections = 0, []

        async def answer_long(scope, receive, send):
            nonlocal started
            started += 1
            await send_response(send, 200, [], b"x" * 2**20)

        address = free_address()
        host, _, port = address.rpartition(":")
        last = REQUEST[:-2] + b"Connection: close\r\n\r\n"
        received = 0

        class Protocol(caller_protocol(head_timeout=HEAD_TIMEOUT_SECONDS)):
            def connection_made(self, transport):
                super().connection_made(transport)
                connections.append(self)

        async with (
            serving(answer_long, address, protocol=Protocol),
            await anyio.connect_tcp(host, int(port)) as stream,
        ):
            await stream.send(REQUEST * 60 + last)
            await anyio.sleep(0.2)
            assert started < 20 and len(connections[0].pipeline) <= 1
            with anyio.fail_after(5), pytest.raises(anyio.EndOfStream):
                while True:
                    received += len(await stream.receive())
        assert started == 61 and received > 61 * 2**20


class TestTurns:
    # Guards against a client that stops the event loop: each read added one more parse to every
    # later turn, so a long body of short pieces took them all.
    async def test_long_input_takes_a_bounded_part_of_each_turn(self):
        parsed = most = 0

        async def read_body(scope, receive, send):
            while (await receive()).get("more_body"):
                pass
            await send_response(send, 200, [(b"connection", b"close")], b"ok")

        class Protocol(caller_protocol(head_timeout=HEAD_TIMEOUT_SECONDS)):
            def _parse_piece(self, piece):
                nonlocal parsed
                parsed += 1
                super()._parse_piece(piece)

        address = free_address()
        host, _, port = address.rpartition(":")
        body = HEAD_END * 2**19
        async with (
            serving(read_body, address, protocol=Protocol),
            await anyio.connect_tcp(host, int(port)) as stream,
            anyio.create_task_group() as group,
        ):
            head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(body)
            group.start_soon(stream.send, head + body)
            answers = []
            group.start_soon(lambda: receive_into(stream, answers))
            with anyio.fail_after(10):
                while not answers:
                    await anyio.sleep(0)
                    most, parsed = max(most, parsed), 0
        assert b"200 OK" in answers[0]
        assert most <= 2 * TURN_BYTES / PIECE_COST_BYTES


async def receive_into(stream, answers):
    answers.append(await stream.receive())


class TestReset:
    # Guards against memory that 700 connects and resets a second took for 75 s each.
    async def test_reset_connection_leaves_no_timer(self):
        connections = []

        class Protocol(caller_protocol(head_timeout=HEAD_TIMEOUT_SECONDS)):
            def connection_made(self, transport):
                super().connection_made(transport)
                connections.append(self)

        address = free_address()
        host, _, port = address.rpartition(":")
        async with serving(answer_ok, address, protocol=Protocol):
            stream = await anyio.connect_tcp(host, int(port))
            await stream.send(REQUEST)
            await stream.receive()
            assert connections[0].timeout_keep_alive_task is not None
            connections[0].connection_lost(ConnectionResetError())
            assert connections[0].timeout_keep_alive_task is None
            await stream.aclose()


class TestLimits:
    async def test_running_request_is_answered_before_its_connection_is_closed(self):
        refused = []
        limits = ConnectionLimits(9, lambda: 10_000, refused.append)
        answer = await exchange(REQUEST * 1000, app=answer_later, limits=limits)
        assert answer.count(b"200 OK") in (1, 2) and answer.endswith(b"ok")
        assert refused == ["memory"] and (limits.connections, limits.buffered_bytes) == (0, 0)

    async def test_body_that_has_not_arrived_makes_room(self):
        refused = []
        limits = ConnectionLimits(9, lambda: 10_000, refused.append)

        async def read_body(scope, receive, send):
            while (await receive())["type"] != "http.disconnect":
                pass

        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999\r\n\r\n"
        answer = await exchange(head + b"x" * 20_000, app=read_body, limits=limits)
        assert answer == b"" and refused == ["memory"]

    # Guards against memory that nothing counts: a value of a header is kept while it arrives.
    @pytest.mark.parametrize(
        "head",
        [b"GET / HTTP/1.1\r\nX-A: ", b"GET /", CHUNKED + b"1\r\nx\r\n0\r\nX-A: "],
        ids=["header", "target", "trailer"],
    )
    async def test_unfinished_field_counts(self, head):
        async def read_body(scope, receive, send):
            while (await receive())["type"] != "http.disconnect":
                pass

        refused = []
        limits = ConnectionLimits(9, lambda: 35_000, refused.append)
        await exchange(head, b"b" * 40_000, app=read_body, limits=limits, pause=0.01)
        assert refused == ["memory"]

    # Guards against ordinary clients that pay for bytes that are no longer kept.
    async def test_body_whose_response_is_complete_counts_no_longer(self):
        class Recorded(ConnectionLimits):
            def update(self, connection, held):
                super().update(connection, held)
                held_bytes.append(held.waiting)

        held_bytes, counts = [], []

        async def refuse_early(scope, receive, send):
            if scope["method"] == "POST":
                await receive()
                await receive()
            await send_response(send, 413, [], b"long")
            counts.append(len(held_bytes))

        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n"
        last = REQUEST[:-2] + b"Connection: close\r\n\r\n"
        pieces = [head + b"x" * 20_000, b"x" * 20_000, b"x" * 10_000, b"x" * 10_000 + last]
        limits = Recorded(9, lambda: 10**9)
        answer = await exchange(*pieces, app=refuse_early, limits=limits, pause=0.03)
        assert answer.count(b" 413 ") == 2
        before, after = held_bytes[: counts[0]], held_bytes[counts[0] :]
        assert max(before) >= 20_000 and max(after) < 10_000

    # Guards against ordinary clients that pay for others: a body is not sent ahead.
    async def test_arriving_body_does_not_count_as_sent_ahead(self):
        class Recorded(ConnectionLimits):
            def update(self, connection, held):
                held_bytes.append((held.waiting, held.ahead))

        held_bytes = []

        async def read_body(scope, receive, send):
            while (await receive()).get("more_body"):
                pass
            await send_response(send, 200, [(b"connection", b"close")], b"ok")

        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"
        limits = Recorded(9, lambda: 10_000)
        assert b"200 OK" in await exchange(head + b"x" * 200_000, app=read_body, limits=limits)
        assert max(held_bytes)[0] > 100_000 and not any(ahead for _, ahead in held_bytes)

    async def test_unread_responses_make_room(self):
        async def answer_long(scope, receive, send):
            await send_response(send, 200, [], b"x" * 2**24)

        refused = []
        limits = ConnectionLimits(9, lambda: 2**20, refused.append)
        answer = await exchange(REQUEST, app=answer_long, limits=limits, pause=0.2)
        assert len(answer) < 2**24 and refused == ["memory"]

    # Guards against a crowd that asks once and stays, so that a host is taken for not ready.
    @pytest.mark.parametrize("closes_idle", [True, False])
    async def test_idle_connection_makes_room_where_the_port_is_not_for_clients(self, closes_idle):
        limits = ConnectionLimits(1, lambda: 10_000, closes_idle=closes_idle)
        address = free_address()
        host, _, port = address.rpartition(":")
        protocol = caller_protocol(head_timeout=HEAD_TIMEOUT_SECONDS, limits=limits)
        async with (
            serving(answer_ok, address, protocol=protocol),
            await anyio.connect_tcp(host, int(port)) as first,
        ):
            await first.send(REQUEST)
            assert b"200 OK" in await first.receive()
            async with await anyio.connect_tcp(host, int(port)) as second:
                await second.send(REQUEST)
                with anyio.fail_after(2):
                    assert (b"200 OK" if closes_idle else b" 503 ") in await second.receive()

    async def test_connection_beyond_the_limit_is_refused_as_not_run(self):
        limits = ConnectionLimits(0, lambda: 10_000)
        answer = await exchange(limits=limits)
        assert b" 503 " in answer and b"samphire-run: not-run" in answer


class TestRefusalBehindARunningAnswer:
    @pytest.mark.parametrize(
        "refused",
        [
            b"GET / HT",
            b"GET / HTTP/1.1\r\nX-A: " + b"b" * (MAX_HEAD_BYTES + 1),
            b"\x16\x03\x01 not HTTP\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nnot a chunk",
        ],
        ids=["late", "long", "invalid", "invalid-body"],
    )
    @pytest.mark.parametrize("count", [1, 2])
    async def test_refused_request_cuts_no_answer_before_it(self, refused, count):
        answer = await exchange(REQUEST * count, refused, pause=0.05, app=answer_later)
        assert answer.count(b"200 OK") == count and answer.endswith(b"ok")

    async def test_client_that_leaves_after_a_refused_request_is_noticed(self):
        cancelled = anyio.Event()

        async def wait(scope, receive, send):
            with scope[CONNECTION_SCOPE_KEY].notify_on_close(cancelled.set):
                await cancelled.wait()

        address = free_address()
        host, _, port = address.rpartition(":")
        protocol = caller_protocol(head_timeout=HEAD_TIMEOUT_SECONDS)
        async with serving(wait, address, protocol=protocol):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(REQUEST + b"GET / HT")
                await anyio.sleep(2 * HEAD_TIMEOUT_SECONDS)
                assert not cancelled.is_set()
            with anyio.fail_after(1):
                await cancelled.wait()
