"""Decoding of valid and invalid settings, documents and requests."""

import json

import pytest

from samphirehall.admission.quota import Quota
from samphirehall.core.errors import SamphireError
from samphirehall.gateway.types import RequestKind, Stage
from samphirehall.gateway.wire_codec import Dispatch, KvHandle
from samphirehall.platform import documents, wire
from samphirehall.platform.settings import HEDGING_VARIABLE, SettingsError, parse_settings
from tests.gateway.helpers import listed

SETTINGS = {
    "node": "front-a-1",
    "zone": "a",
    "region": "r",
    "ip": "10.1.0.31",
    "listen.front": "10.1.0.31:8368",
    "listen.ready": "10.1.0.31:8369",
    "port_range": "7780,7795",
    "bounds.drain_ms": "2000",
    "bounds.grace_s": "8",
    "bounds.lease_ms": "3000",
    "bounds.report_window_s": "5",
    "bounds.usage_late_s": "10",
    "bounds.budget_ratio": "0.2",
    "bounds.retry_slack": "56",
    "bounds.budget_window_s": "10",
    "platform.address": "10.200.1.7:8362",
    "platform.row_bytes": "65536",
    "cloud.address": "10.200.0.99:8362",
    "cloud.duties": "usage_report,autoscale",
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "H.example",
            "prefix": "/p/",
            "kind": "streaming",
            "timeout_ms": 4000,
            "latency_goal_ms": 500,
            "priority": 1,
            "split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
            "max_attempts": 2,
            "resumable": True,
            "target_gap_ms": 150,
            "a_new_field": 1,
        },
        {"name": "r2", "host": "h", "prefix": "/q/", "kind": "of-a-new-kind", "service": "s"},
    ],
    "services": [
        {
            "name": "s",
            "max_conns": 370,
            "engine": {
                "slots": 64,
                "kv_tokens": 484150,
                "kv_token_bytes": 163840,
                "link_mbps": 1700000.0,
                "handle_ttl_s": 5.0,
            },
            "scaling": {"min": 1, "max": 4, "boot_s": 4.0, "spot_price": 0.18},
        }
    ],
    "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
    "tenants": [{"name": "acme", "api_keys": ["k1", "k2"], "priority": 1}],
}
ENTRY = {"service": "s", "address": "10.0.0.9:80", "zone": "a", "slots": 64, "state": "ready"}


def settings_text(**changes):
    fields = {**SETTINGS, **changes}
    return "\n".join(f"{name}={value}" for name, value in fields.items() if value is not None)


