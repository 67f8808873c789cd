"""Removal of customer keys from forwarded requests, and refusal of invalid bodies."""

import string

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from samphirehall.core.errors import SamphireError
from samphirehall.core.identifiers import KEY_PREFIX
from samphirehall.core.results import BAD_REQUEST
from samphirehall.forwarding.inbound import (
    SECRET_HEADERS,
    endpoint_headers,
    endpoint_query,
    parse_completion,
)
from samphirehall.forwarding.service_answer import endpoint_path

KEYS = st.text(string.ascii_letters + string.digits + "-_", min_size=8, max_size=40).map(
    lambda suffix: KEY_PREFIX + suffix
) | st.text(string.ascii_letters + string.digits, min_size=8, max_size=40)
TEXT = st.text(string.ascii_letters + string.digits + " =&%;,", max_size=20)
NAMES = st.sampled_from(
    ["accept", "x-note", "authorization", "x-api-key", "cookie", "referer", "connection"]
)


class TestSecrets:
    @given(key=KEYS, headers=st.lists(st.tuples(NAMES, TEXT, st.booleans(), TEXT)))
    def test_no_header_carries_the_key(self, key, headers):
        headers_in = [
            (name.encode(), (before + (key if carries else "") + after).encode())
            for name, before, carries, after in headers
        ]
        forwarded = endpoint_headers(headers_in, key)
        assert all(key.encode() not in value for _, value in forwarded)
        assert not {name for name, _ in forwarded} & SECRET_HEADERS
        allowed = [item for item in headers_in if item[0] in (b"accept", b"x-note", b"referer")]
        assert forwarded == [item for item in allowed if key.encode() not in item[1]]

    @given(
        key=KEYS,
        parameters=st.lists(
            st.tuples(st.sampled_from(["lot", "Key", "token", "note"]), TEXT, st.booleans())
        ),
        escape=st.booleans(),
    )
    def test_no_parameter_carries_the_key(self, key, parameters, escape):
        sent_key = "".join(f"%{ord(character):02x}" for character in key) if escape else key
        query = "&".join(
            f"{name}={_alphanumeric(value)}{sent_key if carries else ''}"
            for name, value, carries in parameters
        )
        forwarded = endpoint_query(query.encode(), key)
        assert key not in forwarded and sent_key not in forwarded
        assert not any(f"{name}=" in f"&{forwarded}" for name in ("&Key", "&token"))

    @pytest.mark.parametrize("path", ["/services/stock/sk-samphire-x", "/services/stock/my-key/a"])
    def test_a_path_with_a_key_is_refused(self, path):
        with pytest.raises(SamphireError) as raised:
            endpoint_path({"path": path, "raw_path": b"/services/stock/%73k"}, "my-key")
        assert raised.value.result is BAD_REQUEST

    @pytest.mark.parametrize(
        ("raw", "expected"),
        [
            (b"/services/stock/a%2Fb%20c", "/a%2Fb%20c"),
            (b"/services/stock", "/"),
            (b"/services/stock/a\r\nX: y", "/a%0D%0AX:%20y"),
        ],
    )
    def test_a_path_keeps_its_encoding(self, raw, expected):
        scope = {"path": "/services/stock/x", "raw_path": raw}
        assert endpoint_path(scope, None) == expected


def _alphanumeric(text):
    return "".join(character for character in text if character.isalnum())


class TestParseCompletion:
    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"{",
            b"\xff\xfe",
            b"[]",
            b'{"model": 1}',
            b'{"model": "m"}',
            b'{"model": "m", "messages": []}',
            b'{"model": "m", "messages": [{"content": "x"}], "max_tokens": 0}',
            b"[" * 200_000,
            b'{"model": "m", "messages": ' + b'[{"a":' * 100_000,
        ],
        ids=range(10),
    )
    def test_an_invalid_body_is_refused(self, body):
        with pytest.raises(SamphireError) as raised:
            parse_completion(body, chat=True)
        assert raised.value.result is BAD_REQUEST

    def test_deeply_nested_valid_json_is_refused(self):
        deep = b"[" * 50_000 + b"]" * 50_000
        body = b'{"model": "m", "messages": [{"content": "x"}], "extra": ' + deep + b"}"
        with pytest.raises(SamphireError) as raised:
            parse_completion(body, chat=True)
        assert raised.value.result is BAD_REQUEST

    def test_other_parameters_are_forwarded(self):
        body = {"model": "m", "messages": [{"content": "x"}], "temperature": 0.5}
        completion = parse_completion(msgspec.json.encode(body), chat=True)
        assert completion.sampling == {"temperature": 0.5}
