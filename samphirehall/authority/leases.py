"""Leases for which one host is a candidate, by scope."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from samphirehall.authority.lease import LeaseGrant, LeaseLostError
from samphirehall.authority.lease_manager import LeaseManager


@dataclass(slots=True, frozen=True)
class LeaseStatus:
    """State of one lease as last read or written by this host.

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
    managers : iterable of LeaseManager
        One manager for each scope.
    """

    def __init__(self, managers: Iterable[LeaseManager]) -> None:
        self._managers = {manager.scope: manager for manager in managers}

    @property
    def scopes(self) -> tuple[str, ...]:
        """Scopes for which this process is a candidate."""
        return tuple(self._managers)

    def grant(self, scope: str, *, now: float) -> LeaseGrant:
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
        if scope not in self._managers:
            raise LeaseLostError(scope, f"this host is a candidate only for {self.scopes}")
        return self._managers[scope].grant(now=now)

    def holds(self, scope: str, *, now: float) -> bool:
        """Return whether this process holds an unexpired grant in a scope."""
        try:
            self.grant(scope, now=now)
        except LeaseLostError:
            return False
        return True

    def recheck(self, grant: LeaseGrant, *, clock: Callable[[], float]) -> Callable[[], None]:
        """Return a function that raises unless this process still holds the same grant.

        Parameters
        ----------
        grant : LeaseGrant
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
            current = self.grant(grant.scope, now=clock())
            if current.fencing != grant.fencing:
                raise LeaseLostError(
                    grant.scope,
                    f"fencing number {grant.fencing} was superseded by {current.fencing}",
                )

        return check

    def status(self, *, now: float) -> list[LeaseStatus]:
        """Return the state of each lease as last read or written by this host."""
        return [
            self._lease_status(scope, manager, now) for scope, manager in self._managers.items()
        ]

    def _lease_status(self, scope: str, manager: LeaseManager, now: float) -> LeaseStatus:
        row = manager.lease_row
        holder, fencing = ("", 0) if row is None else (row.holder, row.fencing)
        ends_in = None
        if self.holds(scope, now=now):
            ends_in = manager.grant(now=now).expires_at - now
        return LeaseStatus(scope, holder, fencing, ends_in)
