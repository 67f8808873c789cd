"""The settings file that the platform writes for each process."""

import os
from dataclasses import dataclass
from pathlib import Path

from samphirehall.core.decoding import MAX_PORT, parse_unsigned, shorten
from samphirehall.settings.loading import SettingsError, SettingsProblem, valid_address

PATH_VARIABLE = "SAMPHIREHALL_BOOT"
HEDGING_VARIABLE = "SAMPHIREHALL_HEDGING_MAX_SHARE"  # overridden by the key of the settings file
DEFAULT_PATH = "/etc/samphirehall/settings.conf"
READINESS_PATH = "/ready"  # polled by the load balancer
METRICS_PORT, METRICS_PATH = 9464, "/metrics"  # must match deploy/system.toml
PRESSURE_CONTRACT = "pressure"  # fair shares by customer while engines do not keep up
USAGE_DUTY, SCALING_DUTY = "usage_report", "autoscale"
SECONDS_PER_MILLISECOND = 1e-3
MAX_NUMBER = 1e12  # of any quantity, in the unit of its field
BYTES_PER_MEGABIT = 125_000.0


@dataclass(slots=True, frozen=True)
class PlatformSettings:
    """Settings of a node process; times in seconds.

    Parameters
    ----------
    host, zone, region : str
        Name and location of this host.
    client_listen_address, readiness_listen_address : str
        IP number and port for clients, and for readiness checks of the load balancer.
    ip : str
        IP number of this host.
    min_peer_port, max_peer_port : int
        Range of ports reserved for the protocol between hosts.
    store_address, duties_address : str
        IP number and port of the platform's store, and of its duties interface.
    duties : tuple of str
        Names of the duties that the deployment requests.
    drain_timeout, stop_timeout : float
        Maximum time until a draining endpoint receives no more requests; time from SIGTERM to
        SIGKILL.
    lease_time : float
        A duty must not change its holder three times within this time.
    usage_window, usage_report_timeout : float
        Length of a usage window, and time after its end until which it has to be reported.
    retry_budget_ratio, retry_budget_slack, retry_budget_window : float
        Retry budget of all hosts together: fraction of the requests, fixed number added to it,
        and length of the window in which both are counted.
    quota_window, quota_overrun, quota_slack : float
        Permitted excess over customers' quotas of all hosts together: in each window of these
        seconds a fraction of the quota, and a number of units added to it.
    max_row_bytes : int
        Maximum size of a row's value.
    link_bytes_per_second : float
        Bandwidth of this host's link; infinite if it is not stated.
    first_start : bool
        Whether the whole system starts for the first time.
    hedging_max_share : float
        Hedged requests of a service over all hosts as a fraction of its requests; 0 for none.
    contracts : frozenset of str
        Names of what the deployment asks for beyond the common.
    max_client_connections, max_client_bytes : int
        Connections of clients that may be open at once, and bytes that they may hold together;
        0 for limits that follow from those of the process.
    """

    host: str
    zone: str
    region: str
    client_listen_address: str
    readiness_listen_address: str
    ip: str
    min_peer_port: int
    max_peer_port: int
    store_address: str
    duties_address: str
    duties: tuple[str, ...]
    drain_timeout: float
    stop_timeout: float
    lease_time: float
    usage_window: float
    usage_report_timeout: float
    retry_budget_ratio: float
    retry_budget_slack: float
    retry_budget_window: float
    quota_window: float
    quota_overrun: float
    quota_slack: float
    max_row_bytes: int
    link_bytes_per_second: float
    first_start: bool
    hedging_max_share: float = 0.0
    contracts: frozenset[str] = frozenset()
    max_client_connections: int = 0
    max_client_bytes: int = 0