class TestSettings:
    def test_times_are_converted_to_seconds(self):
        settings = parse_settings(settings_text(unknown="x"), file="f")
        assert (settings.drain_timeout, settings.lease_time) == (2.0, 3.0)
        assert (settings.min_peer_port, settings.max_peer_port) == (7780, 7795)
        assert settings.duties == ("usage_report", "autoscale")

    @pytest.mark.parametrize(
        ("text", "names"), [("pressure", {"pressure"}), ("a, pressure,b", {"a", "pressure", "b"})]
    )
    def test_contracts_are_a_list_of_names(self, text, names):
        assert parse_settings(settings_text(contracts=text), file="f").contracts == names
        assert "pressure" not in parse_settings(settings_text(), file="f").contracts

    def test_quota_bounds_have_defaults(self):
        for changes, expected in (
            ({}, (8.0, 0.1, 0.0)),
            ({"bounds.quota_window_s": "5", "bounds.quota_slack": "190000"}, (5.0, 0.1, 190_000.0)),
        ):
            made = parse_settings(settings_text(**changes), file="f")
            assert (made.quota_window, made.quota_overrun, made.quota_slack) == expected

    def test_limits_on_clients_are_optional(self):
        settings = parse_settings(settings_text(**{"limits.client_connections": "90"}), file="f")
        assert (settings.max_client_connections, settings.max_client_bytes) == (90, 0)

    def test_every_problem_is_listed(self):
        text = settings_text(**{"node": None, "platform.address": "nowhere", "bounds.grace_s": "x"})
        with pytest.raises(SettingsError) as caught:
            parse_settings(text, file="f")
        keys = {problem.key for problem in caught.value.problems}
        assert {"node", "platform.address", "bounds.grace_s"} <= keys

    @pytest.mark.parametrize("number", ["nan", "inf", "-1"])
    def test_numbers_must_be_finite_and_not_negative(self, number):
        with pytest.raises(SettingsError) as caught:
            parse_settings(settings_text(**{"bounds.lease_ms": number}), file="f")
        assert [problem.key for problem in caught.value.problems] == ["bounds.lease_ms"]

    # Guards against hedging that is on without being asked for, and against an environment
    # that overrides the file.
    @pytest.mark.parametrize(
        ("in_file", "in_environment", "share"),
        [
            (None, None, 0.0),
            ("0.05", None, 0.05),
            (None, "0.1", 0.1),
            ("0.05", "0.1", 0.05),
            ("0", "0.1", 0.0),
            ("1", "7", 1.0),
        ],
    )
    def test_hedging_share_of_the_file_overrides_the_environment(
        self, monkeypatch, in_file, in_environment, share
    ):
        monkeypatch.delenv(HEDGING_VARIABLE, raising=False)
        if in_environment is not None:
            monkeypatch.setenv(HEDGING_VARIABLE, in_environment)
        text = settings_text(**{"hedging.max_share": in_file})
        assert parse_settings(text, file="f").hedging_max_share == share

    @pytest.mark.parametrize("share", ["1.01", "-0.1", "nan", "x", "inf"])
    def test_hedging_share_must_be_from_0_to_1(self, monkeypatch, share):
        monkeypatch.delenv(HEDGING_VARIABLE, raising=False)
        with pytest.raises(SettingsError) as caught:
            parse_settings(settings_text(**{"hedging.max_share": share}), file="f")
        assert [problem.key for problem in caught.value.problems] == ["hedging.max_share"]
        monkeypatch.setenv(HEDGING_VARIABLE, share)
        with pytest.raises(SettingsError) as caught:
            parse_settings(settings_text(), file="f")
        assert [problem.key for problem in caught.value.problems] == [HEDGING_VARIABLE]


class TestConfiguration:
    def test_names_and_units_are_converted(self):
        made = documents.decode_configuration(json.dumps(CONFIGURATION).encode())
        route = made.routes[0]
        assert (route.kind, route.timeout, route.latency_target) == (RequestKind.STREAM, 4.0, 0.5)
        assert (route.host, route.inter_event_gap_target, route.resumable) == (
            "h.example",
            0.15,
            True,
        )
        assert [share.weight for share in route.shares] == [90, 10]
        assert made.services["s"].engine.link_bits_per_second == 1.7e12
        assert made.customers_by_key["k2"].name == "acme"
        assert (made.caller_limits.max_head_bytes, made.caller_limits.idle_timeout) == (16384, 15.0)

    def test_route_of_an_unknown_kind_is_left_out(self):
        made = documents.decode_configuration(json.dumps(CONFIGURATION).encode())
        assert [route.name for route in made.routes] == ["r1"]

    def test_document_without_tenants_requires_no_key(self):
        document = {key: value for key, value in CONFIGURATION.items() if key != "tenants"}
        made = documents.decode_configuration(json.dumps(document).encode())
        assert made.customers_by_key is None

    @pytest.mark.parametrize("content", [b"", b"{", b"\xff", b'{"version":"x"}'])
    def test_invalid_document_raises(self, content):
        with pytest.raises(ValueError, match="configuration"):
            documents.decode_configuration(content)


