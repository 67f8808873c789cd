"""The leases of one host, by scope."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from samphirehall.authority.keeper import LeaseKeeper
from samphirehall.authority.lease import LeaseLostError, Right


@dataclass(slots=True, frozen=True)
class LeaseStatus:
    """One lease as this host knows it.

    Parameters
    ----------
    scope : str
        What the orders are about.
    holder : str
        Incarnation that holds the lease, as last read; empty for nobody.
    fencing : int
        Fencing number of that holder.
    ends_in : float, optional
        Seconds until this host's own right ends unless it is renewed.
    """

    scope: str
    holder: str
    fencing: int
    ends_in: float | None


class Leases:
    """Rights of this process, by scope.

    Parameters
    ----------
    keepers : iterable of LeaseKeeper
        One keeper a scope.
    """

    def __init__(self, keepers: Iterable[LeaseKeeper]) -> None:
        self._keepers = {keeper.scope: keeper for keeper in keepers}

    @property
    def scopes(self) -> tuple[str, ...]:
        """Scopes for which this process is a candidate."""
        return tuple(self._keepers)

    def right(self, scope: str, *, now: float) -> Right:
        """Return the right of this process in a scope.

        Parameters
        ----------
        scope : str
            What the orders are about.
        now : float
            Boot clock in seconds.

        Raises
        ------
        LeaseLostError
            The process does not hold the lease, or its right has ended.
        """
        if scope not in self._keepers:
            raise LeaseLostError(scope, f"not a candidate; its scopes are {self.scopes}")
        return self._keepers[scope].right(now=now)

    def holds(self, scope: str, *, now: float) -> bool:
        """Return whether this process has the right in a scope."""
        try:
            self.right(scope, now=now)
        except LeaseLostError:
            return False
        return True

    def recheck(self, right: Right, *, clock: Callable[[], float]) -> Callable[[], None]:
        """Return a check that this process still has the very right it started with.

        Parameters
        ----------
        right : Right
            Right under which an order is sent.
        clock : callable
            Boot clock in seconds, read at each check.
        """

        def check() -> None:
            current = self.right(right.scope, now=clock())
            if current.fencing != right.fencing:
                raise LeaseLostError(right.scope, f"fencing number {right.fencing} is over")

        return check

    def status(self, *, now: float) -> list[LeaseStatus]:
        """Return each lease as this host knows it."""
        return [self._status_of(scope, keeper, now) for scope, keeper in self._keepers.items()]

    def _status_of(self, scope: str, keeper: LeaseKeeper, now: float) -> LeaseStatus:
        row = keeper.row
        holder, fencing = ("", 0) if row is None else (row.holder, row.fencing)
        ends_in = None
        if self.holds(scope, now=now):
            ends_in = keeper.right(now=now).until - now
        return LeaseStatus(scope, holder, fencing, ends_in)
