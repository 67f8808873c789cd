"""Readable tables of ``samphirectl``."""

from collections import Counter
from typing import Any

from samphirehall.explain.timeline import traced_fraction

MISSING = "-"


def format_table(headers: list[str], rows: list[list[Any]]) -> str:
    """Return rows below their column headers, in aligned columns."""
    cells = [headers, *[[_cell(value) for value in row] for row in rows]]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def _cell(value: Any) -> str:
    if value is None or value == "":
        return MISSING
    if isinstance(value, list):
        return ",".join(map(str, value)) or MISSING
    if isinstance(value, float):
        return f"{value:.1f}"
    return str(value)


def format_rows(items: list[dict[str, Any]], columns: dict[str, str]) -> str:
    """Return items as a table.

    Parameters
    ----------
    items : list of dict
        One item per row.
    columns : dict
        Maps the key of each column to its header.
    """
    rows = [[item.get(key) for key in columns] for item in items]
    return format_table(list(columns.values()), rows)


def format_causes(counts: Counter[str], examples: dict[str, str]) -> str:
    """Return causes as a table, most frequent first, and the share of traced requests."""
    rows: list[list[Any]] = [[count, name, examples[name]] for name, count in counts.most_common()]
    table = format_table(["REQUESTS", "CAUSE", "EXAMPLE"], rows)
    return f"{table}\ntraced: {traced_fraction(counts):.1%} of {counts.total()} requests"


def format_endpoints(endpoints: list[dict[str, Any]]) -> str:
    """Return endpoints as a table."""
    columns = {
        "endpoint_id": "ENDPOINT",
        "zone": "ZONE",
        "protocol": "PROTOCOL",
        "kind": "KIND",
        "state": "STATE",
        "role": "ROLE",
        "models": "MODELS",
        "running": "RUNNING",
        "waiting": "WAITING",
        "health": "HEALTH",
    }
    return format_rows(endpoints, columns)


def format_hosts(hosts: list[dict[str, Any]]) -> str:
    """Return hosts as a table."""
    columns = {
        "host": "HOST",
        "zone": "ZONE",
        "state": "STATE",
        "heard_seconds_ago": "HEARD S AGO",
        "configuration": "CONFIGURATION",
        "operator_address": "OPERATOR",
    }
    return format_rows(hosts, columns)


def format_leases(leases: list[dict[str, Any]]) -> str:
    """Return leases as a table."""
    columns = {"scope": "LEASE", "holder": "HOLDER", "fencing": "FENCING", "ends_in": "HELD HERE S"}
    return format_rows(leases, columns)


def format_usage(windows: list[dict[str, Any]]) -> str:
    """Return usage windows as a table with one row per customer."""
    items = [
        {"window": item["window"], "reported": item["reported"], "customer": name, **figures}
        for item in windows
        for name, figures in sorted(item["customers"].items())
    ]
    columns = {
        "window": "WINDOW",
        "customer": "CUSTOMER",
        "requests": "REQUESTS",
        "prompt_tokens": "PROMPT",
        "completion_tokens": "COMPLETION",
        "late_requests": "LATE",
        "reported": "REPORTED",
    }
    return format_rows(items, columns)


def format_in_force(answer: dict[str, Any]) -> list[str]:
    """Return a line for the hosts that apply a change and one for those that could not be asked."""
    lines = []
    if answer["hosts_in_force"]:
        lines.append("in force on: " + ", ".join(answer["hosts_in_force"]))
    if answer["hosts_unknown"]:
        lines.append("could not be asked: " + ", ".join(answer["hosts_unknown"]))
    return lines


def format_status(status: dict[str, Any]) -> str:
    """Return the status as readable text, what is unhealthy first."""
    lines = [
        f"host {status['host']} in zone {status['zone']}, "
        f"configuration version {status['configuration']}"
    ]
    lines += [f"UNHEALTHY: {problem}" for problem in unhealthy(status)] or ["all healthy"]
    lines += ["", format_hosts(status.get("hosts", []))]
    lines += ["", format_leases(status.get("leases", []))]
    lines += ["", format_endpoints(status["endpoints"])]
    return "\n".join(lines)


def unhealthy(status: dict[str, Any]) -> list[str]:
    """Return one line per unhealthy endpoint, host or configuration."""
    problems = [
        f"endpoint {item['endpoint_id']} is {item['health']}"
        for item in status["endpoints"]
        if item["health"] != "ok"
    ]
    problems += [
        f"host {item['host']} is {item['state']}"
        for item in status.get("hosts", [])
        if item["state"] != "live"
    ]
    problems += [
        f"host {item['host']} has configuration version {item['configuration']}"
        for item in status.get("hosts", [])
        if item["state"] == "live" and item["configuration"] != status["configuration"]
    ]
    if status["configuration"] == 0:
        problems.append("no configuration is in force")
    return problems
