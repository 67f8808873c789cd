"""Tables and keys of the settings files, with units and allowed ranges."""

from dataclasses import dataclass, field
from typing import Annotated, Literal

from msgspec import Meta

Address = Annotated[str, Meta(extra={"format": "address"})]
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Seconds = Annotated[float, Meta(gt=0, le=3600)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Bytes = Annotated[int, Meta(ge=1, le=1 << 30)]
PositiveRate = Annotated[float, Meta(gt=0, le=1e9)]
NonNegativeSeconds = Annotated[float, Meta(ge=0, le=3600)]
LogLevel = Literal["debug", "info", "warning", "error"]


@dataclass(slots=True)
class HostTable:
    """``[host]``: name and location of this host."""

    id: Name
    zone: Name
    region: Name = "local"


@dataclass(slots=True)
class PlatformTable:
    """``[platform]``: address of the platform's service, and timeout of calls to it."""

    address: Address
    timeout_seconds: Seconds = 2.0


@dataclass(slots=True)
class LoggingTable:
    """``[logging]``: lowest level of log lines on standard output."""

    level: LogLevel = "info"


@dataclass(slots=True)
class EntryTable:
    """``[entry]``: interface for callers, its limits and timeouts."""

    listen: Address
    control: Address
    max_body_bytes: Bytes = 8 * 1024 * 1024
    max_open_requests: Count = 4096
    head_timeout_seconds: Seconds = 10.0
    answer_head_seconds: Seconds = 5.0
    first_event_seconds: Seconds = 30.0
    stall_seconds: Seconds = 5.0
    shutdown_grace_seconds: Seconds = 5.0
    shutdown_limit_seconds: Seconds = 600.0


@dataclass(slots=True)
class RoutingTable:
    """``[routing]``: policy that chooses endpoints, and parameters of its cost estimates.

    Rates are in tokens per second, times in seconds; see docs/design/0007-routing.md.
    """

    policy: Name = "prefix-aware"
    block_tokens: Count = 1024
    prefill_tokens_per_second: PositiveRate = 50_000.0
    token_seconds: Seconds = 0.005
    sequence_seconds: Seconds = 0.0001
    max_batch: Count = 256
    transfer_tokens_per_second: PositiveRate = 500_000.0
    transfer_seconds: Seconds = 0.01
    other_zone_seconds: NonNegativeSeconds = 0.02
    other_kind_seconds: NonNegativeSeconds = 0.25


@dataclass(slots=True)
class AdmissionTable:
    """``[admission]``: queues and overload handling; see docs/design/0008-admission.md.

    ``policy`` is ``"fair"``, or ``"none"`` to run every request without queueing.
    """

    policy: Literal["fair", "none"] = "fair"
    max_waiting: Count = 512
    prompt_token_work: Annotated[float, Meta(ge=0, le=1)] = 0.1
    engine_queue_tokens: Count = 25_000


@dataclass(slots=True)
class IsolationTable:
    """``[isolation]``: serving while the host cannot tell whether its configuration is current.

    The host counts as isolated after ``notice_seconds`` without confirmation. From then on, a
    customer without a limit in the configuration is served for ``serve_seconds``.
    """

    notice_seconds: Seconds = 20.0
    serve_seconds: Annotated[float, Meta(ge=0, le=604_800)] = 300.0


@dataclass(slots=True)
class UsageTable:
    """``[usage]``: usage windows and flushes; see docs/design/0006-usage.md.

    ``window_seconds`` must be the same on all hosts. ``grace_seconds`` is the
    time between the end of a window and its closing. All hosts together flush
    about ``flushes_per_second`` times per second, but each host no more often than
    every ``least_flush_seconds``.
    """

    window_seconds: Annotated[int, Meta(ge=1, le=86_400)] = 60
    grace_seconds: Seconds = 15.0
    flushes_per_second: PositiveRate = 40.0
    least_flush_seconds: Seconds = 2.0


@dataclass(slots=True)
class EntrySettings:
    """Settings of ``samphire-entry``."""

    host: HostTable
    platform: PlatformTable
    entry: EntryTable
    routing: RoutingTable = field(default_factory=RoutingTable)
    admission: AdmissionTable = field(default_factory=AdmissionTable)
    isolation: IsolationTable = field(default_factory=IsolationTable)
    usage: UsageTable = field(default_factory=UsageTable)
    logging: LoggingTable = field(default_factory=LoggingTable)


@dataclass(slots=True)
class ControlTable:
    """``[control]``: addresses on which the control process listens.

    ``operator`` serves ``samphirectl`` over HTTP, ``link`` the entry process of
    the same host, ``mesh`` the control processes of other hosts.
    """

    operator: Address
    link: Address
    mesh: Address
    operator_token_digest: str = ""
    poll_seconds: Seconds = 1.0


@dataclass(slots=True)
class MeshTable:
    """``[mesh]``: connections between the control processes of hosts.

    ``byte_budget_per_second`` counts bytes sent and received;
    ``heartbeat_seconds`` is the minimum interval of heartbeats; the interval grows
    with the number of peers to stay within the budget. ``delegates`` is the number of
    hosts in each other zone to which this host stays connected. The three ``tls_`` files are given
    together or not at all.
    """

    key: Annotated[str, Meta(min_length=16)]
    heartbeat_seconds: Seconds = 1.0
    suspect_heartbeats: Annotated[int, Meta(ge=2, le=100)] = 3
    acknowledge_seconds: Seconds = 1.5
    byte_budget_per_second: Bytes = 4096
    delegates: Annotated[int, Meta(ge=1, le=8)] = 1
    tls_certificate: str = ""
    tls_key: str = ""
    tls_authority: str = ""

    def __post_init__(self) -> None:
        """Check that the TLS files are given together."""
        given = {bool(self.tls_certificate), bool(self.tls_key), bool(self.tls_authority)}
        if len(given) > 1:
            raise ValueError("tls_certificate, tls_key and tls_authority: all three or none")


@dataclass(slots=True)
class LeaseTable:
    """``[lease]``: lifetime and safety margins of leases; see docs/design/0002-authority.md."""

    ttl_seconds: Seconds = 6.0
    margin_seconds: Seconds = 1.5
    delivery_limit_seconds: Seconds = 2.0


@dataclass(slots=True)
class ControlSettings:
    """Settings of ``samphire-control``."""

    host: HostTable
    platform: PlatformTable
    control: ControlTable
    mesh: MeshTable
    lease: LeaseTable = field(default_factory=LeaseTable)
    usage: UsageTable = field(default_factory=UsageTable)
    logging: LoggingTable = field(default_factory=LoggingTable)
