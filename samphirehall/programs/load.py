"""``samphire-load``: runs load scenarios and reports their results."""

import sys
from pathlib import Path

import anyio
import fire

from samphirehall.core.errors import SamphireError
from samphirehall.core.log import configure_logging
from samphirehall.core.results import CHECK_FAILED
from samphirehall.load.arrivals import poisson_arrivals
from samphirehall.load.plot import save_plot
from samphirehall.load.report import report_text
from samphirehall.load.runner import Run, run_direct, run_entries
from samphirehall.load.scenario import Scenario, Targets, load_scenario, load_targets


async def _run_all(
    scenario: Scenario, targets: Targets, direct: list[str], seed: int, rate_scale: float
) -> list[Run]:
    runs = [await run_entries(scenario, targets, seed=seed, rate_scale=rate_scale)]
    if direct:
        runs.append(await run_direct(scenario, direct, seed=seed, rate_scale=rate_scale))
    return runs


class LoadTool:
    """Send the requests of a scenario and report their outcomes."""

    def run(
        self,
        scenario: str,
        targets: str,
        seed: int = 1,
        rate_scale: float = 1.0,
        direct: str = "",
        report: str = "",
        plot: str = "",
    ) -> None:
        """Run a scenario and print its report; exit with 1 if an answer was wrong.

        Arrivals are an open loop: each request is sent at its scheduled time,
        and its latency counts from that time. Every token of every answer is
        compared with the token that the engine stand-ins generate.

        Parameters
        ----------
        scenario : str
            TOML file with workloads, customers, phases and faults.
        targets : str
            TOML file with the addresses of entries, customer keys, and the
            stand-ins and process ids that faults may name.
        seed : int
            Seed of arrival times and lengths; the same seed gives the same requests.
        rate_scale : float
            Factor on the rates of all phases.
        direct : str
            Addresses of engines, comma-separated, that get the same requests
            directly after the run through the entries.
        report : str
            Markdown file to which the report is also written.
        plot : str
            PNG file with goodput and roles over time; needs the extra ``plots``.
        """
        configure_logging("warning", host="load", program="samphire-load")
        try:
            loaded_scenario, loaded_targets = load_scenario(scenario), load_targets(targets)
            addresses = [address for address in str(direct).split(",") if address]
            runs = anyio.run(_run_all, loaded_scenario, loaded_targets, addresses, seed, rate_scale)
        except SamphireError as error:
            print(error, file=sys.stderr)
            sys.exit(error.result.exit_status)
        text = report_text(loaded_scenario.name, runs, seed=seed, rate_scale=rate_scale)
        print(text)
        if report:
            Path(report).write_text(text)
        if plot:
            save_plot(plot, runs)
        if any(outcome.wrong for run in runs for outcome in run.outcomes):
            sys.exit(CHECK_FAILED.exit_status)

    def check(self, scenario: str, seed: int = 1, rate_scale: float = 1.0) -> None:
        """Check a scenario file and print its request count and token rates.

        Parameters
        ----------
        scenario : str
            TOML file to check.
        seed : int
            Seed of arrival times and lengths.
        rate_scale : float
            Factor on the rates of all phases.
        """
        try:
            loaded_scenario = load_scenario(scenario)
        except SamphireError as error:
            print(error, file=sys.stderr)
            sys.exit(error.result.exit_status)
        arrivals = list(poisson_arrivals(loaded_scenario, seed=seed, rate_scale=rate_scale))
        prompt = sum(arrival.prompt_tokens for arrival in arrivals)
        output = sum(arrival.output_tokens for arrival in arrivals)
        print(f"{loaded_scenario.name}: {len(arrivals)} requests in {loaded_scenario.seconds:g} s")
        print(f"prompt {prompt / loaded_scenario.seconds:.0f} tokens/s")
        print(f"output {output / loaded_scenario.seconds:.0f} tokens/s")


def main() -> None:
    """Run the command line of ``samphire-load``."""
    fire.Fire(LoadTool(), name="samphire-load")
