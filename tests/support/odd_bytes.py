"""Bytes from outside that are valid JSON and still unusable, for property tests."""

import json

from hypothesis import strategies as st

DEEP = 200_000
DEEP_LIST = b"[" * DEEP + b"]" * DEEP
DEEP_MAP = b'{"a":' * DEEP + b"1" + b"}" * DEEP
LONG_DIGITS = b"1" * 5_000
ODD_DOCUMENTS = (b"", b"\xff", b"null", b"[]", b'"\\ud800"', LONG_DIGITS, DEEP_LIST, DEEP_MAP)

numbers = st.one_of(
    st.integers(),
    st.integers(-(2**80), 2**80),
    st.sampled_from([2**63, 2**64, 10**40, 10**400, -1, 0, 1e300, -0.0]),
    st.floats(allow_nan=False, allow_infinity=False),
)
texts = st.one_of(
    st.text(max_size=20),
    st.sampled_from(["\0", "a\nb", " a", "x" * 1_000_000, "10.0.0.1:80", "1" * 5_000, "²", "٣"]),
)
json_values = st.recursive(
    st.one_of(st.none(), st.booleans(), numbers, texts),
    lambda inner: st.one_of(
        st.lists(inner, max_size=4), st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
documents = st.one_of(
    st.binary(max_size=200),
    st.sampled_from(ODD_DOCUMENTS),
    json_values.map(lambda value: json.dumps(value).encode()),
)


def changed(valid):
    """Return a strategy of a valid JSON object in which some fields have any value."""
    return st.fixed_dictionaries({}, optional=dict.fromkeys(valid, json_values)).map(
        lambda fields: {**valid, **fields}
    )


def changed_documents(valid):
    """Return a strategy of encoded JSON objects; see `changed`."""
    return changed(valid).map(lambda value: json.dumps(value).encode())
