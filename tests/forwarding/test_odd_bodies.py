"""Bodies and headers of callers that cannot be used."""

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.core.decoding import MAX_INTEGER
from samphirehall.core.errors import SamphireError
from samphirehall.forwarding.inbound import deadline_seconds, parse_completion
from tests.support import odd_bytes

BODY = {"model": "m", "messages": [{"role": "user", "content": "x"}], "max_tokens": 5}


def check(completion):
    assert completion.max_tokens is None or 1 <= completion.max_tokens <= MAX_INTEGER
    msgspec.json.encode([completion.messages, completion.sampling])


@pytest.mark.parametrize("chat", [True, False])
@given(odd_bytes.documents | odd_bytes.changed_documents({**BODY, "prompt": "x", "seed": 1}))
def test_any_body_gives_a_completion_that_can_be_sent_or_a_refusal(chat, content):
    try:
        completion = parse_completion(content, chat=chat)
    except SamphireError as error:
        assert error.result.http_status == 400
        return
    check(completion)


@pytest.mark.parametrize(
    "change",
    [
        {"max_tokens": 10**400},
        {"max_tokens": 2**70},
        {"max_completion_tokens": 2**64},
    ],
    ids=lambda change: str(change)[:30],
)
def test_limit_of_tokens_over_64_bits_is_refused(change):
    with pytest.raises(SamphireError) as caught:
        parse_completion(json.dumps({**BODY, **change}).encode(), chat=True)
    assert caught.value.result.http_status == 400 and len(caught.value.detail) < 500


def test_large_number_for_the_engine_is_passed_on():
    completion = parse_completion(json.dumps({**BODY, "seed": 2**70}).encode(), chat=True)
    assert completion.sampling["seed"] == 2**70


@pytest.mark.parametrize("body", odd_bytes.ODD_DOCUMENTS, ids=range(8))
def test_odd_body_is_refused(body):
    with pytest.raises(SamphireError):
        parse_completion(body, chat=True)


@given(st.binary(max_size=20) | st.sampled_from([odd_bytes.LONG_DIGITS, b"nan", b"1e400", b"inf"]))
def test_any_deadline_gives_seconds_in_range_or_a_refusal(value):
    scope = {"headers": [(b"samphire-deadline", value)]}
    try:
        assert 0 < deadline_seconds(scope, default=5.0) <= 5.0
    except SamphireError as error:
        assert error.result.http_status == 400
