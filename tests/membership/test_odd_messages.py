"""Messages and facts of other hosts that cannot be used."""

from types import SimpleNamespace

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.configuration.documents import decode_part
from samphirehall.core.errors import FrameError
from samphirehall.core.frames import decode_payload
from samphirehall.membership.directory import decode_host
from samphirehall.membership.handshake import HostIdentity, open_as_dialler
from samphirehall.membership.messages import OPENING_MESSAGES, PEER_MESSAGES, Refused
from samphirehall.membership.wire import decode_fact, encode_fact
from samphirehall.membership.zone_report import current_reports
from samphirehall.node.facts import Fact, FactKind, FactStore
from samphirehall.node.link_messages import LINK_MESSAGES, ConfigurationUpdate, apply_update
from samphirehall.placement.demand import demand_by_model
from samphirehall.usage.pending_usage import PendingUsage
from tests.gateway.test_odd_datagrams import odd_fields
from tests.support import odd_bytes

NUMBERS = [2**64 - 1, -1, float("inf"), float("nan"), 1.5, "1" * 5_000, None, [], {}]
MESSAGES = {message.__name__: message for message in (*OPENING_MESSAGES, *PEER_MESSAGES)}
MESSAGES |= {message.__name__: message for message in LINK_MESSAGES}


def fact(kind, value, *, key="h1", counter=1):
    return Fact(kind, key, "h1", 1, counter, value, 10.0)


@given(
    st.one_of(
        st.binary(max_size=300),
        odd_fields.map(msgpack.packb),
        st.tuples(st.sampled_from(sorted(MESSAGES)), st.lists(odd_fields, max_size=9)).map(
            msgpack.packb
        ),
    )
)
def test_any_frame_gives_a_message_or_a_frame_error(payload):
    try:
        decode_payload(payload, MESSAGES)
    except FrameError as error:
        assert len(str(error)) < 500


@pytest.mark.parametrize("number", NUMBERS, ids=lambda number: str(number)[:20])
@pytest.mark.parametrize("index", range(5))
def test_odd_field_of_a_fact_is_a_frame_error(index, number):
    fields = [0, "h1", "h1", 1, 1, None]
    fields[index] = number
    if isinstance(number, str) and index in (1, 2):
        return
    with pytest.raises(FrameError):
        decode_fact(msgpack.packb(fields), 1000)


@given(st.one_of(st.binary(max_size=200), odd_fields.map(msgpack.packb)))
def test_any_payload_gives_a_fact_that_can_be_sent_on_or_a_frame_error(payload):
    try:
        found = decode_fact(payload, 1000)
    except FrameError:
        return
    encode_fact(found, expires_at=1.0)


@given(odd_fields)
def test_any_value_of_a_fact_leaves_its_readers_running(value):
    store, pending = FactStore("h0", 1), PendingUsage()
    store.subscribe(lambda found: pending.apply_fact(found, now=0.0))
    for key in ("h1", "5/acme", "x/acme", "1" * 5_000, "zone/a"):
        for kind in (FactKind.USAGE, FactKind.DEMAND, FactKind.HOST, FactKind.CONFIGURATION):
            store.merge(fact(kind, value, key=key), now=0.0)
    demand = demand_by_model(store.current(FactKind.DEMAND, now=0.0), {"h1"})
    assert all(0 <= item.waiting < 2**63 for item in demand.values())
    current_reports(store, now=0.0)
    for host in store.current(FactKind.HOST, now=0.0):
        decode_host(host)


def test_odd_demand_of_one_entry_leaves_that_of_the_others():
    odd = Fact(FactKind.DEMAND, "m", "h1/entry", 1, 1, {"waiting": "many"}, 10.0)
    sound = Fact(FactKind.DEMAND, "m", "h2/entry", 1, 1, {"waiting": 3}, 10.0)
    assert demand_by_model([odd, sound], {"h1", "h2"})["m"].waiting == 3


def test_odd_report_of_one_zone_leaves_that_of_the_others():
    store = FactStore("h0", 1)
    store.merge(fact(FactKind.CONFIGURATION, "odd", key="zone/a"), now=0.0)
    store.merge(fact(FactKind.CONFIGURATION, [3, {}, [], ["h1"]], key="zone/b"), now=0.0)
    assert set(current_reports(store, now=0.0)) == {"b"}


@pytest.mark.parametrize("content", [*odd_bytes.ODD_DOCUMENTS], ids=range(8))
def test_odd_part_of_a_configuration_closes_the_link(content):
    state = SimpleNamespace(configuration=SimpleNamespace(version=1))
    with pytest.raises(ValueError):
        decode_part("customers/acme", content)
    with pytest.raises(FrameError):
        apply_update(state, ConfigurationUpdate(2, 1, {"customers/acme": content}, ()))


@pytest.mark.anyio
async def test_refusal_with_an_unknown_code_is_a_frame_error():
    class Frames:
        async def send(self, message):
            return 0

        async def receive(self):
            return Refused(2**62, "x" * 100_000)

    with pytest.raises(FrameError):
        await open_as_dialler(Frames(), HostIdentity("h0", "a", 1), "key", fresh=False)
