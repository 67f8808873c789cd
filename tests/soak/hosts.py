"""Hosts of a soak run: processes of the program that serves on the users' platform."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

from tests.platform.test_decoding import SETTINGS
from tests.soak.records import Records
from tests.support.ports import free_address

ROOT = Path(__file__).parents[2]
GRACE_SECONDS = 8.0  # from SIGTERM to the end of the process
GRACE_SLACK_SECONDS = 1.0
READY_CHECK_SECONDS = 0.25


class Host:
    """One host, whose process is stopped, frozen, killed and started again.

    Parameters
    ----------
    number : int
        From 0; the host has an IP address of its own on loopback.
    folder : Path
        Folder of its settings and log.
    records : Records
        What was seen.
    store, duties : str
        Addresses of the platform's interfaces.
    """

    def __init__(self, number: int, folder: Path, records: Records, store: str, duties: str):
        self.number = number
        self.is_ready = False
        self.log = folder / f"host-{number}.log"
        self.callers = self._address()
        self._readiness = self._address()
        self._records = records
        self._settings = folder / f"host-{number}.conf"
        self._process: asyncio.subprocess.Process | None = None
        self._is_ending = False
        peer_ports = [self._address().rpartition(":")[2] for _ in range(2)]
        fields = {
            **SETTINGS,
            "node": f"front-{number}",
            "zone": "ab"[number % 2],
            "ip": self._ip,
            "listen.front": self.callers,
            "listen.ready": self._readiness,
            "port_range": ",".join(peer_ports),
            "platform.address": store,
            "cloud.address": duties,
            "bounds.report_window_s": "2",
            "bounds.usage_late_s": "3",
        }
        self._settings.write_text("".join(f"{key}={value}\n" for key, value in fields.items()))

    @property
    def _ip(self) -> str:
        return f"127.0.0.{self.number + 1}"

    def _address(self) -> str:
        return f"{self._ip}:{free_address().rpartition(':')[2]}"

    @property
    def is_running(self) -> bool:
        """Whether the process runs and was not told to end."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process."""
        environment = {**os.environ, "SAMPHIREHALL_BOOT": str(self._settings)}
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "samphirehall.programs.start_node",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._is_ending = False

    async def watch(self) -> None:
        """Ask periodically whether the host is ready, and record a process that ends by itself."""
        while True:
            self.is_ready = self.is_running and await self._asks_ready()
            if not self.is_running and not self._is_ending and self._process is not None:
                self._is_ending = True
                status = self._process.returncode
                self._records.ended_hosts.append(
                    f"host {self.number} ended by itself with {status}: "
                    f"{self.log.read_text()[-1000:]}"
                )
            await asyncio.sleep(READY_CHECK_SECONDS)

    async def _asks_ready(self) -> bool:
        ip, _, port = self._readiness.rpartition(":")
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def hang_up(self) -> None:
        """Tell the process that its settings have changed."""
        if self.is_running:
            self._process.send_signal(signal.SIGHUP)

    async def stop(self) -> None:
        """Stop the process as planned, again if it is stopping already, and start it."""
        if not self.is_running:
            return
        process, was_ending, began_at = self._process, self._is_ending, time.monotonic()
        had_started = self.is_ready
        self._is_ending = True
        process.send_signal(signal.SIGTERM)
        if was_ending:
            return
        try:
            async with asyncio.timeout(GRACE_SECONDS + GRACE_SLACK_SECONDS):
                status = await process.wait()
        except TimeoutError:
            process.kill()
            status = await process.wait()
        # A process that has not begun to serve yet may end by the signal itself.
        if status and had_started and not self._was_disrupted_since(began_at):
            self._records.ended_hosts.append(f"host {self.number} stopped with {status}")
        await self.start()

    def _was_disrupted_since(self, time_of_stop: float) -> bool:
        return any(
            host == self.number and end > time_of_stop for host, _, end in self._records.disrupted
        )

    async def kill(self, seconds: float) -> None:
        """Kill the process, and start it again after a while unless a stop does."""
        if not self.is_running:
            return
        was_ending, self._is_ending = self._is_ending, True
        began_at = time.monotonic()
        self._records.disrupted.append((self.number, began_at, began_at + seconds))
        self._process.kill()
        if not was_ending:
            await self._process.wait()
            await asyncio.sleep(seconds)
            await self.start()

    async def freeze(self, seconds: float) -> None:
        """Let the process stand still for a while."""
        process = self._process
        if not self.is_running:
            return
        began_at = time.monotonic()
        self._records.disrupted.append((self.number, began_at, began_at + seconds))
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)

    async def end(self) -> None:
        """End the process for good."""
        self._is_ending = True
        if self.is_running:
            self._process.kill()
            await self._process.wait()
