"""``samphire-node`` as a process under clients that nobody controls.

Guards against a process that ends or outgrows the memory of its host because of what clients
send and leave unread. Run these tests apart from other load.
"""

import contextlib
import os
import re
import sys
from contextlib import asynccontextmanager
from itertools import chain, repeat
from pathlib import Path
from socket import SO_RCVBUF, SOL_SOCKET

import anyio
import pytest

from samphirehall.core.network import raw_socket
from tests.programs.test_node import ROOT, System, running_system, served

pytestmark = pytest.mark.anyio

RESIDENT_BYTES = 160 * 2**20  # memory of the smallest hosts
ADDRESS_SPACE_BYTES = 512 * 2**20  # beyond RESIDENT_BYTES, so that a red test harms no machine
DESCRIPTORS = 400
CROWD = 300
SECONDS = 6.0  # for which the crowd sends
ANSWER_SECONDS = 60.0  # in which an ordinary request is answered afterwards
ROUND_BYTES = 32 * 1024
RECEIVE_BUFFER_BYTES = 4096  # of a client that reads nothing
LAUNCH = f"""
import resource, runpy
resource.setrlimit(resource.RLIMIT_AS, ({ADDRESS_SPACE_BYTES}, {ADDRESS_SPACE_BYTES}))
resource.setrlimit(resource.RLIMIT_NOFILE, ({DESCRIPTORS}, {DESCRIPTORS}))
runpy.run_module("samphirehall.programs.start_node", run_name="__main__")
"""

CHUNKED = b"POST /read/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
TRAILERS = b"a:b\r\n" * (ROUND_BYTES // 5)
REQUEST = b"GET / HTTP/1.1\r\n\r\n"
READINESS_REQUEST = b"GET /ready HTTP/1.1\r\n\r\n"


class LimitedSystem(System):
    """System whose process has limits of its own."""

    async def spawn(self):
        environment = {**os.environ, "SAMPHIREHALL_BOOT": str(self.settings)}
        self.process = await anyio.open_process(
            [sys.executable, "-c", LAUNCH],
            cwd=ROOT,
            env=environment,
            stdout=self.log.open("wb"),
            stderr=self.log.with_suffix(".err").open("wb"),
        )

    def peak_resident_bytes(self):
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024

    def descriptor_count(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


async def send_endlessly(address, pieces):
    """Send pieces without reading, over and over on new connections."""
    host, _, port = address.rpartition(":")
    while True:
        with contextlib.suppress(OSError, anyio.BrokenResourceError):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                raw_socket(stream).setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                for piece in pieces():
                    await stream.send(piece)
                    if not piece:  # an unfinished request
                        await anyio.sleep(SECONDS)
        await anyio.sleep(0.05)


@asynccontextmanager
async def crowd(address, pieces):
    async with anyio.create_task_group() as group:
        for _ in range(CROWD):
            group.start_soon(send_endlessly, address, pieces)
        yield
        group.cancel_scope.cancel()


async def check_survives(tmp_path, address_of, pieces):
    async with running_system(tmp_path, LimitedSystem) as system:
        await system.wait_until(lambda: served(system), "served")
        before = peak = system.peak_resident_bytes()
        most_descriptors = 0
        async with crowd(address_of(system), pieces):
            with anyio.move_on_after(SECONDS):
                while system.process.returncode is None:
                    with contextlib.suppress(OSError, TypeError):  # the process has just ended
                        peak = system.peak_resident_bytes()
                        most_descriptors = max(most_descriptors, system.descriptor_count())
                    await anyio.sleep(0.1)
        figures = (
            f"status {system.process.returncode}, {before >> 20} MB before, "
            f"{peak >> 20} MB at most, {most_descriptors} descriptors at most"
        )
        print(figures)
        assert system.process.returncode is None, figures
        await system.wait_until(lambda: served(system), f"served; {figures}", ANSWER_SECONDS)
        assert peak <= RESIDENT_BYTES and most_descriptors < DESCRIPTORS, figures


async def test_trailers_without_end(tmp_path):
    await check_survives(
        tmp_path, lambda system: system.clients, lambda: chain([CHUNKED], repeat(TRAILERS))
    )


async def test_requests_without_end_whose_answers_nobody_reads(tmp_path):
    burst = REQUEST * (ROUND_BYTES // len(REQUEST))
    await check_survives(tmp_path, lambda system: system.clients, lambda: repeat(burst))


async def test_readiness_requests_without_end_whose_answers_nobody_reads(tmp_path):
    burst = READINESS_REQUEST * (ROUND_BYTES // len(READINESS_REQUEST))
    await check_survives(tmp_path, lambda system: system.readiness, lambda: repeat(burst))


HALF_HEAD = b"GET /read/x HTTP/1.1\r\n" + b"a:\r\n" * 4000
HALF_BODY = b"POST /read/x HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999\r\n\r\n"


async def test_heads_of_many_headers_that_never_end(tmp_path):
    await check_survives(
        tmp_path, lambda system: system.clients, lambda: chain([HALF_HEAD], repeat(b""))
    )


async def test_bodies_that_never_end(tmp_path):
    body = b"x" * ROUND_BYTES
    await check_survives(
        tmp_path,
        lambda system: system.clients,
        lambda: chain([HALF_BODY], repeat(body, 300), repeat(b"")),
    )
