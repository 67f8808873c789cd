"""The demonstration: a small system on loopback that gets one request of each kind."""

import json
import re
import sys
import tempfile
from pathlib import Path

from demo.cluster import Answer, Cluster, Endpoint, Host, call, wait_ready
from samphirehall.standins.engine import token_at

PROMPT = "Lot 14, rose, dried in August: is it fit for the wedding on Saturday?"
MAX_TOKENS = 16
GRACE_SECONDS = 0.5


class DemoError(Exception):
    """An answer in the demonstration was incomplete or wrong."""


def check(condition: bool, message: str) -> None:
    """Raise `DemoError` with the message if the condition is false."""
    if not condition:
        raise DemoError(message)


def new_key(cluster: Cluster) -> tuple[str, str]:
    """Return a new customer key and its digest."""
    output = cluster.ctl("key", "new").stdout
    key = re.search(r"key \(shown once\): (\S+)", output)
    digest = re.search(r"digest: (\S+)", output)
    check(key is not None and digest is not None, f"samphirectl key new: {output!r}")
    return key[1], digest[1]


def apply_configuration(cluster: Cluster) -> dict[str, str]:
    """Apply the demonstration's configuration and return the customers' keys."""
    text = (Path(__file__).parent / "coop.toml").read_text()
    keys = {}
    for customer in ("petal-coop", "retakeline"):
        keys[customer], digest = new_key(cluster)
        text = text.replace(f"@{customer}@", digest)
    path = cluster.folder / "coop.toml"
    path.write_text(text)
    completed = cluster.ctl("config", "apply", str(path), "--author=demo")
    print("$ samphirectl config apply coop.toml\n" + completed.stdout + completed.stderr)
    check(completed.returncode == 0, "the configuration was refused")
    return keys


def show(title: str, answer: Answer) -> None:
    """Print the status of an answer and the endpoint that served it."""
    endpoint = answer.headers.get("samphire-endpoint", "nobody")
    result = answer.headers.get("samphire-result")
    run = answer.headers.get("samphire-run")
    print(f"{title}\n  status {answer.status}, result {result} ({run}), served by {endpoint}")


def stream_completion(entry: str, key: str) -> None:
    """Request a streamed chat completion and check that it is complete and correct."""
    body = {
        "model": "answer",
        "messages": [{"role": "user", "content": PROMPT}],
        "max_tokens": MAX_TOKENS,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
    answer = call(entry, "POST", "/v1/chat/completions", body, headers=headers)
    show("POST /v1/chat/completions (streamed)", answer)
    data = [
        line.removeprefix("data: ")
        for line in answer.body.decode().splitlines()
        if line.startswith("data: ")
    ]
    check(bool(data) and data[-1] == "[DONE]", "the stream has no end marker")
    chunks = [json.loads(item) for item in data[:-1]]
    text = "".join(chunk["choices"][0]["delta"].get("content", "") for chunk in chunks)
    print(f"  text:{text}")
    expected = "".join(token_at("answer", PROMPT, index) for index in range(MAX_TOKENS))
    check(text == expected, f"the answer should have been {expected!r}")


def plain_call(entry: str, key: str) -> None:
    """Call the plain service and check its answer."""
    headers = {"Authorization": f"Bearer {key}"}
    answer = call(entry, "GET", "/services/stock/lots/14", headers=headers)
    show("GET /services/stock/lots/14", answer)
    print("  " + answer.body.decode())
    check(answer.status == 200 and answer.json()["path"] == "/lots/14", "wrong answer")


def book_twice(entry: str, key: str) -> None:
    """Book twice with the same idempotency key and check that the booking ran only once."""
    headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": "freight-14"}
    bodies = []
    for title in ("POST /services/bookings/freight", "the same booking again"):
        body = {"lot": 14, "to": "Hartwell wedding"}
        answer = call(entry, "POST", "/services/bookings/freight", body, headers=headers)
        show(title, answer)
        print("  " + answer.body.decode())
        check(answer.status == 200, "the booking failed")
        bodies.append(answer.body)
    check(bodies[0] == bodies[1], "the booking ran twice")


def print_routing_decisions(cluster: Cluster) -> None:
    """Print the routing decisions from the entries' logs."""
    print("\nwhy, from the entries' logs:")
    for host in cluster.hosts:
        log = cluster.programs[f"{host.name}-entry"].log
        for line in log.read_text().splitlines():
            entry = json.loads(line)
            if entry.get("message") == "route":
                print(f"  {entry['host']}: {entry['endpoint']}: {entry['reason']}")


def demo_cluster(folder: Path) -> Cluster:
    """Return a cluster of two hosts, two engines and one plain service in two zones."""
    hosts = [Host("host-a", "prairie-1"), Host("host-b", "prairie-2")]
    endpoints = [
        Endpoint("engine-1", "engine", "prairie-1", ["answer"]),
        Endpoint("engine-2", "engine", "prairie-2", ["answer"]),
        Endpoint("desk-1", "service", "prairie-1", ["order-desk"]),
    ]
    cluster = Cluster(folder, hosts, endpoints)
    cluster.extra_settings["entry"] = f"shutdown_grace_seconds = {GRACE_SECONDS}\n"
    return cluster


def main() -> int:
    """Run the demonstration; return 0 if every answer was complete and correct, else 1."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = demo_cluster(Path(folder))
        hosts = cluster.hosts
        try:
            cluster.start()
            keys = apply_configuration(cluster)
            for host in hosts:
                wait_ready(host.entry)
            stream_completion(hosts[0].entry, keys["petal-coop"])
            plain_call(hosts[1].entry, keys["retakeline"])
            book_twice(hosts[0].entry, keys["petal-coop"])
            print_routing_decisions(cluster)
            print("\n$ samphirectl status\n" + cluster.ctl("status").stdout)
            statuses = cluster.stop()
            check(set(statuses.values()) == {0}, f"exit statuses {statuses}")
        except Exception as error:
            print(f"FAILED: {error}", file=sys.stderr)
            return 1
        finally:
            cluster.kill_all()
    print("every answer was whole and right; everything stopped cleanly")
    return 0


if __name__ == "__main__":
    sys.exit(main())
