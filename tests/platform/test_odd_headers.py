"""Headers and answers with numbers that cannot be used."""

import json

import h11
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.core.errors import SamphireError
from samphirehall.gateway.wire_codec import Dispatch, KvHandle
from samphirehall.platform import wire
from tests.gateway.helpers import listed
from tests.platform.test_decoding import HEADERS
from tests.support import odd_bytes

LONG = odd_bytes.LONG_DIGITS
ODD_NUMBERS = [LONG, b"1" * 40, b"-5", b"nan", b"inf", b"1e400", b"\xb2", b"1_0", b"", b"0x1"]
header_values = st.one_of(
    st.binary(max_size=30).filter(lambda value: not set(value) & set(b"\0\r\n")),
    st.sampled_from(ODD_NUMBERS),
    st.integers(-(2**70), 2**70).map(lambda number: str(number).encode()),
)


def decode(changes=(), target=b"/a"):
    headers = [(name, dict(changes).get(name, value)) for name, value in HEADERS]
    return wire.decode_request("POST", target, headers, b"body", 10.0)


def check_request(request):
    assert request.timeout is None or 0 <= request.timeout < float("inf")
    assert request.resume_after is None or 0 <= request.resume_after < 2**63
    prompt = request.prompt
    msgspec.msgpack.encode([prompt.prompt_tokens, prompt.output_tokens, prompt.shared_tokens])
    for part in prompt.parts:
        assert 0 <= part.tokens <= wire.MAX_TOKENS
        assert 0 < len(part.part_id) <= wire.MAX_PART_ID_CHARACTERS
    assert prompt.prompt_tokens >= 0 and prompt.output_tokens >= 0


class TestRequests:
    @pytest.mark.parametrize("value", ODD_NUMBERS)
    def test_odd_counts_of_tokens_are_refused(self, value):
        for changes in (
            {wire.TOKEN_COUNTS_HEADER: value + b",80"},
            {wire.TOKEN_COUNTS_HEADER: b"80," + value},
            {wire.PROMPT_PARTS_HEADER: b"5c:" + value},
        ):
            with pytest.raises(SamphireError) as caught:
                decode(changes.items())
            assert caught.value.result.http_status == 400

    @pytest.mark.parametrize("value", [LONG, b"\xb2", b"1" * 40, b"-1"])
    def test_odd_number_of_the_last_event_is_none(self, value):
        assert decode([(b"last-event-id", value)]).resume_after is None

    @pytest.mark.parametrize("parts", [b":5", b"x" * 200 + b":5"])
    def test_odd_name_of_a_part_is_refused(self, parts):
        with pytest.raises(SamphireError):
            decode([(wire.PROMPT_PARTS_HEADER, parts)])

    @pytest.mark.parametrize("target", [b"/\xc3\xa9", b"/a b", b"/\x7f", b""])
    def test_target_that_cannot_be_forwarded_is_refused(self, target):
        with pytest.raises(SamphireError) as caught:
            decode(target=target)
        assert caught.value.result.http_status == 400

    @given(
        st.dictionaries(
            st.sampled_from(
                [
                    wire.DEADLINE_HEADER,
                    wire.TOKEN_COUNTS_HEADER,
                    wire.PROMPT_PARTS_HEADER,
                    wire.LAST_EVENT_HEADER,
                ]
            ),
            st.one_of(
                header_values,
                st.tuples(header_values, header_values).map(lambda pair: b",".join(pair)),
                st.tuples(header_values, header_values).map(lambda pair: b":".join(pair)),
            ),
        )
    )
    def test_any_numbers_give_a_usable_request_or_a_refusal(self, changes):
        try:
            request = decode(changes.items())
        except SamphireError as error:
            assert error.result.http_status == 400
            return
        check_request(request)


class TestAnswers:
    @given(st.one_of(odd_bytes.documents, odd_bytes.changed_documents({"kv_handle": "c0ffee"})))
    def test_any_answer_to_a_prefill_gives_a_handle_that_can_be_sent_or_a_value_error(self, body):
        try:
            handle = wire.decode_kv_handle(body)
        except ValueError:
            return
        method, target = wire.kv_release_call(handle)
        h11.Request(method=method, target=target, headers=[("Host", "-")])
        dispatch = Dispatch(listed("i-1"), None, 2, 1.0, kv_handle=KvHandle("10.0.0.1:80", handle))
        headers = wire.request_headers(decode(), dispatch)
        h11.Request(method="POST", target="/", headers=headers)

    @pytest.mark.parametrize("handle", ["", "a b", "a\r\nX: 1", "é", "x" * 1_000_000])
    def test_odd_handle_is_none(self, handle):
        with pytest.raises(ValueError):
            wire.decode_kv_handle(json.dumps({"kv_handle": handle}).encode())

    def test_deep_answer_to_a_prefill_raises_value_error(self):
        with pytest.raises(ValueError):
            wire.decode_kv_handle(b'{"kv_handle":"a","x":' + odd_bytes.DEEP_LIST + b"}")

    @given(header_values)
    def test_any_limit_is_within_its_bounds_or_none(self, value):
        limit = wire.endpoint_limit([(wire.LIMIT_HEADER, value)])
        assert limit is None or 0 <= limit <= wire.MAX_LIMIT_REQUESTS_PER_SECOND

    def test_odd_limits_are_logged_once(self, caplog):
        for _ in range(50):
            wire.endpoint_limit([(wire.LIMIT_HEADER, b"x" * 10_000)])
        assert sum(len(str(record.__dict__)) for record in caplog.records) < 2_000
