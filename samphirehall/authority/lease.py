"""Lease rows, the grant of a lease holder, and the rule for takeovers.

A lease is stored as two rows of the table. The lease row changes only with the
holder, so that renewals do not conflict with transactions that check it; the
renewal row changes with each renewal. A holder's grant expires before any
candidate may take over. Clocks of different hosts are never compared.

The table may be restored from an older copy, which its era tells. The rows may then
be those before the last takeovers, so that neither the holder nor the fencing number
in them can be relied on: a grant ends with the era that it was given in, a fencing number
is higher than all of earlier eras, and the first takeover of an era waits as long as
any grant of an earlier era may last.
"""

import logging
from dataclasses import dataclass, replace
from typing import Annotated

import msgspec

from samphirehall.backing.table import ABSENT, NO_ERA, Check, Row
from samphirehall.core.decoding import DecodingError, Unsigned, convert
from samphirehall.core.errors import SamphireError
from samphirehall.core.log import RejectionLog
from samphirehall.core.results import LEASE_LOST, SETTINGS_INVALID

PLATFORM_SCOPE = "platform"
RENEWALS_PER_TTL = 3
NO_HOLDER = ""
UNKNOWN_HOLDER = "?"  # of a row that cannot be read; no process has this name
FENCING_NUMBER_BITS = 32  # for the takeovers of one era; the era takes the bits above
MAX_TAKEOVERS = (1 << FENCING_NUMBER_BITS) - 2  # of one era, so that one more fits its bits
MAX_TTL_SECONDS = 86_400.0  # of a row; a candidate waits for it

_log = logging.getLogger(__name__)
_rejections = RejectionLog(_log, "lease-unreadable")


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
    """The process holds no valid lease of a scope and must not send orders in it.

    Parameters
    ----------
    scope : str
        Scope of the lease.
    reason : str
        Why the process holds no valid lease.
    """

    def __init__(self, scope: str, reason: str) -> None:
        super().__init__(LEASE_LOST, f"lease {scope!r}: {reason}")
        self.scope = scope


@dataclass(slots=True, frozen=True)
class LeaseTimes:
    """Durations of a lease in seconds.

    Parameters
    ----------
    ttl : float
        Lifetime of a lease after each renewal.
    margin : float
        Time by which the holder's grant expires before `ttl`, to allow for
        clocks that run at different rates; above 0 and below ``ttl / 2``.
    delivery_limit : float
        Maximum time between the check of a grant and the delivery of an order
        under it.
    """

    ttl: float
    margin: float
    delivery_limit: float

    def __post_init__(self) -> None:
        if not 0 < self.margin < self.ttl / 2:
            detail = (
                f"lease.margin_seconds = {self.margin!r}: must be above 0 and below "
                f"lease.ttl_seconds / 2 = {self.ttl / 2!r}"
            )
            raise SamphireError(SETTINGS_INVALID, detail)

    @property
    def renewal_interval(self) -> float:
        """Seconds between two renewals of the holder."""
        return self.ttl / RENEWALS_PER_TTL


@dataclass(slots=True, frozen=True)
class LeaseRow:
    """Value of a lease row.

    Parameters
    ----------
    holder : str
        Incarnation of the process that holds the lease, or `NO_HOLDER` after a release.
    fencing : int
        Fencing number; increases with each takeover.
    ttl : float
        Lifetime of the lease in seconds as the holder configured it.
    """

    holder: str
    fencing: Unsigned
    ttl: Annotated[float, msgspec.Meta(ge=0, le=MAX_TTL_SECONDS)]


@dataclass(slots=True, frozen=True)
class LeaseGrant:
    """Permission of this process to send orders in a scope until the lease expires.

    Parameters
    ----------
    scope : str
        Scope of the lease.
    holder : str
        Incarnation of this process.
    fencing : int
        Fencing number that is sent with each order.
    expires_at : float
        Boot clock in seconds at which the grant expires unless it is renewed.
    version : int
        Version of the lease row.
    era : int
        Era of the table in which the lease was taken.
    """

    scope: str
    holder: str
    fencing: int
    expires_at: float
    version: int
    era: int = 0

    @property
    def lease_check(self) -> Check:
        """Transaction check that the lease row has not changed since the takeover."""
        return Check(lease_key(self.scope), self.version)


