"""Datagrams and frames between hosts that hold anything."""

import zlib

import anyio
import msgpack
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.core.errors import FrameError
from samphirehall.core.frames import decode_payload
from samphirehall.gateway.catch_up import _MESSAGES
from samphirehall.gateway.datagrams import DatagramSocket
from samphirehall.gateway.rows import StoreVersion
from samphirehall.gateway.zone_messages import (
    MAX_MESSAGE_BYTES,
    EncodedChanges,
    HubUpdate,
    MemberUpdate,
    News,
    ZoneSummary,
    datagram,
    decode_datagram,
    encode_message,
)
from tests.gateway.test_zone_exchange import start, until
from tests.support.ports import free_address

POSITION = StoreVersion(0, 5)
NAN, INFINITY = float("nan"), float("inf")


def member_update(**changes):
    fields = {
        "host": "h9",
        "zone": "a",
        "address": "127.0.0.1:9",
        "process": "h9/1",
        "sequence": 1,
        "wall_time": 1e9,
        "configuration_version": 1,
        "store_age": 0.1,
        "loads": {"d1": [1] * 11},
        "demand": {"model": 1.0},
        "usage": {},
        "news": News(),
    }
    return MemberUpdate(**{**fields, **changes})


def hub_update(**changes):
    summary = ZoneSummary("b", "h8", "127.0.0.1:9", 1, -1, {"d1": [1] * 11}, {})
    fields = {
        "summary": summary,
        "agreed_time": 1e9,
        "configuration_version": 1,
        "store_age": 0.1,
        "reader": "h8",
        "reads": True,
        "changes": EncodedChanges(POSITION, POSITION),
        "news": News(),
    }
    return HubUpdate(**{**fields, **changes})


ODD_UPDATES = [
    member_update(sequence=2**32),
    member_update(loads={"d1": [2**63] * 11}),
    member_update(loads={"d1": [-1] * 11}),
    member_update(wall_time=NAN),
    member_update(wall_time=INFINITY),
    member_update(store_age=-1e9),
    member_update(demand={"model": NAN}),
    member_update(usage={2**63: (True, {})}),
    member_update(usage={1: (True, {"acme": 2**62})}),
    member_update(settled_window=2**62),
    member_update(limits=[("i-1/1", NAN, 0.0)]),
    member_update(news=News(part_crashes=[("d1/1", NAN, ("p",))])),
    member_update(news=News(cached_prompts=[("d1", [("p", 2**63)])])),
    member_update(changes=EncodedChanges(POSITION, StoreVersion(2**63, 1))),
    member_update(speed_samples=[("d1/0", 2**62, 1)]),
    member_update(speed_samples=[("d1/0", 1000, -1)]),
    member_update(speed_samples=[("d1/0", 1000, 100)] * 65),
    member_update(host=""),
    hub_update(agreed_time=NAN),
    hub_update(blocked_parts=[(["p"], NAN)]),
    hub_update(speed_reports=[("d1/0", 1000, 100, 2**62, 0)]),
    hub_update(summary=ZoneSummary("b", "h8", "127.0.0.1:9", 2**40, -1, {}, {})),
]
PLAIN, COMPRESSED = b"\x00", b"\x01"
NESTED = b"\x91" * 60_000 + b"\x90"

ODD_DATAGRAMS = [
    b"",
    datagram(0, b""),
    datagram(0, NESTED),
    datagram(0, PLAIN + NESTED),
    datagram(0, PLAIN + b"\xff"),
    datagram(0, COMPRESSED + b"\xff"),
    datagram(0, COMPRESSED + zlib.compress(NESTED)),
    datagram(0, COMPRESSED + zlib.compress(b"\0" * 64 * MAX_MESSAGE_BYTES)),
] + [datagram(0, encode_message(update)) for update in ODD_UPDATES]

odd_fields = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-(2**63), 2**64 - 1),
        st.floats(),
        st.text(max_size=8),
        st.binary(max_size=8),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=4), st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=12,
)


def with_field(message, index, value):
    """Return an encoded message in which one field has any value."""
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
    fields[1 + index % (len(fields) - 1)] = value
    return datagram(0, PLAIN + msgspec.msgpack.encode(fields))


@pytest.mark.parametrize("data", ODD_DATAGRAMS, ids=range(len(ODD_DATAGRAMS)))
def test_odd_datagram_raises_value_error(data):
    with pytest.raises(ValueError):
        decode_datagram(data)


@pytest.mark.parametrize(
    "message",
    [
        member_update(news=News(crashes=[(2**64 - 1, "d1/1")]), sequence=2**32 - 1),
        member_update(store_age=1e9, settled_window=353_445_120, usage={7: (True, {"a": 10**9})}),
        hub_update(store_age=1e9, limits=[("i-1/1", -1.0, 29.0)]),
        hub_update(reader=None),
    ],
)
def test_legitimate_datagram_is_decoded(message):
    assert decode_datagram(datagram(3, encode_message(message))) == (3, message)


@given(
    st.one_of(
        st.binary(max_size=300),
        odd_fields.map(lambda value: b"\0" * 4 + msgspec.msgpack.encode(value)),
        st.builds(
            with_field,
            st.sampled_from([member_update(), hub_update()]),
            st.integers(0, 20),
            odd_fields,
        ),
    )
)
def test_any_datagram_gives_a_message_that_can_be_sent_on_or_a_value_error(data):
    try:
        _, message = decode_datagram(data)
    except ValueError:
        return
    encode_message(message)
    if isinstance(message, MemberUpdate):
        datagram(message.sequence, b"")


@given(st.one_of(st.binary(max_size=300), odd_fields.map(msgpack.packb)))
def test_any_frame_gives_a_message_or_a_frame_error(payload):
    try:
        decode_payload(payload, {message.__name__: message for message in _MESSAGES})
    except FrameError as error:
        assert len(str(error)) < 500


@pytest.mark.parametrize("payload", [b"\x91" * 100_000, msgpack.packb(["x" * 1_000_000, []])])
def test_odd_frame_raises_a_short_frame_error(payload):
    with pytest.raises(FrameError) as caught:
        decode_payload(payload, {message.__name__: message for message in _MESSAGES})
    assert len(str(caught.value)) < 500


@pytest.mark.anyio
class TestExchange:
    async def test_odd_datagrams_leave_the_hub_and_its_members_running(self, caplog):
        async with anyio.create_task_group() as group:
            hosts, endpoints = await start(group, ["h1", "h2", "h3"])
            udp = DatagramSocket(free_address())
            for host in hosts:
                number, port = host.address.rpartition(":")[::2]
                for data in ODD_DATAGRAMS * 3:
                    udp.send(data, (number, int(port)))
            endpoints.put("d2", state="ready")
            await until(lambda: all(host.state("d2") for host in hosts))
            await anyio.sleep(0.5)
            endpoints.put("d3", state="ready")
            await until(lambda: all(host.state("d3") for host in hosts))
            udp.close()
            group.cancel_scope.cancel()
        assert len([r for r in caplog.records if r.message == "peer-unreadable"]) <= len(hosts)
