import pytest

from samphirehall.load.arrivals import build_prompt, poisson_arrivals
from samphirehall.load.scenario import Customer, Phase, Scenario, Workload
from samphirehall.routing.blocks import block_hashes, estimate_token_count

SCENARIO = Scenario(
    name="test",
    workloads={
        "long": Workload("answer", prompt_tokens=1000, prefixes=2, shared_share=0.5, spread=0.2),
        "short": Workload("answer", prompt_tokens=10),
    },
    customers={"large": Customer(share=3), "small": Customer(), "picky": Customer(1, ["short"])},
    phases=[Phase(50, 20, {"long": 1, "short": 1}), Phase(50, 40, {"long": 1})],
)


class TestPoissonArrivals:
    def test_same_seed_gives_the_same_arrivals(self):
        first = list(poisson_arrivals(SCENARIO, seed=4))
        assert first == list(poisson_arrivals(SCENARIO, seed=4))
        assert first != list(poisson_arrivals(SCENARIO, seed=5))

    def test_rates_and_shares_are_those_of_the_phases(self):
        arrivals = list(poisson_arrivals(SCENARIO, seed=1, rate_scale=2))
        early = [arrival for arrival in arrivals if arrival.at < 50]
        assert len(early) == pytest.approx(2000, rel=0.1)
        assert len(arrivals) - len(early) == pytest.approx(4000, rel=0.1)
        large = sum(arrival.customer == "large" for arrival in arrivals)
        assert large / len(arrivals) == pytest.approx(0.6, abs=0.05)

    def test_customer_asks_only_for_its_workloads(self):
        arrivals = [item for item in poisson_arrivals(SCENARIO, seed=1) if item.at < 50]
        assert {item.workload for item in arrivals if item.customer == "picky"} == {"short"}

    def test_arrivals_are_in_order(self):
        times = [arrival.at for arrival in poisson_arrivals(SCENARIO, seed=2)]
        assert times == sorted(times)


class TestPromptOf:
    def test_length_and_shared_beginning(self):
        workload = SCENARIO.workloads["long"]
        arrivals = [
            item
            for item in poisson_arrivals(SCENARIO, seed=1)
            if (item.customer, item.workload, item.prefix) == ("large", "long", 1)
        ]
        one, other = (build_prompt(item, workload, seed=1) for item in arrivals[:2])
        assert estimate_token_count(one) == arrivals[0].prompt_tokens
        hashes = [block_hashes("answer", text, block_tokens=100) for text in (one, other)]
        assert hashes[0][:5] == hashes[1][:5]
        assert hashes[0][5:] != hashes[1][5:]
