"""Which engine should change its role, if the change pays.

A change takes an engine away for seconds. It is worth it only if the goodput
it wins until the mix may have moved again exceeds what the engine would have
served meanwhile, by a margin.
"""

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from samphirehall.core.types import Role
from samphirehall.placement.capacity import EngineRates, served_share
from samphirehall.placement.demand import Demand

FULL_SHARE = 1.0


@dataclass(slots=True, frozen=True)
class EngineRole:
    """An engine as the role decision sees it.

    Parameters
    ----------
    endpoint_id : str
        Name of the endpoint.
    role : Role
        Role in force, or the target of an order not yet settled.
    changing : bool
        Whether an order is being carried out.
    running : int
        Requests in its batch.
    changed_at : float
        Boot clock in seconds of its last role change; minus infinity for none.
    """

    endpoint_id: str
    role: Role
    changing: bool = False
    running: int = 0
    changed_at: float = float("-inf")


@dataclass(slots=True, frozen=True)
class RoleRules:
    """Rules of the role decision.

    Parameters
    ----------
    dwell_seconds : float
        Least time between two changes of one engine, and the time for which a
        change is expected to pay.
    change_seconds : float
        Time for which a change takes an engine away.
    margin : float
        A change must win this many times what it costs.
    min_gain : float
        Least growth of the served share.
    """

    dwell_seconds: float = 60.0
    change_seconds: float = 5.0
    margin: float = 1.5
    min_gain: float = 0.03


@dataclass(slots=True, frozen=True)
class RoleChange:
    """An engine, its new role, and why."""

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
    """Choose the role change that wins the most goodput, or none.

    Parameters
    ----------
    engines : sequence of EngineRole
        Engines of one model in one zone that take work.
    demand : Demand
        Averaged demand for the model in the zone.
    rates : EngineRates
        What one engine can do.
    rules : RoleRules
        Dwell, cost and margin.
    now : float
        Boot clock in seconds.

    Returns
    -------
    RoleChange or None
        At most one change; None while another is under way or nothing pays.
    """
    if any(engine.changing for engine in engines):
        return None
    current = [engine.role for engine in engines]
    before = served_share(current, demand, rates)
    if before >= FULL_SHARE:
        return None
    best: RoleChange | None = None
    best_gain = rules.min_gain
    for engine, role in _possible_changes(engines, demand, rules, now):
        roles = [role if other is engine else other.role for other in engines]
        gain = min(FULL_SHARE, served_share(roles, demand, rates)) - before
        if gain > best_gain and _pays(gain, before, len(engines), rules):
            best_gain = gain
            reason = f"served share {before:.2f} to {before + gain:.2f}"
            best = RoleChange(engine.endpoint_id, role, reason)
    return best


def _possible_changes(
    engines: Sequence[EngineRole], demand: Demand, rules: RoleRules, now: float
) -> Iterator[tuple[EngineRole, Role]]:
    """Yield changes that leave both phases served, the least busy engines first."""
    for engine in sorted(engines, key=lambda item: item.running):
        if now - engine.changed_at < rules.dwell_seconds:
            continue
        for role in Role:
            if role is engine.role:
                continue
            after = Counter(role if other is engine else other.role for other in engines)
            if _serves_both(after, demand):
                yield engine, role


def _serves_both(counts: Counter[Role], demand: Demand) -> bool:
    """Return whether each phase in demand keeps an engine."""
    if counts[Role.MIXED]:
        return True
    prefill_ok = counts[Role.PREFILL] or demand.prefill_tokens_per_second <= 0
    decode_ok = counts[Role.DECODE] or demand.decode_tokens_per_second <= 0
    return bool(prefill_ok and decode_ok)


def _pays(gain: float, served: float, engines: int, rules: RoleRules) -> bool:
    """Return whether the goodput won exceeds that of the engine while it is away."""
    won = gain * rules.dwell_seconds
    lost = served / engines * rules.change_seconds
    return won > rules.margin * lost
