"""``samphirectl``: the command line for operators."""

import argparse
import json
import os
import re
import sys
from typing import Any

import anyio
import fire
import msgspec
from fire.decorators import SetParseFns

from samphirehall.configuration.check import Change, CheckReport, check_files, compare_parts
from samphirehall.configuration.documents import (
    ConfigurationError,
    check_documents,
    read_documents,
)
from samphirehall.core.connections import TRANSPORT_ERRORS, ConnectionPool, read_body
from samphirehall.core.errors import SamphireError
from samphirehall.core.identifiers import key_digest, new_customer_key
from samphirehall.core.results import CONTROL_UNREACHABLE, by_code
from samphirehall.explain.lines import log_lines
from samphirehall.explain.timeline import collect_timeline, count_causes, format_timeline, to_dict
from samphirehall.programs.ctl_tables import (
    format_causes,
    format_endpoints,
    format_hosts,
    format_in_force,
    format_status,
    format_table,
    format_usage,
)

READ_TIMEOUT_SECONDS = 30.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024
HTTP_OK = 200
ADDRESS_VARIABLE = "SAMPHIRE_CONTROL"
TOKEN_VARIABLE = "SAMPHIRE_OPERATOR_TOKEN"
DIGEST_PATTERN = r"[0-9a-f]{64}"
DEFAULT_ADDRESS = "127.0.0.1:7001"
IN_FORCE = "in-force"  # what `config check --against` compares with
EXIT_ERRORS, EXIT_WARNINGS = 1, 2  # of `config check`


