"""How many endpoints of each kind a zone should have.

Work that can wait or resume goes to the cheap kind first. The standard kind
covers at least the floor and all that cannot resume, so that a reclaim of the
zone's cheap endpoints takes nothing that must not stop.
"""

import math
from dataclasses import dataclass

from samphirehall.configuration.documents import FleetPart


@dataclass(slots=True, frozen=True)
class ZoneCounts:
    """Endpoints of a zone now.

    Parameters
    ----------
    standard, cheap : int
        Endpoints that are there or starting.
    standard_ordered, cheap_ordered : int
        Endpoints of the last accepted order.
    cheap_short_since : float, optional
        Boot clock in seconds since which the cheap kind has not come as ordered.
    lowered_at : float
        Boot clock in seconds of the last order for fewer; minus infinity for none.
    """

    standard: int
    cheap: int
    standard_ordered: int
    cheap_ordered: int
    cheap_short_since: float | None = None
    lowered_at: float = float("-inf")


@dataclass(slots=True, frozen=True)
class CountRules:
    """Rules beside those of the fleet part.

    Parameters
    ----------
    utilisation : float
        Share of an endpoint's rate that is planned for.
    cheap_patience_seconds : float
        Time after which the standard kind stands in for cheap endpoints that do not come.
    lower_seconds : float
        Least time between two orders for fewer.
    """

    utilisation: float = 0.75
    cheap_patience_seconds: float = 30.0
    lower_seconds: float = 300.0


@dataclass(slots=True, frozen=True)
class CountDecision:
    """Endpoints wanted by kind, and why."""

    standard: int
    cheap: int
    reason: str


def decide_counts(
    counts: ZoneCounts,
    *,
    load: float,
    firm_share: float,
    fleet: FleetPart,
    rules: CountRules,
    now: float,
) -> CountDecision:
    """Choose how many endpoints of each kind a zone should have.

    Parameters
    ----------
    counts : ZoneCounts
        What is there and was ordered.
    load : float
        Demand in endpoints: how many fully used ones would serve it.
    firm_share : float
        Share of the load that can neither wait nor resume, from 0 to 1.
    fleet : FleetPart
        The operators' floor, limit, cheap share and budget.
    rules : CountRules
        Planning constants.
    now : float
        Boot clock in seconds.
    """
    wanted = max(math.ceil(load / rules.utilisation), fleet.standard_floor, 1)
    wanted = min(wanted, fleet.max_endpoints)
    firm = math.ceil(wanted * max(firm_share, 1.0 - fleet.cheap_share))
    standard = min(wanted, max(fleet.standard_floor, firm))
    cheap = wanted - standard
    reason = f"load of {load:.1f} endpoints, {firm_share:.0%} firm"
    if _cheap_missing(counts, rules, now):
        standard, reason = standard + max(0, cheap - counts.cheap), reason + "; cheap kind missing"
    standard, cheap = _within_budget(standard, cheap, fleet)
    if _too_soon(counts, standard, cheap, rules, now):
        standard = max(standard, counts.standard_ordered)
        cheap = max(cheap, counts.cheap_ordered)
        reason += "; lowered recently"
    return CountDecision(standard, cheap, reason)


def _cheap_missing(counts: ZoneCounts, rules: CountRules, now: float) -> bool:
    since = counts.cheap_short_since
    return since is not None and now - since >= rules.cheap_patience_seconds


def _within_budget(standard: int, cheap: int, fleet: FleetPart) -> tuple[int, int]:
    """Return the counts after giving up endpoints over the budget, cheap ones last."""
    if fleet.budget_per_hour is None:
        return standard, cheap
    while _cost(standard, cheap, fleet) > fleet.budget_per_hour:
        if standard > fleet.standard_floor:
            standard -= 1
        elif cheap > 0:
            cheap -= 1
        else:
            break
    return standard, cheap


def _cost(standard: int, cheap: int, fleet: FleetPart) -> float:
    return standard * fleet.standard_cost_per_hour + cheap * fleet.cheap_cost_per_hour


def _too_soon(counts: ZoneCounts, standard: int, cheap: int, rules: CountRules, now: float) -> bool:
    lower = standard < counts.standard_ordered or cheap < counts.cheap_ordered
    return lower and now - counts.lowered_at < rules.lower_seconds
