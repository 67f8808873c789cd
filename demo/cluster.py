"""A small cluster of stand-ins and programs on the loopback interface, for the demo and tests."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from demo.ports import free_ports

MESH_KEY = "demonstration-mesh-key"
START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 10.0
POLL_INTERVAL_SECONDS = 0.05
BIN = Path(sys.executable).parent


@dataclass(slots=True)
class Program:
    """One process of the cluster and where it writes its log."""

    name: str
    arguments: list[str]
    log: Path
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(self.arguments, stdout=log, stderr=log)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def stop(self) -> int | None:
        """Stop the process gracefully and return its exit status."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        return self.wait(STOP_TIMEOUT_SECONDS)

    def kill(self) -> None:
        """Kill the process at once."""
        self.signal(signal.SIGKILL)
        self.wait(STOP_TIMEOUT_SECONDS)

    def wait(self, seconds: float) -> int | None:
        """Return the exit status of the process, or None if it was killed after `seconds`."""
        if self.process is None:
            return None
        try:
            return self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            return None


@dataclass(slots=True)
class Endpoint:
    """One stand-in endpoint of the cluster."""

    name: str
    protocol: str
    zone: str
    models: list[str]
    address: str = ""
    checks_fencing: bool = True
    kind: str = "standard"
    role: str = "mixed"
    state: str = "ready"
    software_version: str = ""
    options: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Host:
    """One host of the cluster: addresses of its entry and control process."""

    name: str
    zone: str
    entry: str = ""
    link: str = ""
    operator: str = ""
    mesh: str = ""


