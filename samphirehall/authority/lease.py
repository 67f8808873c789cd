"""Lease rows, the right they give, and when a candidate may take over.

A lease is two rows of the table. The lease row changes with the holder only,
so that a transaction can check it without meeting renewals; the renewal row
changes with each renewal. A holder's right ends before any candidate may take
over; no clocks are compared between hosts.
"""

from dataclasses import dataclass

import msgspec

from samphirehall.backing.table import ABSENT, Check, Row
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import LEASE_LOST, SETTINGS_INVALID

PLATFORM_SCOPE = "platform"
RENEWALS_PER_TTL = 3
NOBODY = ""


def engines_scope(zone: str) -> str:
    """Return the scope of orders to the engines of an availability zone."""
    return f"engines/{zone}"


def lease_key(scope: str) -> str:
    """Return the key of the lease row, which changes with the holder only."""
    return f"leases/{scope}"


def renewal_key(scope: str) -> str:
    """Return the key of the renewal row, which changes with each renewal."""
    return f"leases/{scope}/renewal"


class LeaseLostError(SamphireError):
    """The process has no right to give orders in a scope.

    Parameters
    ----------
    scope : str
        Scope that was asked for.
    reason : str
        Why there is no right.
    """

    def __init__(self, scope: str, reason: str) -> None:
        super().__init__(LEASE_LOST, f"lease {scope!r}: {reason}")
        self.scope = scope


@dataclass(slots=True, frozen=True)
class LeaseTimes:
    """Times of a lease in seconds.

    Parameters
    ----------
    ttl : float
        Time for which a renewal counts.
    margin : float
        Part of `ttl` that the holder does not use, for drift of clocks.
    delivery_limit : float
        Longest time between the check of a right and the delivery of the order.
    """

    ttl: float
    margin: float
    delivery_limit: float

    def __post_init__(self) -> None:
        if not 0 < self.margin < self.ttl / 2:
            detail = f"lease.margin_seconds = {self.margin!r}: allowed above 0, below ttl / 2"
            raise SamphireError(SETTINGS_INVALID, detail)

    @property
    def renewal_interval(self) -> float:
        """Seconds between two renewals."""
        return self.ttl / RENEWALS_PER_TTL


@dataclass(slots=True, frozen=True)
class LeaseRow:
    """Value of a lease row.

    Parameters
    ----------
    holder : str
        Incarnation that holds the lease, or `NOBODY` after a release.
    fencing : int
        Fencing number; grows with each takeover.
    ttl : float
        Time in seconds for which the holder counts a renewal.
    """

    holder: str
    fencing: int
    ttl: float


@dataclass(slots=True, frozen=True)
class Right:
    """Right of this process to give orders in a scope.

    Parameters
    ----------
    scope : str
        What the orders are about.
    holder : str
        Incarnation of this process.
    fencing : int
        Number that goes with each order.
    until : float
        Boot clock in seconds at which the right ends unless it is renewed.
    version : int
        Version of the lease row.
    """

    scope: str
    holder: str
    fencing: int
    until: float
    version: int

    @property
    def check(self) -> Check:
        """Condition of a transaction: the lease row is still the one of this right."""
        return Check(lease_key(self.scope), self.version)


@dataclass(slots=True, frozen=True)
class Observation:
    """Versions of both rows, and since when this candidate has seen them unchanged.

    Parameters
    ----------
    lease_version, renewal_version : int
        Versions as read.
    since : float
        Boot clock in seconds after the first read that gave these versions.
    """

    lease_version: int
    renewal_version: int
    since: float


@dataclass(slots=True, frozen=True)
class TakeoverDecision:
    """Whether to take over, and why."""

    take: bool
    reason: str


def right_end(sent_at: float, times: LeaseTimes) -> float:
    """Return when a right ends whose renewal was about to be sent at `sent_at`."""
    return sent_at + times.ttl - times.margin


def decode_lease(row: Row | None) -> LeaseRow | None:
    """Return the value of a lease row, or None for no row."""
    return None if row is None else msgspec.convert(row.value, LeaseRow)


def observe(
    previous: Observation | None, lease: Row | None, renewal: Row | None, *, now: float
) -> Observation:
    """Return the observation after a read whose answer arrived by `now`."""
    lease_version = ABSENT if lease is None else lease.version
    renewal_version = ABSENT if renewal is None else renewal.version
    unchanged = previous is not None and (lease_version, renewal_version) == (
        previous.lease_version,
        previous.renewal_version,
    )
    if previous is not None and unchanged:
        return previous
    return Observation(lease_version, renewal_version, since=now)


def decide_takeover(
    lease: LeaseRow | None,
    seen: Observation,
    times: LeaseTimes,
    *,
    candidate: str,
    now: float,
) -> TakeoverDecision:
    """Decide whether a candidate without a right may take the lease.

    Parameters
    ----------
    lease : LeaseRow or None
        Lease row as read last.
    seen : Observation
        Since when the rows have been unchanged.
    times : LeaseTimes
        Times of this candidate; the longer of its own and the row's `ttl` counts.
    candidate : str
        Incarnation of this process.
    now : float
        Boot clock in seconds.
    """
    if lease is None:
        return TakeoverDecision(True, "no lease row yet")
    if lease.holder == NOBODY:
        return TakeoverDecision(True, "released by its holder")
    if lease.holder == candidate:
        return TakeoverDecision(True, "own right has ended")
    wait = max(times.ttl, lease.ttl) + times.delivery_limit
    unchanged = now - seen.since
    if unchanged < wait:
        return TakeoverDecision(False, f"unchanged for {unchanged:.1f} s of {wait:.1f} s")
    return TakeoverDecision(True, f"unchanged for {unchanged:.1f} s")
