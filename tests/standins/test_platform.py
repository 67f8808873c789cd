"""The platform stand-in applies endpoint orders."""

from samphirehall.backing.client import EndpointOrder
from samphirehall.core.types import EndpointInfo, EndpointKind, EndpointProtocol, EndpointState
from samphirehall.standins.platform import PlatformStandin, Topology

ENDPOINTS = [
    EndpointInfo("engine-1", "127.0.0.1:1", "prairie-1", EndpointProtocol.ENGINE),
    EndpointInfo("engine-2", "127.0.0.1:2", "prairie-1", EndpointProtocol.ENGINE),
    EndpointInfo("desk-1", "127.0.0.1:3", "prairie-1", EndpointProtocol.SERVICE),
]


class TestEndpointOrders:
    def test_order_counts_engines_only(self):
        platform = PlatformStandin(Topology(endpoints=ENDPOINTS))
        order = EndpointOrder("ord-1", 1, "host-a/1", "prairie-1", EndpointKind.STANDARD, 1)
        platform._apply_order(order, 0.0)
        states = {item.endpoint_id: item.state for item in platform._current_endpoints(0.0)}
        assert states["desk-1"] is EndpointState.READY
        assert list(states.values()).count(EndpointState.LEAVING) == 1