class Cluster:
    """Starts and stops stand-ins, entries and control processes whose files are in one folder.

    Parameters
    ----------
    folder : Path
        Where settings and logs are written.
    hosts, endpoints : list
        What to start; addresses are set to free ports. Endpoints in
        `listed_only` are listed by the platform, but not started.
    """

    def __init__(self, folder: Path, hosts: list[Host], endpoints: list[Endpoint]) -> None:
        self.folder = folder
        self.hosts = hosts
        self.endpoints = endpoints
        self.listed_only: list[Endpoint] = []
        self.platform_options: list[str] = []
        self.programs: dict[str, Program] = {}
        self.extra_settings: dict[str, str] = {"entry": "", "control": ""}
        ports = iter(free_ports(1 + 4 * len(hosts) + len(endpoints)))
        self.platform = f"127.0.0.1:{next(ports)}"
        for endpoint in endpoints:
            endpoint.address = endpoint.address or f"127.0.0.1:{next(ports)}"
        for host in hosts:
            host.entry, host.link, host.operator, host.mesh = (
                f"127.0.0.1:{next(ports)}" for _ in range(4)
            )

    def start(self) -> None:
        """Start all processes and wait until each one listens."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._write_settings()
        self._add_standins()
        for host in self.hosts:
            for kind in ("control", "entry"):
                settings = self.folder / f"{host.name}-{kind}.toml"
                self._add(f"{host.name}-{kind}", f"samphire-{kind}", f"--settings={settings}")
        for program in self.programs.values():
            program.start()
        addresses = [self.platform, *[endpoint.address for endpoint in self.endpoints]]
        for host in self.hosts:
            addresses += [host.entry, host.link, host.operator]
        for address in addresses:
            wait_listening(address)

    def stop(self) -> dict[str, int | None]:
        """Stop all processes gracefully, entries first; return exit statuses by name."""
        order = sorted(
            self.programs.values(), key=lambda program: not program.name.endswith("-entry")
        )
        return {program.name: program.stop() for program in order}

    def kill_all(self) -> None:
        """Kill all processes that still run."""
        for program in self.programs.values():
            program.kill()

    def advertised_address(self, name: str, address: str) -> str:
        """Return the address that other processes use for `name`; tests override it with relays."""
        return address

    def ctl(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run ``samphirectl`` against all control processes."""
        return run_ctl(",".join(host.operator for host in self.hosts), arguments)

    def ctl_on_host(self, host: Host, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run ``samphirectl`` against the control process of one host."""
        return run_ctl(host.operator, arguments)

    def _add(self, name: str, binary: str, *arguments: str) -> None:
        log = self.folder / f"{name}.log"
        self.programs[name] = Program(name, [str(BIN / binary), *arguments], log)

    def _add_standins(self) -> None:
        self._add(
            "platform",
            "samphire-standin",
            "platform",
            f"--listen={self.platform}",
            f"--topology={self.folder / 'topology.toml'}",
            f"--journal={self.folder / 'platform.journal'}",
            *self.platform_options,
        )
        for endpoint in self.endpoints:
            arguments = [endpoint.protocol, f"--listen={endpoint.address}"]
            arguments.append(f"--name={endpoint.name}")
            if endpoint.protocol == "engine":
                arguments.append(f"--models={','.join(endpoint.models)}")
                arguments.append(f"--checks_fencing={endpoint.checks_fencing}")
                arguments.append(f"--role={endpoint.role}")
                arguments.append(f"--software_version={endpoint.software_version}")
            self._add(endpoint.name, "samphire-standin", *arguments, *endpoint.options)

    def _write_settings(self) -> None:
        (self.folder / "topology.toml").write_text(self._topology())
        for host in self.hosts:
            common = f'[host]\nid = "{host.name}"\nzone = "{host.zone}"\n\n'
            entry = f'[entry]\nlisten = "{host.entry}"\ncontrol = "{host.link}"\n'
            control = (
                f'[control]\noperator = "{host.operator}"\nlink = "{host.link}"\n'
                f'mesh = "{host.mesh}"\npoll_seconds = 0.5\n\n[mesh]\nkey = "{MESH_KEY}"\n'
            )
            entry += self.extra_settings["entry"]
            control += self.extra_settings["control"]
            for kind, tables in (("entry", entry), ("control", control)):
                name = f"{host.name}-{kind}"
                address = self.advertised_address(f"platform/{name}", self.platform)
                platform = f'[platform]\naddress = "{address}"\n\n'
                (self.folder / f"{name}.toml").write_text(common + platform + tables)

    def _topology(self) -> str:
        hosts = [
            f'[[hosts]]\nhost_id = "{host.name}"\nzone = "{host.zone}"\n'
            f'mesh_address = "{self.advertised_address(f"mesh/{host.name}", host.mesh)}"\n'
            f'operator_address = "{host.operator}"\n'
            for host in self.hosts
        ]
        endpoints = [
            replace(item, address=self.advertised_address(f"endpoint/{item.name}", item.address))
            for item in [*self.endpoints, *self.listed_only]
        ]
        return "\n".join([*hosts, *map(_endpoint_table, endpoints)])


def run_ctl(addresses: str, arguments: tuple[str, ...]) -> subprocess.CompletedProcess[str]:
    """Run ``samphirectl`` against comma-separated control processes."""
    return subprocess.run(
        [str(BIN / "samphirectl"), f"--control={addresses}", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
    )


def _endpoint_table(endpoint: Endpoint) -> str:
    values = {
        "endpoint_id": endpoint.name,
        "address": endpoint.address,
        "zone": endpoint.zone,
        "protocol": endpoint.protocol,
        "models": endpoint.models,
        "kind": endpoint.kind,
        "role": endpoint.role,
        "state": endpoint.state,
        "checks_fencing": endpoint.checks_fencing,
        "software_version": endpoint.software_version,
    }
    lines = [f"{key} = {json.dumps(value)}" for key, value in values.items()]
    return "\n".join(["[[endpoints]]", *lines, ""])


@dataclass(slots=True)
class Answer:
    """Response to an HTTP call."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return json.loads(self.body)


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    *,
    headers: dict[str, str] | None = None,
    timeout: float = 30.0,
) -> Answer:
    """Make one HTTP call and return its response; error statuses do not raise."""
    content = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{address}{path}", data=content, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return Answer(answer.status, _lowercase_keys(answer.headers), answer.read())
    except urllib.error.HTTPError as error:
        return Answer(error.code, _lowercase_keys(error.headers), error.read())


def _lowercase_keys(headers: Any) -> dict[str, str]:
    return {name.lower(): value for name, value in headers.items()}


def wait_listening(address: str) -> None:
    """Wait until a socket at `address` accepts connections."""
    host, _, port = address.rpartition(":")
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        try:
            socket.create_connection((host, int(port)), timeout=1).close()
            return
        except OSError:
            time.sleep(POLL_INTERVAL_SECONDS)
    raise TimeoutError(f"nothing listens at {address}")


def wait_ready(address: str) -> None:
    """Wait until the entry at `address` reports ready."""
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        if call(address, "GET", "/healthz/ready").status == 200:
            return
        time.sleep(POLL_INTERVAL_SECONDS)
    raise TimeoutError(f"the entry at {address} is not ready")
