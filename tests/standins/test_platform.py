"""The platform stand-in applies endpoint orders and lists changes."""

import anyio
import msgspec

from samphirehall.backing.client import EndpointOrder
from samphirehall.core.connections import ConnectionPool, read_body
from samphirehall.core.serving import serving
from samphirehall.core.types import EndpointInfo, EndpointKind, EndpointProtocol, EndpointState
from samphirehall.standins.platform import PlatformStandin, Topology
from tests.support.ports import free_address

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


class TestEndpointChanges:
    def test_changed_software_version_is_listed(self):
        async def main():
            platform, address = PlatformStandin(Topology(endpoints=ENDPOINTS)), free_address()
            pool = ConnectionPool(address)
            async with serving(platform.app(), address):
                for change in ({"software_version": "v2"}, {}):
                    body = {"endpoint_id": "engine-1", "state": "ready", **change}
                    content = msgspec.json.encode(body)
                    async with pool.request("POST", "/admin/endpoints", content=content) as answer:
                        assert answer.status == 200
                async with pool.request("GET", "/endpoints") as answer:
                    listed = msgspec.json.decode(await read_body(answer, max_bytes=10_000))
                await pool.aclose()
            return {item["endpoint_id"]: item["software_version"] for item in listed}

        assert anyio.run(main) == {"engine-1": "v2", "engine-2": "", "desk-1": ""}