def settings_path() -> str:
    """Return the path of the settings file that the platform has written."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def load_platform_settings(path: str) -> PlatformSettings:
    """Read and check a settings file.

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
    """Parse and check lines of the form ``a.b=value``; unknown names are ignored.

    Raises
    ------
    SettingsError
        Lists every field that is missing or wrong.
    """
    fields = _Fields(text, file)
    ports = fields.required("port_range").split(",")
    settings = PlatformSettings(
        host=fields.required("node"),
        zone=fields.required("zone"),
        region=fields.required("region"),
        client_listen_address=fields.address("listen.front"),
        readiness_listen_address=fields.address("listen.ready"),
        ip=fields.required("ip"),
        min_peer_port=fields.integer("port_range", ports[0], maximum=MAX_PORT),
        max_peer_port=fields.integer("port_range", ports[-1], maximum=MAX_PORT),
        store_address=fields.address("platform.address"),
        duties_address=fields.address("cloud.address"),
        duties=tuple(filter(None, fields.optional("cloud.duties").split(","))),
        drain_timeout=fields.number("bounds.drain_ms") * SECONDS_PER_MILLISECOND,
        stop_timeout=fields.number("bounds.grace_s"),
        lease_time=fields.number("bounds.lease_ms") * SECONDS_PER_MILLISECOND,
        usage_window=fields.number("bounds.report_window_s"),
        usage_report_timeout=fields.number("bounds.usage_late_s"),
        retry_budget_ratio=fields.number("bounds.budget_ratio"),
        retry_budget_slack=fields.number("bounds.retry_slack"),
        retry_budget_window=fields.number("bounds.budget_window_s"),
        quota_window=fields.number("bounds.quota_window_s", default=8.0),
        quota_overrun=fields.number("bounds.quota_overrun", default=0.1),
        quota_slack=fields.number("bounds.quota_slack", default=0.0),
        max_row_bytes=fields.integer("platform.row_bytes"),
        link_bytes_per_second=fields.bandwidth("limits.link_mbps") * BYTES_PER_MEGABIT,
        first_start=fields.optional("bootstrap") == "true",
        hedging_max_share=fields.share("hedging.max_share", HEDGING_VARIABLE),
        contracts=frozenset(name.strip() for name in fields.optional("contracts").split(",")),
        max_client_connections=fields.integer(
            "limits.client_connections", fields.optional("limits.client_connections") or "0"
        ),
        max_client_bytes=fields.integer(
            "limits.client_bytes", fields.optional("limits.client_bytes") or "0"
        ),
    )
    if fields.problems:
        raise SettingsError(fields.problems)
    return settings


class _Fields:
    """Fields of a settings file; accessors append to `problems` and return a placeholder."""

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

    def required(self, name: str) -> str:
        value = self._values.get(name, "")
        if not value:
            self._add_problem(name, None, "required")
        return value

    def address(self, name: str) -> str:
        value = self.required(name)
        if value and not valid_address(value):
            self._add_problem(name, value, "an IP number and a port from 1 to 65535")
        return value

    def number(self, name: str, *, default: float | None = None) -> float:
        if default is not None and name not in self._values:
            return default
        value = self.required(name)
        try:
            number = float(value or 0)
        except ValueError:
            number = -1.0
        if not 0 <= number <= MAX_NUMBER:
            self._add_problem(name, value, f"a number from 0 to {MAX_NUMBER:.0f}")
        return number

    def bandwidth(self, name: str) -> float:
        return (self.number(name) or float("inf")) if name in self._values else float("inf")

    def share(self, name: str, variable: str) -> float:
        """Return a number from 0 to 1 from the file, or else from the environment; 0 if unset."""
        source, value = name, self._values.get(name, "")
        if not value:
            source, value = variable, os.environ.get(variable, "")
        try:
            share = float(value or 0)
        except ValueError:
            share = -1.0
        if not 0 <= share <= 1:
            self._add_problem(source, value, "a number from 0 to 1")
            return 0.0
        return share

    def integer(self, name: str, part: str | None = None, *, maximum: int = int(MAX_NUMBER)) -> int:
        value = self.required(name) if part is None else part
        number = parse_unsigned(value, maximum=maximum)
        if number is None:
            self._add_problem(name, value, f"a whole number from 0 to {maximum}")
        return number or 0

    def _add_problem(self, key: str, value: str | None, allowed: str) -> None:
        shown = None if value is None else shorten(value)
        self.problems.append(SettingsProblem(self._file, key, shown, allowed))
