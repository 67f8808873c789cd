"""With any one process killed, callers get complete answers or correct refusals with a code."""

import urllib.error

import pytest

from demo.cluster import Answer, call, wait_listening, wait_ready
from demo.run import apply_configuration, demo_cluster
from samphirehall.core.results import RunState, by_code
from samphirehall.standins.engine import token_at

PROGRAMS = (
    "platform",
    "engine-1",
    "engine-2",
    "desk-1",
    "host-a-control",
    "host-b-control",
    "host-a-entry",
    "host-b-entry",
)
MAX_TOKENS = 8


@pytest.fixture(scope="module")
def demo(tmp_path_factory):
    cluster = demo_cluster(tmp_path_factory.mktemp("demo"))
    try:
        cluster.start()
        keys = apply_configuration(cluster)
        for host in cluster.hosts:
            wait_ready(host.entry)
        yield cluster, keys["petal-coop"]
    finally:
        cluster.stop()
        cluster.kill_all()


def complete(entry, key, prompt):
    body = {
        "model": "answer",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": MAX_TOKENS,
    }
    headers = {"Authorization": f"Bearer {key}", "Samphire-Deadline": "5"}
    return call(entry, "POST", "/v1/chat/completions", body, headers=headers)


def book(entry, key, name):
    headers = {
        "Authorization": f"Bearer {key}",
        "Idempotency-Key": name,
        "Samphire-Deadline": "3",
    }
    return call(entry, "POST", "/services/bookings/freight", {"lot": name}, headers=headers)


def is_complete_and_correct(answer: Answer, prompt: str) -> bool:
    text = answer.json()["choices"][0]["message"]["content"]
    return text == "".join(token_at("answer", prompt, index) for index in range(MAX_TOKENS))


def assert_complete_or_refused(answer: Answer, is_complete: bool) -> None:
    result = by_code(int(answer.headers["samphire-result"]))
    if answer.status == 200:
        assert is_complete
    else:
        assert answer.status == result.http_status
        assert answer.headers["samphire-run"] == result.run


def serving_entries(cluster, killed):
    return [host.entry for host in cluster.hosts if f"{host.name}-entry" != killed]


def restart(cluster, name):
    cluster.programs[name].start()
    wait_listening(cluster.platform)
    for endpoint in cluster.endpoints:
        wait_listening(endpoint.address)
    for host in cluster.hosts:
        wait_listening(host.operator)
        wait_listening(host.entry)
        wait_ready(host.entry)


class TestKillOne:
    @pytest.mark.parametrize("killed", PROGRAMS)
    def test_callers_get_whole_answers_or_true_refusals(self, demo, killed):
        cluster, key = demo
        cluster.programs[killed].kill()
        try:
            for number, entry in enumerate(serving_entries(cluster, killed)):
                prompt = f"lot {killed} {number}"
                completion = complete(entry, key, prompt)
                assert completion.status == 200, completion.body
                assert is_complete_and_correct(completion, prompt)
                booking = book(entry, key, f"{killed}-{number}")
                assert_complete_or_refused(booking, booking.status == 200)
        finally:
            restart(cluster, killed)

    def test_a_killed_entry_refuses_connections(self, demo):
        cluster, key = demo
        cluster.programs["host-a-entry"].kill()
        try:
            with pytest.raises(urllib.error.URLError):
                complete(cluster.hosts[0].entry, key, "nobody hears this")
        finally:
            restart(cluster, "host-a-entry")

    @pytest.mark.parametrize("killed, code", [("platform", 2011), ("desk-1", 2008)])
    def test_a_booking_that_cannot_run_says_so(self, demo, killed, code):
        cluster, key = demo
        cluster.programs[killed].kill()
        try:
            answer = book(cluster.hosts[0].entry, key, f"refused-{killed}")
            assert int(answer.headers["samphire-result"]) == code
            assert answer.headers["samphire-run"] == RunState.NOT_RUN
        finally:
            restart(cluster, killed)
