"""Decides which engine changes its role, if the gain exceeds the cost.

An engine serves nothing for some seconds while it changes its role. The change
is made only if the goodput gained during the dwell time, after which the mix of
work may have shifted again, exceeds by a margin what the engine would have
served during the change.
"""

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from samphirehall.core.types import Role
from samphirehall.placement.capacity import EngineRates, served_share
from samphirehall.placement.demand import Demand

FULLY_SERVED_SHARE = 1.0


@dataclass(slots=True, frozen=True)
class EngineRole:
    """State of an engine that the role decision uses.

    Parameters
    ----------
    endpoint_id : str
        Name of the endpoint.
    role : Role
        Role in force, or the target of an order not yet settled.
    changing : bool
        Whether the engine is carrying out an order.
    running : int
        Requests in the engine's batch.
    changed_at : float
        Boot clock in seconds of the engine's last role change; minus infinity if
        there was none.
    """

    endpoint_id: str
    role: Role
    changing: bool = False
    running: int = 0
    changed_at: float = float("-inf")


@dataclass(slots=True, frozen=True)
class RoleRules:
    """Limits and costs of the role decision.

    Parameters
    ----------
    dwell_seconds : float
        Minimum time between two role changes of one engine, and the time over
        which the gain of a change is counted.
    change_seconds : float
        Time for which an engine serves nothing during a change.
    margin : float
        Factor by which the goodput gained must exceed the goodput lost.
    min_gain : float
        Gain in the served share that a change must exceed.
    """

    dwell_seconds: float = 60.0
    change_seconds: float = 5.0
    margin: float = 1.5
    min_gain: float = 0.03


@dataclass(slots=True, frozen=True)
class RoleChange:
    """Order to change the role of an engine, with the reason for the log."""

    endpoint_id: str
    role: Role
    reason: str


def decide_role_change(
    engines: Sequence[EngineRole],
    demand: Demand,
    *,
    rates: EngineRates,
    rules: RoleRules,
    now: float,
) -> RoleChange | None:
    """Return the role change that gains the most goodput, or None.

    Parameters
    ----------
    engines : sequence of EngineRole
        Engines of one model in one zone that take work.
    demand : Demand
        Averaged demand for the model in the zone.
    rates : EngineRates
        Throughput of one engine.
    rules : RoleRules
        Dwell time, cost and margin.
    now : float
        Boot clock in seconds.

    Returns
    -------
    RoleChange or None
        One change; None while an engine is changing, while all demand is served, or
        if no change gains enough.
    """
    if any(engine.changing for engine in engines):
        return None
    current = [engine.role for engine in engines]
    before = served_share(current, demand, rates)
    if before >= FULLY_SERVED_SHARE:
        return None
    best: RoleChange | None = None
    best_gain = rules.min_gain
    for engine, role in _eligible_changes(engines, demand, rules, now):
        roles = [role if other is engine else other.role for other in engines]
        gain = min(FULLY_SERVED_SHARE, served_share(roles, demand, rates)) - before
        if gain > best_gain and _gain_exceeds_cost(gain, before, len(engines), rules):
            best_gain = gain
            reason = f"raises the served share from {before:.2f} to {before + gain:.2f}"
            best = RoleChange(engine.endpoint_id, role, reason)
    return best


def _eligible_changes(
    engines: Sequence[EngineRole], demand: Demand, rules: RoleRules, now: float
) -> Iterator[tuple[EngineRole, Role]]:
    """Yield the changes that leave both phases with an engine, least busy engines first."""
    for engine in sorted(engines, key=lambda item: item.running):
        if now - engine.changed_at < rules.dwell_seconds:
            continue
        for role in Role:
            if role is engine.role:
                continue
            after = Counter(role if other is engine else other.role for other in engines)
            if _serves_both_phases(after, demand):
                yield engine, role


def _serves_both_phases(counts: Counter[Role], demand: Demand) -> bool:
    """Return whether each phase that has demand has an engine."""
    if counts[Role.MIXED]:
        return True
    has_prefill = counts[Role.PREFILL] or demand.prefill_tokens_per_second <= 0
    has_decode = counts[Role.DECODE] or demand.decode_tokens_per_second <= 0
    return bool(has_prefill and has_decode)


def _gain_exceeds_cost(gain: float, served: float, engines: int, rules: RoleRules) -> bool:
    """Return whether the goodput gained in the dwell time exceeds that lost in the change."""
    gained_goodput = gain * rules.dwell_seconds
    lost_goodput = served / engines * rules.change_seconds
    return gained_goodput > rules.margin * lost_goodput
