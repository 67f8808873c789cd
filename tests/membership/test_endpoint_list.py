"""Endpoint lists between hosts of this release and of one that knows no software versions."""

import dataclasses
from dataclasses import dataclass

import msgpack
import msgspec
import pytest

from samphirehall.core.frames import decode_payload, encode_frame
from samphirehall.core.types import EndpointInfo, EndpointProtocol
from samphirehall.membership.messages import EndpointsChange
from samphirehall.node.link_messages import EndpointsUpdate

LISTED = EndpointInfo(
    "engine-1", "10.0.0.7:8000", "zone-1", EndpointProtocol.ENGINE, software_version="v1"
)


@dataclass(slots=True, frozen=True)
class OldEndpointInfo:
    """The fields that a host of the older release reads."""

    endpoint_id: str
    address: str
    zone: str
    protocol: EndpointProtocol


def payload_of(message):
    return encode_frame(message)[4:]


def without_version(payload):
    name, fields = msgpack.unpackb(payload)
    for entry in fields[0]:
        del entry["software_version"]
    return msgpack.packb([name, fields])


@pytest.mark.parametrize(
    "message", [EndpointsChange((LISTED,), (), True), EndpointsUpdate((LISTED,))]
)
class TestEndpointLists:
    def test_software_version_is_received(self, message):
        types = {type(message).__name__: type(message)}
        assert decode_payload(payload_of(message), types) == message

    def test_list_of_an_older_host_is_received_without_versions(self, message):
        types = {type(message).__name__: type(message)}
        received = decode_payload(without_version(payload_of(message)), types)
        entries = getattr(received, dataclasses.fields(received)[0].name)
        assert [item.software_version for item in entries] == [""]

    def test_older_host_ignores_the_version(self, message):
        _, fields = msgpack.unpackb(payload_of(message))
        (entry,) = msgspec.convert(fields[0], list[OldEndpointInfo])
        assert entry.endpoint_id == "engine-1"
