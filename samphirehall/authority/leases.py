"""Leases for which one host is a candidate, by scope."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from samphirehall.authority.keeper import LeaseKeeper
from samphirehall.authority.lease import LeaseLostError, Right


@dataclass(slots=True, frozen=True)
class LeaseStatus:
    """State of one lease as last read by this host.

    Parameters
    ----------
    scope : str
        Scope of the lease.
    holder : str
        Incarnation that holds the lease; empty if there is none.
    fencing : int
        Fencing number of that holder.
    ends_in : float, optional
        Seconds until the grant of this host expires unless it is renewed; None if
        this host does not hold the lease.
    """

    scope: str
    holder: str
    fencing: int
    ends_in: float | None


class Leases:
    """Lease grants of this process, by scope.

    Parameters
    ----------
    keepers : iterable of LeaseKeeper
        One manager for each scope.
    """

    def __init__(self, keepers: Iterable[LeaseKeeper]) -> None:
        self._keepers = {keeper.scope: keeper for keeper in keepers}

    @property
    def scopes(self) -> tuple[str, ...]:
        """Scopes for which this process is a candidate."""
        return tuple(self._keepers)

    def right(self, scope: str, *, now: float) -> Right:
        """Return the grant of this process in a scope.

        Parameters
        ----------
        scope : str
            Scope of the lease.
        now : float
            Boot clock in seconds.

        Raises
        ------
        LeaseLostError
            The process does not hold the lease, or its grant has expired.
        """
        if scope not in self._keepers:
            raise LeaseLostError(scope, f"this host is a candidate only for {self.scopes}")
        return self._keepers[scope].right(now=now)

    def holds(self, scope: str, *, now: float) -> bool:
        """Return whether this process holds an unexpired grant in a scope."""
        try:
            self.right(scope, now=now)
        except LeaseLostError:
            return False
        return True

    def recheck(self, right: Right, *, clock: Callable[[], float]) -> Callable[[], None]:
        """Return a function that raises unless this process still holds the same grant.

        Parameters
        ----------
        right : Right
            Grant under which an order is sent.
        clock : callable
            Boot clock in seconds, read at each check.

        Returns
        -------
        callable
            Raises `LeaseLostError` if the grant has expired or this process has
            since taken the lease over again with a new fencing number.
        """

        def check() -> None:
            current = self.right(right.scope, now=clock())
            if current.fencing != right.fencing:
                raise LeaseLostError(
                    right.scope,
                    (f"fencing number {right.fencing} was superseded by {current.fencing}"),
                )

        return check

    def status(self, *, now: float) -> list[LeaseStatus]:
        """Return the state of each lease as last read by this host."""
        return [self._status_of(scope, keeper, now) for scope, keeper in self._keepers.items()]

    def _status_of(self, scope: str, keeper: LeaseKeeper, now: float) -> LeaseStatus:
        row = keeper.row
        holder, fencing = ("", 0) if row is None else (row.holder, row.fencing)
        ends_in = None
        if self.holds(scope, now=now):
            ends_in = keeper.right(now=now).until - now
        return LeaseStatus(scope, holder, fencing, ends_in)
