"""Planned stop of an entry process under load."""

import contextlib
import http.client
import json
import signal
import time

import pytest

from demo.cluster import Cluster, Endpoint, Host, call, wait_ready
from demo.run import apply_configuration
from samphirehall.standins.engine import token_at

GRACE_SECONDS = 1.0
TOKENS = 60
DECODE_STEP_SECONDS = 0.03


@contextlib.contextmanager
def running_cluster(tmp_path, settings=""):
    endpoints = [
        Endpoint(
            "engine-1",
            "engine",
            "prairie-1",
            ["answer"],
            options=[f"--step_base_seconds={DECODE_STEP_SECONDS}"],
        ),
        Endpoint("desk-1", "service", "prairie-1", ["order-desk"]),
    ]
    cluster = Cluster(tmp_path, [Host("host-a", "prairie-1")], endpoints)
    cluster.extra_settings["entry"] = f"shutdown_grace_seconds = {GRACE_SECONDS}\n{settings}"
    try:
        cluster.start()
        yield cluster
    finally:
        cluster.kill_all()


@pytest.fixture
def cluster(tmp_path):
    with running_cluster(tmp_path) as cluster:
        yield cluster


@pytest.fixture
def short_cluster(tmp_path):
    with running_cluster(tmp_path, "shutdown_limit_seconds = 3.0\n") as cluster:
        yield cluster


def open_stream(entry, headers, prompt):
    """Start a streamed completion and return its connection and its response, body unread."""
    body = {
        "model": "answer",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": TOKENS,
        "stream": True,
    }
    connection = http.client.HTTPConnection(entry, timeout=20)
    connection.request("POST", "/v1/chat/completions", json.dumps(body), headers)
    return connection, connection.getresponse()


def streamed_text(answer):
    """Return the text of a streamed response; fail if its end marker is missing."""
    data = [line[6:] for line in answer.read().decode().splitlines() if line[:6] == "data: "]
    assert data[-1] == "[DONE]"
    chunks = [json.loads(item) for item in data[:-1]]
    return "".join(chunk["choices"][0]["delta"].get("content", "") for chunk in chunks)


class TestPlannedStop:
    def test_nothing_is_cut_or_refused(self, cluster):
        keys = apply_configuration(cluster)
        entry = cluster.hosts[0].entry
        wait_ready(entry)
        headers = {"Authorization": f"Bearer {keys['petal-coop']}"}
        streams = [open_stream(entry, headers, f"lot {number}") for number in range(5)]
        program = cluster.programs["host-a-entry"]
        program.signal(signal.SIGTERM)
        time.sleep(GRACE_SECONDS / 4)
        assert call(entry, "GET", "/healthz/ready").status == 503
        assert call(entry, "GET", "/healthz/live").status == 200
        late = call(entry, "GET", "/services/stock/lots/14", headers=headers)
        assert late.status == 200 and late.headers["connection"] == "close"
        streams.append(open_stream(entry, headers, "lot 5"))
        for number, (connection, answer) in enumerate(streams):
            expected = [token_at("answer", f"lot {number}", index) for index in range(TOKENS)]
            assert streamed_text(answer) == "".join(expected)
            connection.close()
        assert program.wait(10) == 0

    def test_stream_that_comes_late_in_a_stop_is_refused_rather_than_cut(self, short_cluster):
        cluster = short_cluster
        keys = apply_configuration(cluster)
        entry = cluster.hosts[0].entry
        wait_ready(entry)
        headers = {"Authorization": f"Bearer {keys['petal-coop']}"}
        program = cluster.programs["host-a-entry"]
        program.signal(signal.SIGTERM)
        time.sleep(GRACE_SECONDS / 2)
        connection, running = open_stream(entry, headers, "lot 1")
        time.sleep(GRACE_SECONDS)
        late = open_stream(entry, headers, "lot 2")[1]
        assert late.status == 503 and late.headers["samphire-run"] == "not-run"
        in_time = {**headers, "Samphire-Deadline": "0.5"}
        assert call(entry, "GET", "/services/stock/lots/14", headers=in_time).status == 200
        expected = [token_at("answer", "lot 1", index) for index in range(TOKENS)]
        assert streamed_text(running) == "".join(expected)
        connection.close()
        assert program.wait(10) == 0

    def test_serves_through_the_grace_time_with_nothing_open(self, cluster):
        keys = apply_configuration(cluster)
        entry = cluster.hosts[0].entry
        wait_ready(entry)
        headers = {"Authorization": f"Bearer {keys['petal-coop']}"}
        program = cluster.programs["host-a-entry"]
        program.signal(signal.SIGTERM)
        time.sleep(GRACE_SECONDS / 2)
        assert call(entry, "GET", "/services/stock/lots/14", headers=headers).status == 200
        assert program.wait(10) == 0
