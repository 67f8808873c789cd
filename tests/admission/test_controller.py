from functools import partial

import anyio
import pytest

from samphirehall.admission.authentication import Caller
from samphirehall.admission.controller import (
    AdmissionController,
    AdmissionRequest,
    AdmissionRules,
)
from samphirehall.configuration.documents import CustomerPart, RoutePart
from samphirehall.core.clock import boot_seconds
from samphirehall.core.errors import SamphireError
from samphirehall.core.results import DEADLINE_NOT_RUN, LIMIT_REACHED, OVERLOADED, RunState
from samphirehall.core.types import Priority

ROUTE = RoutePart("model", "answer")


def request(customer="a", *, part=None, seconds=10.0, output=10, route=ROUTE):
    caller = Caller(customer, part or CustomerPart(), "answer", route, "digest")
    return AdmissionRequest(caller, Priority.NORMAL, boot_seconds() + seconds, 0, output)


def controller(limit=1, *, hosts=1, **rules):
    return AdmissionController(
        AdmissionRules(**rules),
        concurrency_limit=lambda target, now: limit,
        host_count=lambda now: hosts,
        now=boot_seconds(),
    )


async def run_request(admission, admission_request, log, name, seconds=0.0, *, charge=None):
    async with admission.admit(admission_request, now=boot_seconds()) as ticket:
        log.append(name)
        await anyio.sleep(seconds)
        if charge is not None:
            ticket.record_usage(0, charge)


def refusal(admission, admission_request):
    async def attempt():
        with pytest.raises(SamphireError) as caught:
            await run_request(admission, admission_request, [], "x")
        assert caught.value.result.run is RunState.NOT_RUN
        return caught.value

    return attempt()


class TestAdmit:
    def test_flooding_customer_does_not_delay_the_others(self):
        async def main():
            admission, order = controller(), []
            async with anyio.create_task_group() as group:
                for number in range(6):
                    large = partial(run_request, admission, request("large"), order, charge=10)
                    group.start_soon(large, f"l{number}", 0.01)
                    await anyio.lowlevel.checkpoint()
                group.start_soon(run_request, admission, request("small"), order, "s", 0.01)
            return order

        assert anyio.run(main).index("s") <= 2

    def test_concurrency_limit_is_never_exceeded(self):
        async def main():
            admission, running, max_running = controller(3), 0, 0

            async def one():
                nonlocal running, max_running
                async with admission.admit(request(), now=boot_seconds()):
                    running += 1
                    max_running = max(max_running, running)
                    await anyio.sleep(0.001)
                    running -= 1

            async with anyio.create_task_group() as group:
                for _ in range(20):
                    group.start_soon(one)
            assert admission.open_requests == 0
            return max_running

        assert anyio.run(main) == 3

    def test_full_queue_refuses_the_customer_with_the_most_queued_work(self):
        async def main():
            admission, results = controller(max_waiting=2), []

            async def one(customer):
                try:
                    await run_request(admission, request(customer), [], customer, seconds=0.01)
                except SamphireError as error:
                    results.append((customer, error.result, error.retry_after))

            async with anyio.create_task_group() as group:
                for customer in ("large", "large", "large", "small"):
                    group.start_soon(one, customer)
            return results

        assert [(name, result) for name, result, _ in anyio.run(main)] == [("large", OVERLOADED)]

    def test_request_that_expires_in_the_queue_has_not_run(self):
        async def main():
            admission = controller()
            async with anyio.create_task_group() as group:
                group.start_soon(run_request, admission, request(), [], "first")
                async with admission.admit(request(), now=boot_seconds()):
                    error = await refusal(admission, request(seconds=0.02))
                assert error.result is DEADLINE_NOT_RUN
            assert admission.open_requests == 0

        anyio.run(main)

    def test_refused_early_when_the_deadline_cannot_be_met(self):
        async def main():
            admission = controller()
            await run_request(admission, request(output=1), [], "x", seconds=0.05, charge=1)
            async with anyio.create_task_group() as group:
                group.start_soon(run_request, admission, request(output=1), [], "runs")
                await anyio.lowlevel.checkpoint()
                group.start_soon(run_request, admission, request(output=1), [], "waits")
                await anyio.lowlevel.checkpoint()
                started_at = boot_seconds()
                error = await refusal(admission, request(output=1000, seconds=2.0))
                assert boot_seconds() - started_at < 0.5
                assert error.result is OVERLOADED
                assert error.retry_after is not None

        anyio.run(main)

    def test_cancelled_request_frees_its_place_in_the_queue(self):
        async def main():
            admission = controller()
            async with admission.admit(request(), now=boot_seconds()):
                with anyio.move_on_after(0.01):
                    await run_request(admission, request(), [], "gone")
                assert admission.waiting == {"answer": 0}
            order = []
            await run_request(admission, request(), order, "next")
            assert order == ["next"]

        anyio.run(main)

    def test_plain_services_are_not_queued(self):
        async def main():
            admission, order = controller(limit=0), []
            route = RoutePart("service", "order-desk")
            await run_request(admission, request(route=route), order, "call")
            assert order == ["call"]

        anyio.run(main)


class TestLimits:
    @pytest.mark.parametrize(
        ("part", "hosts", "allowed"),
        [
            (CustomerPart(requests_per_second=2.0), 1, 4),
            (CustomerPart(requests_per_second=2.0), 2, 2),
            (CustomerPart(tokens_per_second=20.0), 1, 4),
        ],
    )
    def test_rate_limits_are_divided_among_hosts(self, part, hosts, allowed):
        async def main():
            admission, order = controller(10, hosts=hosts), []
            for _ in range(allowed):
                await run_request(admission, request(part=part), order, "x", charge=10)
            error = await refusal(admission, request(part=part))
            assert error.result is LIMIT_REACHED
            assert error.retry_after is not None

        anyio.run(main)

    def test_in_flight_limit(self):
        async def main():
            admission, part = controller(10), CustomerPart(max_in_flight=1)
            async with admission.admit(request(part=part), now=boot_seconds()):
                error = await refusal(admission, request(part=part))
                assert error.result is LIMIT_REACHED
                await run_request(admission, request("b", part=part), [], "other")
            await run_request(admission, request(part=part), [], "again")

        anyio.run(main)