class ControlClient:
    """Calls control processes in turn until one answers.

    Parameters
    ----------
    addresses : str
        Comma-separated IP addresses and ports of operator interfaces.
    """

    def __init__(self, addresses: str) -> None:
        self._addresses = addresses.split(",")

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Return the decoded answer of the first control process that answers.

        Raises
        ------
        SamphireError
            No control process answered, or the call was refused.
        """
        return anyio.run(self._call, method, path, body)

    async def _call(self, method: str, path: str, body: Any) -> Any:
        content = None if body is None else msgspec.json.encode(body)
        headers = {}
        if token := os.environ.get(TOKEN_VARIABLE):
            headers[b"Authorization"] = f"Bearer {token}".encode()
        failures = []
        for address in self._addresses:
            pool = ConnectionPool(address, read_timeout=READ_TIMEOUT_SECONDS)
            try:
                async with pool.request(method, path, headers=headers, content=content) as answer:
                    raw = await read_body(answer, max_bytes=MAX_ANSWER_BYTES)
                    status = answer.status
            except TRANSPORT_ERRORS as error:
                failures.append(f"{address}: {error!r}")
                continue
            finally:
                await pool.aclose()
            return _decode(status, raw)
        raise SamphireError(CONTROL_UNREACHABLE, "; ".join(failures))


def _decode(status: int, raw: bytes) -> Any:
    answer = json.loads(raw)
    if status != HTTP_OK:
        error = answer["error"]
        detail = "\n  ".join([error["message"], *error["problems"]])
        raise SamphireError(by_code(error["code"]), detail)
    return answer


def _paths(files: tuple[str, ...]) -> list[str]:
    return [str(file) for file in files]


class ConfigurationCommands:
    """Check, compare, apply and show the configuration."""

    def __init__(self, client: ControlClient) -> None:
        self._client = client

    def check(self, *files: str, against: str = "", json: bool = False) -> None:
        """Check TOML files without applying them, and print what is wrong with them.

        The exit status is 1 with errors, 2 with warnings only, and 0 otherwise.

        Parameters
        ----------
        *files : str
            TOML files that together are the whole configuration.
        against : str, optional
            ``in-force`` to print what applying the files would change as well.
        json : bool
            Print the result as JSON.
        """
        if against not in ("", IN_FORCE):
            sys.exit(f"--against={against}: only {IN_FORCE!r} is known")  # status 1
        report = check_files(_paths(files))
        version, changes = None, None
        if against and not report.errors:
            configuration = self._client.call("GET", "/configuration")
            version = configuration["version"]
            changes = compare_parts(configuration["parts"], report.parts)
        print((_report_json if json else _report_text)(report, version, changes))
        if report.errors or report.warnings:
            sys.exit(EXIT_ERRORS if report.errors else EXIT_WARNINGS)

    def diff(self, *files: str) -> str:
        """Show what applying the files would change."""
        parts = check_documents(read_documents(_paths(files)))
        configuration = self._client.call("GET", "/configuration")
        changes = compare_parts(configuration["parts"], parts)
        return "\n".join([f"against version {configuration['version']}:", *map(str, changes)])

    def apply(self, *files: str, base: int | None = None, author: str = "") -> str:
        """Apply all files as one configuration, or refuse all of them.

        Parameters
        ----------
        *files : str
            TOML files that together are the whole configuration.
        base : int, optional
            Version that the change is based on; if another one is in force, the change
            is refused as a conflict.
        author : str, optional
            Name for the history; the login name if it is left out.
        """
        documents = read_documents(_paths(files))
        body = {
            "documents": documents,
            "author": author or os.environ.get("USER", "operator"),
            "base_version": base,
        }
        answer = self._client.call("POST", "/configuration", body)
        return "\n".join([f"accepted: version {answer['version']}", *format_in_force(answer)])

    def show(self, version: int | None = None) -> str:
        """Show the configuration in force on the host that answers, or an earlier one.

        Parameters
        ----------
        version : int, optional
            Version from the history.
        """
        path = "/configuration" if version is None else f"/configuration?version={version}"
        return json.dumps(self._client.call("GET", path), indent=2)

    def history(self) -> str:
        """List accepted versions, newest first."""
        rows = [
            [row["version"], row["author"], round(row["applied_at"]), row["manifest"][:12]]
            for row in self._client.call("GET", "/configuration/history")
        ]
        return format_table(["VERSION", "AUTHOR", "APPLIED AT", "MANIFEST"], rows)


class KeyCommands:
    """Issue and withdraw customer keys."""

    def __init__(self, client: ControlClient) -> None:
        self._client = client

    def withdraw(self, key: str, author: str = "") -> str:
        """Revoke a key on every host at once and remove it from the configuration.

        Parameters
        ----------
        key : str
            The key, or its digest.
        author : str, optional
            Name for the history; the login name if it is left out.
        """
        digest = key if re.fullmatch(DIGEST_PATTERN, key) else key_digest(key)
        body = {"digest": digest, "author": author or os.environ.get("USER", "operator")}
        answer = self._client.call("POST", "/keys/withdraw", body)
        owner = answer["customer"] or "no customer: the configuration did not list it"
        lines = [f"withdrawn from {owner}; version {answer['version']}"]
        return "\n".join([*lines, *format_in_force(answer)])

    def new(self) -> str:
        """Create a key. It is shown once; its digest goes into ``key_digests``."""
        key = new_customer_key()
        return f"key (shown once): {key}\ndigest: {key_digest(key)}"

    def digest(self, key: str) -> str:
        """Show the digest of a key."""
        return key_digest(key)


class Commands:
    """Operate samphirehall.

    ``--control=ADDRESSES`` lists control processes, comma-separated; the default
    is the environment variable SAMPHIRE_CONTROL. SAMPHIRE_OPERATOR_TOKEN holds
    the operator's token.
    """

    def __init__(self, control: str = "") -> None:
        addresses = control or os.environ.get(ADDRESS_VARIABLE, DEFAULT_ADDRESS)
        self._client = ControlClient(addresses)
        self.config = ConfigurationCommands(self._client)
        self.key = KeyCommands(self._client)

    def hosts(self, json: bool = False) -> str:
        """List hosts with zone, state, time since the last message and configuration version.

        Parameters
        ----------
        json : bool
            Print the list as JSON.
        """
        listed = self._client.call("GET", "/status")["hosts"]
        return _dump(listed) if json else format_hosts(listed)

    def endpoints(self, json: bool = False) -> str:
        """List endpoints with role, load and health.

        Parameters
        ----------
        json : bool
            Print the list as JSON.
        """
        listed = self._client.call("GET", "/status")["endpoints"]
        return _dump(listed) if json else format_endpoints(listed)

    def drain(self, endpoint: str) -> str:
        """Send no new work to an endpoint and let running requests finish.

        Parameters
        ----------
        endpoint : str
            Name of the endpoint.
        """
        self._client.call("POST", f"/endpoints/{endpoint}/drain")
        return f"{endpoint}: takes no new work from now on"

    def usage(self, windows: int = 10, json: bool = False) -> str:
        """Show the latest usage windows: frozen counts, and whether they are reported.

        Parameters
        ----------
        windows : int
            Number of windows.
        json : bool
            Print the windows as JSON.
        """
        listed = self._client.call("GET", f"/usage?windows={windows}")
        return _dump(listed) if json else format_usage(listed)

    @SetParseFns(request=str)
    def explain(self, request: str, *files: str, json: bool = False) -> str:
        """Explain the outcome of a request from the logs of all hosts.

        Parameters
        ----------
        request : str
            Identifier of the request.
        *files : str
            Log files of the hosts; standard input if there is none.
        json : bool
            Print the causes and the lines as JSON.
        """
        with log_lines(_paths(files)) as open_lines:
            story = collect_timeline(open_lines, request)
        return _dump(to_dict(story)) if json else "\n".join(format_timeline(story))

    def causes(self, *files: str, json: bool = False) -> str:
        """Count why requests ended without success, with an example of each cause.

        Parameters
        ----------
        *files : str
            Log files of the hosts; standard input if there is none.
        json : bool
            Print the counts as JSON.
        """
        with log_lines(_paths(files)) as open_lines:
            counts, examples = count_causes(open_lines())
        if json:
            return _dump({"causes": dict(counts), "examples": examples})
        return format_causes(counts, examples)

    def status(self, json: bool = False) -> str:
        """Show hosts, leases, endpoints, versions and what is unhealthy.

        Parameters
        ----------
        json : bool
            Print the whole status as JSON.
        """
        status = self._client.call("GET", "/status")
        return _dump(status) if json else format_status(status)


def _dump(value: Any) -> str:
    return json.dumps(value, indent=2)


def _report_text(report: CheckReport, version: int | None, changes: list[Change] | None) -> str:
    lines = [f"error: {problem}" for problem in report.errors]
    lines += [f"warning: {problem}" for problem in report.warnings]
    if not report.errors:
        lines.append(f"ok: {len(report.parts)} parts, {len(report.warnings)} warnings")
    if changes is not None:
        lines += [f"against version {version}:", *(map(str, changes) if changes else ["no change"])]
    return "\n".join(lines)


def _report_json(report: CheckReport, version: int | None, changes: list[Change] | None) -> str:
    result: dict[str, Any] = {"errors": report.errors, "warnings": report.warnings}
    if changes is not None:
        result |= {"against": version, "changes": changes}
    # Values of a TOML file may be dates, which are shown as text.
    return _dump(msgspec.to_builtins(result, enc_hook=str))


def split_control(arguments: list[str]) -> tuple[str, list[str]]:
    """Return the value of ``--control`` and the other arguments."""
    parser = argparse.ArgumentParser(add_help=False, allow_abbrev=False)
    parser.add_argument("--control", default="")
    options, command = parser.parse_known_args(arguments)
    return options.control, command


def main() -> None:
    """Run the command line of ``samphirectl``."""
    try:
        control, command = split_control(sys.argv[1:])
        fire.Fire(Commands(control), command=command, name="samphirectl")
    except ConfigurationError as error:
        for problem in error.problems:
            print(f"{error.result.code} {error.result.name}: {problem}", file=sys.stderr)
        sys.exit(error.result.exit_status)
    except SamphireError as error:
        print(error, file=sys.stderr)
        sys.exit(error.result.exit_status)
