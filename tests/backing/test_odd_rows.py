"""Rows of the services of two processes that another writer has left."""

import pytest
from hypothesis import given

from samphirehall.authority.engine_orders import EngineOrderRow
from samphirehall.authority.journal import OrderJournal
from samphirehall.backing.table import Row, Write, convert_row, readable_rows
from samphirehall.configuration.store import POINTER_KEY, read_history, read_pointer
from samphirehall.core.decoding import DecodingError, Unsigned
from samphirehall.core.errors import PlatformUnavailableError, SamphireError
from samphirehall.forwarding.claims import _decode_claim
from samphirehall.placement.drain import DRAIN_KEY_PREFIX, read_drains
from samphirehall.usage.counts import Counts
from samphirehall.usage.flusher import NEXT_WINDOW_KEY, UsageFlusher
from samphirehall.usage.operator import latest_windows
from samphirehall.usage.pending_usage import PendingUsage
from samphirehall.usage.reporter import UsageReporter
from samphirehall.usage.rows import Cell, Source, decode_row, row_key
from samphirehall.usage.windows import WindowCloser, frozen_key
from tests.support import odd_bytes
from tests.support.odd_rows import leave, odd_values
from tests.support.table import FaultyTable

pytestmark = pytest.mark.anyio

SOURCE = Source("h1/entry", 1)


@odd_values
async def test_odd_drain_request_leaves_the_others(value):
    table = FaultyTable()
    leave(table, DRAIN_KEY_PREFIX + "a/e1", value)
    sound = {"endpoint_id": "e2", "zone": "a", "asked_at": 1.0}
    table.store.transact([], [Write(DRAIN_KEY_PREFIX + "a/e2", sound)])
    assert [drain.endpoint_id for drain in await read_drains(table, "a")] == ["e2"]


@odd_values
async def test_odd_order_leaves_the_others(value):
    table = FaultyTable()
    journal = OrderJournal(table, "engines", EngineOrderRow)
    leave(table, "orders/open/engines/e1", value)
    leave(table, "orders/open/engines/e2", {"order": value, "sequence": 1})
    assert await journal.open_orders() == []
    with pytest.raises(PlatformUnavailableError):
        await journal.open_order("e1")


@odd_values
async def test_odd_pointer_is_no_answer_of_the_platform(value):
    table = FaultyTable()
    leave(table, POINTER_KEY, value)
    with pytest.raises(PlatformUnavailableError):
        await read_pointer(table)
    with pytest.raises(PlatformUnavailableError):
        await read_history(table)


@odd_values
async def test_odd_claim_is_refused_as_unknown(value):
    with pytest.raises(SamphireError):
        _decode_claim(Row("k", 1, value))


@odd_values
async def test_odd_usage_row_of_one_process_leaves_the_others(value):
    table = FaultyTable()
    leave(table, row_key(60, SOURCE), value)
    sound = {"direct": {"acme": [1, 2, 3]}, "late": {}}
    table.store.transact([], [Write(row_key(60, Source("h2/entry", 1)), sound)])
    figures = await WindowCloser(table, window_seconds=60)._sum_window(60)
    assert {name: item.requests for name, item in figures.items()} == {"acme": 1}


@odd_values
async def test_own_usage_row_that_is_odd_is_written_again(value):
    table, pending = FaultyTable(), PendingUsage()
    leave(table, NEXT_WINDOW_KEY, 60)
    leave(table, row_key(60, SOURCE), value)
    pending.record(SOURCE, Cell(60, "acme"), Counts(1, 2, 3), now=0.0)
    flusher = UsageFlusher(table, pending, window_seconds=60)
    await flusher.flush(SOURCE, changed_before=1.0, now=70.0)
    assert decode_row(table.value(row_key(60, SOURCE))).direct == {"acme": Counts(1, 2, 3)}


@pytest.mark.parametrize("value", ["odd", -1, 10**400, None, [], 1.5], ids=lambda v: str(v)[:20])
async def test_odd_number_of_the_next_window_is_no_answer_of_the_platform(value):
    table, pending = FaultyTable(), PendingUsage()
    leave(table, NEXT_WINDOW_KEY, value)
    pending.record(SOURCE, Cell(60, "acme"), Counts(1, 2, 3), now=0.0)
    flusher = UsageFlusher(table, pending, window_seconds=60)
    for call in (
        lambda: flusher.flush(SOURCE, changed_before=1.0, now=70.0),
        lambda: WindowCloser(table, window_seconds=60).step(None, grace=1.0, now=70.0),
        lambda: latest_windows(table, count=1, window_seconds=60),
    ):
        with pytest.raises(PlatformUnavailableError):
            await call()


async def test_count_of_a_window_long_ago_reads_a_bounded_number_of_rows():
    table, pending = FaultyTable(), PendingUsage()
    pending.record(SOURCE, Cell(0, "acme"), Counts(1, 2, 3), now=0.0)
    flusher = UsageFlusher(table, pending, window_seconds=1)
    state = await flusher._read(SOURCE, {0}, now=1_900_000_000.0)
    assert len(state.windows) <= 10_001


@odd_values
async def test_window_with_odd_frozen_figures_is_left_out(value):
    posted = []

    async def post(report, *, recheck):
        posted.append(report)

    reporter = UsageReporter(None, FaultyTable(), post=post, window_seconds=60)
    if value != {}:
        await reporter._post_row(None, 60, Row(frozen_key(60), 1, value))
    assert posted == []


async def test_odd_key_is_not_the_first_frozen_window():
    table = FaultyTable()
    for key in ("usage/frozen/", "usage/frozen/0x", "usage/frozen/" + "1" * 5_000):
        leave(table, key, {})
    leave(table, frozen_key(600), {})
    reporter = UsageReporter(None, table, post=None, window_seconds=60)
    assert await reporter._first_frozen_window() == 600


@given(odd_bytes.json_values)
def test_any_value_of_a_row_gives_a_number_or_no_answer(value):
    try:
        assert 0 <= convert_row(Row("k", 1, value), Unsigned) < 2**63
    except PlatformUnavailableError as error:
        assert len(str(error)) < 500


@given(odd_bytes.json_values | odd_bytes.changed({"direct": {}, "late": {}}))
def test_any_value_gives_a_usage_row_or_a_decoding_error(value):
    try:
        decode_row(value)
    except DecodingError:
        assert readable_rows([Row("k", 1, value)], decode_row) == []
