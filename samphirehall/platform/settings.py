"""The settings file that the platform writes for each process."""

import os
from dataclasses import dataclass
from pathlib import Path

from samphirehall.settings.loading import SettingsError, SettingsProblem, valid_address

PATH_VARIABLE = "SAMPHIREHALL_BOOT"
DEFAULT_PATH = "/etc/samphirehall/settings.conf"
READINESS_PATH = "/ready"  # where the balancer asks
METRICS_PORT, METRICS_PATH = 9464, "/metrics"  # as deploy/system.toml tells the platform
USAGE_DUTY, SCALING_DUTY = "usage_report", "autoscale"
MILLI = 1e-3


@dataclass(slots=True, frozen=True)
class PlatformSettings:
    """What a process learns from its settings; times in seconds.

    Parameters
    ----------
    host, zone, region : str
        This host.
    listen_clients, listen_readiness : str
        IP number and port for clients, and for the balancer's questions.
    ip : str
        IP number of this host.
    first_peer_port, last_peer_port : int
        Ports that are free for the hosts' own protocol.
    store_address, cloud_address : str
        The store, and the interface of duties.
    duties : tuple of str
        Duties that the deployment asks for.
    drain_time, stop_time : float
        Longest time until a leaving endpoint gets no more work; time from SIGTERM to SIGKILL.
    lease_time : float
        Shortest time in which three changes of a duty's holder are forbidden.
    usage_window, usage_due : float
        Length of a usage window, and how long after its end the report is due.
    repeat_ratio, repeat_slack, repeat_window : float
        Bound of repeats over all hosts: share of requests, fixed part, window.
    row_bytes : int
        Longest value of a row.
    """

    host: str
    zone: str
    region: str
    listen_clients: str
    listen_readiness: str
    ip: str
    first_peer_port: int
    last_peer_port: int
    store_address: str
    cloud_address: str
    duties: tuple[str, ...]
    drain_time: float
    stop_time: float
    lease_time: float
    usage_window: float
    usage_due: float
    repeat_ratio: float
    repeat_slack: float
    repeat_window: float
    row_bytes: int


def settings_path() -> str:
    """Return where the platform has put the settings file."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def load_platform_settings(path: str) -> PlatformSettings:
    """Return the checked settings of a file.

    Raises
    ------
    SettingsError
        Lists every field that is missing or wrong.
    """
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([SettingsProblem(path, "file", path, str(error))]) from error
    return parse_settings(text, file=path)


def parse_settings(text: str, *, file: str) -> PlatformSettings:
    """Return the checked settings of lines of the form ``a.b=value``; unknown ones are left out.

    Raises
    ------
    SettingsError
        Lists every field that is missing or wrong.
    """
    fields = _Fields(text, file)
    ports = fields.text("port_range").split(",")
    settings = PlatformSettings(
        host=fields.text("node"),
        zone=fields.text("zone"),
        region=fields.text("region"),
        listen_clients=fields.address("listen.front"),
        listen_readiness=fields.address("listen.ready"),
        ip=fields.text("ip"),
        first_peer_port=fields.integer("port_range", ports[0]),
        last_peer_port=fields.integer("port_range", ports[-1]),
        store_address=fields.address("platform.address"),
        cloud_address=fields.address("cloud.address"),
        duties=tuple(filter(None, fields.optional("cloud.duties").split(","))),
        drain_time=fields.number("bounds.drain_ms") * MILLI,
        stop_time=fields.number("bounds.grace_s"),
        lease_time=fields.number("bounds.lease_ms") * MILLI,
        usage_window=fields.number("bounds.report_window_s"),
        usage_due=fields.number("bounds.usage_late_s"),
        repeat_ratio=fields.number("bounds.budget_ratio"),
        repeat_slack=fields.number("bounds.retry_slack"),
        repeat_window=fields.number("bounds.budget_window_s"),
        row_bytes=fields.integer("platform.row_bytes"),
    )
    if fields.problems:
        raise SettingsError(fields.problems)
    return settings


class _Fields:
    """Fields of the file, with the problems found in them."""

    def __init__(self, text: str, file: str) -> None:
        self._file = file
        self._values: dict[str, str] = {}
        self.problems: list[SettingsProblem] = []
        for line in text.splitlines():
            name, separator, value = line.partition("=")
            if separator:
                self._values[name.strip()] = value.strip()

    def optional(self, name: str) -> str:
        return self._values.get(name, "")

    def text(self, name: str) -> str:
        value = self._values.get(name, "")
        if not value:
            self._wrong(name, None, "required")
        return value

    def address(self, name: str) -> str:
        value = self.text(name)
        if value and not valid_address(value):
            self._wrong(name, value, "an IP number and a port from 1 to 65535")
        return value

    def number(self, name: str) -> float:
        value = self.text(name)
        try:
            number = float(value or 0)
        except ValueError:
            number = -1.0
        if number < 0:
            self._wrong(name, value, "a number of at least 0")
        return number

    def integer(self, name: str, part: str | None = None) -> int:
        value = self.text(name) if part is None else part
        if not value.isdigit():
            self._wrong(name, value, "a whole number of at least 0")
            return 0
        return int(value)

    def _wrong(self, key: str, value: object, allowed: str) -> None:
        self.problems.append(SettingsProblem(self._file, key, value, allowed))