class TestQuotas:
    @pytest.mark.parametrize(
        ("fields", "quota"),
        [
            ({}, None),
            ({"rate_per_s": 0, "burst": 5}, None),
            ({"rate_per_s": 50, "burst": 100}, Quota(50.0, 100.0)),
            ({"rate_per_s": 0.5}, Quota(0.5, 1.0)),
            (
                {"rate_per_s": 9e5, "burst": 9e5, "unit": "token_stream", "plain_tokens": 1460},
                Quota(9e5, 9e5, True, 1460.0),
            ),
        ],
    )
    def test_quota_is_decoded(self, fields, quota):
        assert self.decoded(**fields).customers_by_key["k1"].quota == quota

    @pytest.mark.parametrize(
        "fields",
        [
            {"rate_per_s": -1},
            {"rate_per_s": 1, "burst": -1},
            {"rate_per_s": "x"},
            {"rate_per_s": 1e300},
            {"rate_per_s": 10, "burst": 0.5},
            {"rate_per_s": 10, "burst": 1459, "unit": "token_stream", "plain_tokens": 1460},
        ],
    )
    def test_bad_quota_refuses_the_document(self, fields):
        with pytest.raises(ValueError, match="configuration"):
            self.decoded(**fields)

    @pytest.mark.parametrize("number", ["NaN", "Infinity", "-Infinity"])
    def test_number_that_is_none_refuses_the_document(self, number):
        content = json.dumps({**CONFIGURATION, "tenants": [{"name": "a", "burst": 77}]})
        with pytest.raises(ValueError, match="configuration"):
            documents.decode_configuration(content.replace("77", number).encode())

    def decoded(self, **fields):
        tenant = {**CONFIGURATION["tenants"][0], **fields}
        content = json.dumps({**CONFIGURATION, "tenants": [tenant]}).encode()
        return documents.decode_configuration(content)


class TestEndpoints:
    def test_valid_entry_is_decoded(self):
        entry = {**ENTRY, "stage": "decode", "spot": True, "born": 12}
        found = documents.decode_endpoint("i-1", json.dumps(entry).encode())
        assert (found.ready, found.stage, found.cheap, found.started_at_milliseconds) == (
            True,
            Stage.DECODE,
            True,
            12,
        )

    def test_software_version_is_decoded(self):
        entry = {**ENTRY, "version": "v1.1"}
        assert documents.decode_endpoint("i-1", json.dumps(entry).encode()).software_version == (
            "v1.1"
        )
        assert documents.decode_endpoint("i-1", json.dumps(ENTRY).encode()).software_version == ""

    def test_draining_endpoint_is_not_ready(self):
        entry = {**ENTRY, "state": "draining"}
        assert not documents.decode_endpoint("i-1", json.dumps(entry).encode()).ready

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "odd"},
            {"slots": "many"},
            {"address": "nowhere"},
            {"address": 7},
            {"stage": "odd"},
            {"service": None},
            {"version": 1},
            {"version": "v" * 101},
        ],
        ids=str,
    )
    def test_entry_with_an_invalid_field_is_none(self, change):
        assert documents.decode_endpoint("i-1", json.dumps({**ENTRY, **change}).encode()) is None

    @pytest.mark.parametrize("content", [b"", b"\xff\x00", b"[]", b"null"])
    def test_undecodable_entry_is_none(self, content):
        assert documents.decode_endpoint("i-1", content) is None


HEADERS = [
    (b"host", b"H.example:80"),
    (b"x-request-id", b"r1"),
    (b"x-deadline-ms", b"1500"),
    (b"x-key", b"secret"),
    (b"x-model", b"m"),
    (b"x-token-counts", b"1460,80"),
    (b"x-prompt-prefix", b"5c:800,91:410,e4:250"),
    (b"last-event-id", b"12"),
    (b"accept", b"*/*"),
]
FORGED = [
    (b"x-tenant", b"other"),
    (b"x-kv-hold", b"1"),
    (b"x-pin-ms", b"1"),
    (b"x-kv-backup", b"1"),
    (b"x-kv-source", b"1"),
    (b"x-stage", b"prefill"),
    (b"x-expect-instance", b"i-9"),
    (b"x-request-urgency", b"0"),
]


def decode(extra=(), without=()):
    headers = [pair for pair in [*HEADERS, *extra] if pair[0] not in without]
    return wire.decode_request("POST", b"/a?b=1", headers, b"body", 10.0)


