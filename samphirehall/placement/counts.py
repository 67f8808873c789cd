"""How many endpoints of each kind a zone should have.

Interruptible work, which can wait or resume, is planned on cheap endpoints
first. Standard endpoints cover at least the floor and all uninterruptible
work, so that none of it stops when the platform reclaims the zone's cheap
endpoints.
"""

import math
from dataclasses import dataclass

from samphirehall.configuration.documents import FleetPart


@dataclass(slots=True, frozen=True)
class ZoneCounts:
    """Endpoints that a zone has and that were ordered for it.

    Parameters
    ----------
    standard, cheap : int
        Endpoints that are ready or starting.
    standard_ordered, cheap_ordered : int
        Endpoints in the last accepted order.
    cheap_shortfall_since : float, optional
        Boot clock in seconds since which fewer cheap endpoints exist than were ordered.
    decreased_at : float
        Boot clock in seconds of the last order for fewer endpoints; minus infinity
        if there was none.
    """

    standard: int
    cheap: int
    standard_ordered: int
    cheap_ordered: int
    cheap_shortfall_since: float | None = None
    decreased_at: float = float("-inf")


@dataclass(slots=True, frozen=True)
class CountRules:
    """Planning rules that the fleet part of the configuration does not set.

    Parameters
    ----------
    target_utilisation : float
        Fraction of an endpoint's throughput that is planned to be used, from 0 to 1.
    cheap_start_timeout_seconds : float
        Time after which standard endpoints replace cheap ones that were ordered but
        did not start.
    min_decrease_interval_seconds : float
        Minimum time between two orders for fewer endpoints.
    """

    target_utilisation: float = 0.75
    cheap_start_timeout_seconds: float = 30.0
    min_decrease_interval_seconds: float = 300.0


@dataclass(slots=True, frozen=True)
class CountDecision:
    """Number of endpoints to order of each kind, and the reason for the log."""

    standard: int
    cheap: int
    reason: str


def decide_counts(
    counts: ZoneCounts,
    *,
    load: float,
    uninterruptible_share: float,
    fleet: FleetPart,
    rules: CountRules,
    now: float,
) -> CountDecision:
    """Choose how many endpoints of each kind a zone should have.

    Parameters
    ----------
    counts : ZoneCounts
        Current and ordered endpoints.
    load : float
        Demand as the number of fully used endpoints that would serve it.
    uninterruptible_share : float
        Share of the load that can neither wait nor resume, from 0 to 1.
    fleet : FleetPart
        Floor, limit, cheap share and budget set by the operators.
    rules : CountRules
        Further planning rules.
    now : float
        Boot clock in seconds.
    """
    total = max(math.ceil(load / rules.target_utilisation), fleet.standard_floor, 1)
    total = min(total, fleet.max_endpoints)
    uninterruptible = math.ceil(total * max(uninterruptible_share, 1.0 - fleet.cheap_share))
    standard = min(total, max(fleet.standard_floor, uninterruptible))
    cheap = total - standard
    reason = f"load of {load:.1f} endpoints, {uninterruptible_share:.0%} uninterruptible"
    if _cheap_shortfall_timed_out(counts, rules, now):
        standard, reason = (
            standard + max(0, cheap - counts.cheap),
            reason + "; cheap endpoints did not start",
        )
    standard, cheap = _reduce_to_budget(standard, cheap, fleet)
    if _decreases_too_soon(counts, standard, cheap, rules, now):
        standard = max(standard, counts.standard_ordered)
        cheap = max(cheap, counts.cheap_ordered)
        reason += "; no decrease, the last one was too recent"
    return CountDecision(standard, cheap, reason)


def _cheap_shortfall_timed_out(counts: ZoneCounts, rules: CountRules, now: float) -> bool:
    since = counts.cheap_shortfall_since
    return since is not None and now - since >= rules.cheap_start_timeout_seconds


def _reduce_to_budget(standard: int, cheap: int, fleet: FleetPart) -> tuple[int, int]:
    """Return the counts reduced to the budget: standard ones down to the floor, then cheap ones."""
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


def _decreases_too_soon(
    counts: ZoneCounts, standard: int, cheap: int, rules: CountRules, now: float
) -> bool:
    decreases = standard < counts.standard_ordered or cheap < counts.cheap_ordered
    return decreases and now - counts.decreased_at < rules.min_decrease_interval_seconds
