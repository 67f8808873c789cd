"""How recently a host verified that its configuration is the newest, and whether it may serve.

A host is *verified* at a moment if, after that moment, either the store showed
that no newer version is in force, or every other availability zone answered
and none of them reaches the store, so that nobody can apply one. The boot
clock includes suspension, so a host that was paused becomes unverified.
"""

from dataclasses import dataclass

NEVER = float("-inf")
RESUME_CHECK_TIMEOUT_SECONDS = 3.0
MIN_PAUSE_SECONDS = 5.0


@dataclass(slots=True, frozen=True)
class ServingDecision:
    """Whether a customer may be served now, with the reason."""

    allowed: bool
    reason: str


class Verification:
    """Records when this host last knew that its configuration was the newest.

    Parameters
    ----------
    zone : str
        Availability zone of this host.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._confirmed_at = NEVER
        self._contacts: dict[str, float] = {}
        self._first_asked_at: float | None = None
        self._last_tick: float | None = None
        self._resumed_at = NEVER

    @property
    def confirmed_at(self) -> float:
        """Boot clock, in seconds, at which the configuration was last known to be the newest."""
        return self._confirmed_at

    @property
    def resumed_at(self) -> float:
        """Boot clock, in seconds, at which the process last noticed that it had been paused."""
        return self._resumed_at

    def record_confirmation(self, confirmed_at: float) -> None:
        """Record that the configuration in force was the newest at `confirmed_at`."""
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def record_contact(self, zone: str, asked_at: float) -> None:
        """Record that a host of `zone`, which has no newer version, answered after `asked_at`."""
        self._contacts[zone] = max(self._contacts.get(zone, NEVER), asked_at)

    def verified_at(self, zones: frozenset[str], *, now: float) -> float:
        """Return the boot clock at which this host last knew that no newer version can exist.

        Parameters
        ----------
        zones : frozenset of str
            Zones from which an operator could apply a newer version: all other
            zones; the local zone if it is the only one; none if this is the
            only host.
        now : float
            Boot clock in seconds.
        """
        if not zones:
            return now
        contacts = [self._contacts.get(zone, NEVER) for zone in zones]
        return max(self._confirmed_at, min(contacts))

    def confirmation_age(self, now: float) -> float:
        """Return the seconds since the last confirmation, or since the first call without one."""
        if self._confirmed_at != NEVER:
            return now - self._confirmed_at
        if self._first_asked_at is None:
            self._first_asked_at = now
        return now - self._first_asked_at

    def tick(self, now: float) -> bool:
        """Record that the process runs; return whether it was paused since the last call."""
        paused = self._last_tick is not None and now - self._last_tick > MIN_PAUSE_SECONDS
        if paused:
            self._resumed_at = now
        self._last_tick = now
        return paused

    def was_just_paused(self, now: float) -> bool:
        """Return whether the process was paused and must be confirmed before it serves.

        `RESUME_CHECK_TIMEOUT_SECONDS` after the pause was noticed, the isolation limit
        applies again even without a confirmation.
        """
        if self._last_tick is not None and now - self._last_tick > MIN_PAUSE_SECONDS:
            return True
        return self._confirmed_at < self._resumed_at and (
            now - self._resumed_at < RESUME_CHECK_TIMEOUT_SECONDS
        )


def decide_serving(
    verification: Verification,
    *,
    isolation_limit: float | None,
    default_isolation_limit: float,
    isolation_threshold: float,
    now: float,
) -> ServingDecision:
    """Decide whether a customer is served, given the age of the last confirmation.

    Parameters
    ----------
    verification : Verification
        Confirmations of this host.
    isolation_limit : float, optional
        Seconds for which this customer is served in an isolated zone; None for the default.
    default_isolation_limit : float
        Seconds for customers that set no limit.
    isolation_threshold : float
        Seconds without confirmation after which the host counts as isolated.
    now : float
        Boot clock in seconds.
    """
    if verification.was_just_paused(now):
        return ServingDecision(
            False, "process was paused and has not verified its configuration since"
        )
    age = verification.confirmation_age(now)
    if age <= isolation_threshold:
        return ServingDecision(True, "verified")
    effective_limit = default_isolation_limit if isolation_limit is None else isolation_limit
    if age <= isolation_threshold + effective_limit:
        return ServingDecision(True, "isolated, within the customer's limit")
    return ServingDecision(False, "isolated for longer than the customer's limit")