class TestRequests:
    def test_headers_are_decoded(self):
        request = decode()
        assert (request.host, request.path, request.target) == ("h.example", "/a", b"/a?b=1")
        assert (request.timeout, request.resume_after, request.key) == (1.5, 12, "secret")
        assert request.prompt.prompt_tokens == 1460
        assert request.prompt.shared_tokens == 1210

    @pytest.mark.parametrize("without", [b"x-request-id"])
    def test_request_without_an_id_is_refused(self, without):
        with pytest.raises(SamphireError) as caught:
            decode(without=[without])
        assert caught.value.result.http_status == 400

    def test_resumed_request_is_decoded_and_passed_on(self):
        assert decode().resumes is None
        request = decode([(b"resumes", b"r0")])
        assert request.resumes == "r0"
        headers = wire.request_headers(request, Dispatch(listed("i-1"), None, 2, 1.0))
        assert (b"resumes", b"r0") in headers

    def test_body_with_length_and_transfer_encoding_is_refused(self):
        with pytest.raises(SamphireError):
            decode([(b"content-length", b"4"), (b"transfer-encoding", b"chunked")])

    @pytest.mark.parametrize(
        "pair",
        [(b"x-deadline-ms", b"soon"), (b"x-token-counts", b"1"), (b"x-prompt-prefix", b"a:b")],
    )
    def test_invalid_numbers_are_refused(self, pair):
        with pytest.raises(SamphireError):
            decode([pair], without=[pair[0]] if pair[0] == b"x" else [])

    def test_headers_reserved_for_the_system_are_stripped_from_clients(self):
        request = decode(FORGED)
        headers = wire.request_headers(request, Dispatch(listed("i-1"), "acme", 2, 1.25))
        found = dict(headers)
        assert len(found) == len(headers)
        assert found[b"x-tenant"] == b"acme" and found[b"x-expect-instance"] == b"i-1"
        assert found[b"x-deadline-ms"] == b"1250" and found[b"x-request-urgency"] == b"2"
        for name in (b"x-key", b"x-kv-hold", b"x-pin-ms", b"x-kv-backup", b"x-kv-source"):
            assert name not in found
        assert b"x-stage" not in found and found[b"x-token-counts"] == b"1460,80"

    def test_send_carries_kv_source_and_last_event_id(self):
        kv_handle = KvHandle("10.0.0.1:80", "c0ffee")
        dispatch = Dispatch(listed("i-1"), None, 2, 1.0, kv_handle=kv_handle, resume_after=5)
        found = dict(wire.request_headers(decode(), dispatch))
        assert found[b"x-kv-source"] == b"10.0.0.1:80/c0ffee" and found[b"last-event-id"] == b"5"


class TestAnswers:
    def test_answer_is_matched_by_its_echoed_request_id(self):
        assert wire.matches_request("r1", [(b"x-request-id", b"r1")])
        assert not wire.matches_request("r1", [(b"x-request-id", b"r2")])
        assert not wire.matches_request("r1", [])

    @pytest.mark.parametrize(
        ("status", "headers", "expected"),
        [
            (421, [], True),
            (503, [(b"x-not-executed", b"1")], True),
            (503, [], False),
            (500, [], False),
        ],
    )
    def test_only_the_statement_means_not_run(self, status, headers, expected):
        assert wire.reports_not_run(status, headers) is expected

    @pytest.mark.parametrize(
        ("value", "expected"),
        [(b"2.2", 2.2), (b"0", 0.0), (b"-1", None), (b"many", None), (b"inf", None), (b"", None)],
    )
    def test_limit_of_an_endpoint_is_a_number_of_requests_a_second(self, value, expected):
        assert wire.endpoint_limit([(b"server-limit", value)]) == expected
        assert wire.endpoint_limit([(b"x-other", value)]) is None

    def test_encoded_body_does_not_count_as_signed(self):
        signature = (b"x-response-stamp", b"s")
        assert wire.is_signed([signature])
        assert not wire.is_signed([signature, (b"content-encoding", b"gzip")])