@dataclass(slots=True, frozen=True)
class LeaseObservation:
    """Versions of both lease rows, and since when this process has seen them unchanged.

    Parameters
    ----------
    era : int
        Era of the table.
    lease_version, renewal_version : int
        Row versions as read.
    unchanged_since : float
        Boot clock in seconds after the first read that returned these versions.
    """

    era: int
    lease_version: int
    renewal_version: int
    unchanged_since: float


@dataclass(slots=True, frozen=True)
class TakeoverDecision:
    """Whether a candidate may take the lease over, and the reason."""

    take_over: bool
    reason: str


def grant_expiry(sent_at: float, times: LeaseTimes) -> float:
    """Return the expiry of a grant from the time just before its renewal was sent."""
    return sent_at + times.ttl - times.margin


def next_fencing(lease: LeaseRow | None, *, era: int) -> int:
    """Return the fencing number of a takeover, which is higher than all earlier ones.

    Parameters
    ----------
    lease : LeaseRow or None
        Latest lease row.
    era : int
        Era of the table.
    """
    previous = 0 if lease is None else lease.fencing
    return max(previous, era << FENCING_NUMBER_BITS) + 1


def _was_taken_in_era(lease: LeaseRow | None, era: int) -> bool:
    return lease is not None and lease.fencing >> FENCING_NUMBER_BITS == era


def decode_lease(row: Row | None, *, era: int) -> LeaseRow | None:
    """Return the decoded value of a lease row, or None if there is no row.

    A row that cannot be read is that of an unknown holder. Its version counts the writes of the
    era, so that no fencing number of the era is above it.

    Parameters
    ----------
    row : Row or None
        The row as read.
    era : int
        Era of the table.
    """
    if row is None:
        return None
    try:
        lease = convert(row.value, LeaseRow)
        if lease.fencing > _max_fencing(era):
            raise DecodingError(f"fencing number {lease.fencing} of a later era than {era}")
    except DecodingError as error:
        _rejections.record(row.key, error)
        fencing = (era << FENCING_NUMBER_BITS) + min(row.version, MAX_TAKEOVERS)
        return LeaseRow(UNKNOWN_HOLDER, fencing, 0.0)
    return lease


def _max_fencing(era: int) -> int:
    return (era << FENCING_NUMBER_BITS) + MAX_TAKEOVERS


def update_observation(
    previous: LeaseObservation | None,
    lease: Row | None,
    renewal: Row | None,
    *,
    era: int,
    now: float,
) -> LeaseObservation:
    """Return the observation after a read of both rows that was answered by `now` in an era."""
    lease_version = ABSENT if lease is None else lease.version
    renewal_version = ABSENT if renewal is None else renewal.version
    current = LeaseObservation(era, lease_version, renewal_version, unchanged_since=now)
    if previous is not None and replace(previous, unchanged_since=now) == current:
        return previous
    return current


def decide_takeover(
    lease: LeaseRow | None,
    observation: LeaseObservation,
    times: LeaseTimes,
    *,
    candidate: str,
    first_start: bool = False,
    now: float,
) -> TakeoverDecision:
    """Decide whether a candidate without a grant may take the lease over.

    Parameters
    ----------
    lease : LeaseRow or None
        Latest lease row.
    observation : LeaseObservation
        Since when the rows have been unchanged.
    times : LeaseTimes
        Durations configured on this candidate; the longer of its `ttl` and that of
        the row applies.
    candidate : str
        Incarnation of this process.
    first_start : bool
        Whether the whole system starts for the first time, and the table was not restored since,
        so that no lease can have been lost.
    now : float
        Boot clock in seconds.
    """
    never_restored = observation.era == NO_ERA or (lease is None and first_start)
    if never_restored or _was_taken_in_era(lease, observation.era):
        if lease is None:
            return TakeoverDecision(True, "the lease row does not exist yet")
        if lease.holder == NO_HOLDER:
            return TakeoverDecision(True, "the lease was released by its holder")
        if lease.holder == candidate:
            return TakeoverDecision(True, "this process held the lease and its grant has expired")
    wait = max(times.ttl, 0.0 if lease is None else lease.ttl) + times.delivery_limit
    unchanged = now - observation.unchanged_since
    if unchanged < wait:
        return TakeoverDecision(
            False, f"lease rows unchanged for {unchanged:.1f} s of {wait:.1f} s"
        )
    return TakeoverDecision(True, f"lease rows unchanged for {unchanged:.1f} s")
