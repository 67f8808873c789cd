"""Steps of ``promises.feature`` on real processes."""

import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field

import pytest
from pytest_bdd import given, scenarios, then, when

from demo.cluster import Endpoint, Host, call
from samphirehall.core.clock import boot_seconds
from samphirehall.core.results import KEY_UNKNOWN, OK, OUTCOME_UNKNOWN, REPLAYED, RunState
from samphirehall.standins.records import read_records
from tests.promises.callers import Balancer, Caller
from tests.promises.checkers import MAX_IN_FORCE_DELAY_SECONDS, MAX_KEY_WITHDRAWAL_SECONDS
from tests.promises.events import CallEnded
from tests.promises.faults import Fault, withdraw
from tests.promises.relay import Condition
from tests.promises.system import STEP_SECONDS, System

scenarios("promises.feature")

LONG_COMPLETION_TOKENS = 250
VERY_LONG_COMPLETION_TOKENS = 900
POLL_INTERVAL_SECONDS = 0.05
STREAM_START_TIMEOUT_SECONDS = 5.0
STREAMING_BEFORE_KILL_SECONDS = 0.3
ORDER_DESK_DELAY_SECONDS = 2.0
ASKED_HOST = "host-a"
BOOKING_KEY = "key-freight-14"
BOOKING = "freight-14"


@dataclass(slots=True)
class ScenarioState:
    """Holds the state that the steps of a scenario share."""

    system: System
    balancer: Balancer
    pool: ThreadPoolExecutor
    calls: list[CallEnded] = field(default_factory=list)
    answer: Future[CallEnded] | None = None
    statuses: list[int] = field(default_factory=list)
    stop_status: int | None = None
    withdrawn_at: float = 0.0

    def caller(self, number: int = 0) -> Caller:
        """Return a caller with the key at index `number`."""
        credentials = self.system.credentials[number]
        return Caller(self.balancer, self.system.history, credentials, seed="story")

    def booking_count(self) -> int:
        """Return how many times the order desk ran the booking."""
        records = read_records(self.system.folder / "desk-1.records")
        return sum(BOOKING in record.body for record in records)


@pytest.fixture
def pool():
    with ThreadPoolExecutor() as executor:
        yield executor


@given("a small system of two hosts, two engines and an order desk", target_fixture="story")
def story(tmp_path, pool):
    step = f"--step_base_seconds={STEP_SECONDS}"
    endpoints = [
        Endpoint("engine-1", "engine", "prairie-1", ["answer"], options=[step]),
        Endpoint("engine-2", "engine", "prairie-2", ["answer"], options=[step]),
        Endpoint("desk-1", "service", "prairie-1", ["order-desk"]),
    ]
    hosts = [Host("host-a", "prairie-1"), Host("host-b", "prairie-2")]
    with System(tmp_path / "run", hosts, endpoints) as system:
        yield ScenarioState(system, Balancer(system.caller_addresses), pool)


@when("the store is out")
def store_is_out(story):
    story.system.set_faults(outage=True)


@when("the store is back")
def store_is_back(story):
    story.system.set_faults(outage=False)


@when("a customer books freight")
@when("the customer sends the same booking again")
def book(story):
    story.calls.append(story.caller().book_once(BOOKING_KEY, BOOKING))


@when("the order desk runs a booking but its answer is lost")
def lose_the_answer(story):
    desk = story.system.endpoints[-1].address
    call(desk, "PUT", "/admin/faults", {"delay": ORDER_DESK_DELAY_SECONDS})
    booking = story.pool.submit(book, story)
    while not story.booking_count():
        time.sleep(POLL_INTERVAL_SECONDS)
    story.system.relays.set("endpoint/desk-1", Condition.CUT)
    booking.result()
    story.system.relays.set("endpoint/desk-1", Condition.OPEN)


@when("a customer asks for a long streamed answer")
def ask_long(story):
    _ask(story, LONG_COMPLETION_TOKENS, number=0)


@when("a customer asks for a very long streamed answer")
def ask_very_long(story):
    _ask(story, VERY_LONG_COMPLETION_TOKENS, number=2)


