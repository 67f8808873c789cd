"""Construction of the routing policy from the settings."""

from samphirehall.routing.estimate import EngineRates, Preferences
from samphirehall.routing.fleet import Fleet
from samphirehall.routing.policy import ROUTING_POLICIES, RoutingPolicy, RoutingSetup
from samphirehall.settings.tables import RoutingTable


def engine_rates(table: RoutingTable) -> EngineRates:
    """Return the engine rates of the ``[routing]`` settings."""
    return EngineRates(
        prefill_tokens_per_second=table.prefill_tokens_per_second,
        token_seconds=table.token_seconds,
        sequence_seconds=table.sequence_seconds,
        max_batch=table.max_batch,
        transfer_tokens_per_second=table.transfer_tokens_per_second,
        transfer_seconds=table.transfer_seconds,
    )


def routing_policy(table: RoutingTable, fleet: Fleet) -> RoutingPolicy:
    """Build the policy that the ``[routing]`` settings name for this host's fleet.

    Raises
    ------
    UnknownPluginError
        If no policy has that name; the message lists the known names.
    """
    setup = RoutingSetup(
        fleet.prefixes,
        engine_rates(table),
        Preferences(table.other_zone_seconds, table.other_kind_seconds),
        table.block_tokens,
        fleet.find,
    )
    return ROUTING_POLICIES.get(table.policy)(setup)
