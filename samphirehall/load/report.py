"""Reports of runs as Markdown tables."""

from collections.abc import Sequence

from samphirehall.core.results import by_code
from samphirehall.load.outcome import PERCENTILES, Summary, summarize, summarize_by_customer
from samphirehall.load.runner import Run

MILLISECONDS_PER_SECOND = 1000


def table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a Markdown table."""
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join("| " + " | ".join(map(str, line)) + " |" for line in lines)


def report_text(name: str, runs: Sequence[Run], *, seed: int, rate_scale: float) -> str:
    """Return the report of one or more runs of a scenario.

    Parameters
    ----------
    name : str
        Name of the scenario.
    runs : sequence of Run
        Runs to report, in this order.
    seed : int
        Seed of the arrivals.
    rate_scale : float
        Factor applied to all rates.
    """
    parts = [f"# Scenario {name}, seed {seed}, rate × {rate_scale:g}"]
    for run in runs:
        parts += [f"## {run.title}", _customers(run), _refusals(run), _roles(run)]
    return "\n\n".join(part for part in parts if part) + "\n"


def _customers(run: Run) -> str:
    header = ["customer", "requests", "good", "good %", "late", "wrong", "retries", "tokens/s"]
    header += [f"first token p{percent:.0f} ms" for percent in PERCENTILES]
    header += [f"between tokens p{percent:.0f} ms" for percent in PERCENTILES]
    summaries = {**summarize_by_customer(run.outcomes), "all": summarize(run.outcomes)}
    rows = [_row(name, summary, run.seconds) for name, summary in summaries.items()]
    return table(header, rows)


def _row(name: str, summary: Summary, seconds: float) -> list[object]:
    good_share = 100 * summary.good / summary.requests if summary.requests else 0.0
    row: list[object] = [name, summary.requests, summary.good, f"{good_share:.1f}"]
    row += [summary.late, summary.wrong, summary.retries, f"{summary.tokens / seconds:.0f}"]
    for histogram in (summary.first_token, summary.between_tokens):
        row += [_milliseconds(histogram.percentile(percent)) for percent in PERCENTILES]
    return row


def _milliseconds(seconds: float | None) -> str:
    return "–" if seconds is None else f"{seconds * MILLISECONDS_PER_SECOND:.0f}"


def _refusals(run: Run) -> str:
    codes = summarize(run.outcomes).codes
    if not codes:
        return ""
    rows = [
        (code or "–", _result_name(code), run_state or "–", count)
        for (code, run_state), count in sorted(codes.items())
    ]
    return table(["result", "name", "run", "requests"], rows)


def _result_name(code: int) -> str:
    try:
        return by_code(code).name
    except ValueError:
        return "no answer" if code == 0 else "unknown"


def _roles(run: Run) -> str:
    changes = 0
    for before, after in zip(run.roles, run.roles[1:], strict=False):
        for name, role in after.roles.items():
            changes += role != "changing" and before.roles.get(name, role) == "changing"
    return f"Role changes seen: {changes}" if run.roles else ""