@when("the engine that serves it is killed")
def kill_the_engine(story):
    time.sleep(STREAMING_BEFORE_KILL_SECONDS)
    story.system.programs[_serving_engines(story)[0]].kill()


@when("an operator withdraws the customer's key")
def withdraw_the_key(story):
    story.withdrawn_at = boot_seconds()
    withdraw(story.system, Fault("withdraw", "host-a", 0.0))


@when("the host that serves it is told to stop")
def stop_the_host(story):
    story.stop_status = story.system.programs[f"{ASKED_HOST}-entry"].stop()


@when("two operators apply different configurations at the same moment")
def race(story):
    barrier = threading.Barrier(2)

    def apply(number):
        document = story.system.document()
        document["customers"]["petal-coop"]["weight"] = 2 + number
        barrier.wait()
        host = story.system.hosts[number]
        return story.system.apply(host, f"operator-{number}", document, base_version=1)

    story.statuses = list(story.pool.map(apply, range(2)))


@then("the booking is refused as not run")
def refused_as_not_run(story):
    assert story.calls[-1].run == RunState.NOT_RUN


@then("the caller is told that the outcome is not known")
def outcome_not_known(story):
    assert story.calls[-1].result == OUTCOME_UNKNOWN.code


@then("the order desk has not seen the booking")
def not_seen(story):
    assert story.booking_count() == 0


@then("the booking has run once")
def has_run_once(story):
    assert story.booking_count() == 1
    assert story.calls[-1].result in (OK.code, REPLAYED.code, OUTCOME_UNKNOWN.code)


@then("the customer gets the whole answer")
def whole_answer(story):
    ended = story.answer.result()
    assert ended.ended and ended.received == ended.expected


@then("every host refuses the key within 5 seconds")
def every_host_refuses(story):
    for name in story.balancer.addresses:
        story.balancer.ready = [name]
        caller = story.caller(2)
        while caller.complete().result != KEY_UNKNOWN.code:
            assert boot_seconds() < story.withdrawn_at + MAX_KEY_WITHDRAWAL_SECONDS, name
            time.sleep(POLL_INTERVAL_SECONDS)


@then("the stream ends within 5 seconds without its end marker")
def stream_ends(story):
    ended = story.answer.result()
    assert not ended.ended and ended.last_token < story.withdrawn_at + MAX_KEY_WITHDRAWAL_SECONDS


@then("the customer's other key still works")
def other_key_works(story):
    assert story.caller(1).complete().ended


@then("the process ends by itself with status 0")
def ends_by_itself(story):
    assert story.stop_status == 0


@then("callers are served by the other host")
def served_by_the_other(story):
    story.balancer.poll()
    assert len(story.balancer.ready) == 1
    assert story.caller().complete().ended


@then("one is accepted and the other is told of the conflict")
def one_wins(story):
    assert sorted(story.statuses) == [200, 409]


@then("both hosts show the accepted configuration within 9 seconds")
def both_show(story):
    weight = 2 + story.statuses.index(200)
    deadline = boot_seconds() + MAX_IN_FORCE_DELAY_SECONDS
    for host in story.system.hosts:
        while _shown_weight(host) != weight:
            assert boot_seconds() < deadline, host.name
            time.sleep(POLL_INTERVAL_SECONDS)


def _shown_weight(host):
    shown = call(host.operator, "GET", "/configuration").json()
    return shown["parts"]["customers/petal-coop"]["weight"]


def _ask(story, tokens, *, number):
    caller = story.caller(number)
    story.balancer.ready = [ASKED_HOST]
    story.answer = story.pool.submit(caller.complete, marker="long-1", max_tokens=tokens)
    deadline = boot_seconds() + STREAM_START_TIMEOUT_SECONDS
    while not _serving_engines(story):
        assert boot_seconds() < deadline, "no engine has the stream"
        time.sleep(POLL_INTERVAL_SECONDS)
    story.balancer.poll()


def _serving_engines(story):
    engines = [item.name for item in story.system.endpoints if item.protocol == "engine"]
    records = {name: read_records(story.system.folder / f"{name}.records") for name in engines}
    return [name for name in engines if any("long-1" in item.body for item in records[name])]
