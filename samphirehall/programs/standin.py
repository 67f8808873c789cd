"""``samphire-standin``: stand-ins for the platform, engines and plain services."""

import dataclasses
import logging
import os
import tomllib
from pathlib import Path
from typing import Any

import anyio
import fire
import msgspec

from samphirehall.core.log import configure_logging
from samphirehall.core.serving import serving
from samphirehall.core.types import Role
from samphirehall.programs.running import run_daemon, wait_for_stop
from samphirehall.standins.engine import EngineStandin
from samphirehall.standins.journal import Journal
from samphirehall.standins.platform import PlatformStandin, Topology
from samphirehall.standins.records import record_calls
from samphirehall.standins.service import ServiceStandin
from samphirehall.standins.timing import EngineTiming

CRASH_STATUS = 70

_log = logging.getLogger(__name__)


async def _serve(app: Any, listen: str, records: str) -> None:
    async with serving(record_calls(app, records), listen):
        _log.info("serving", extra={"listen": listen})
        await wait_for_stop()


async def _serve_engine(engine: EngineStandin, listen: str, records: str) -> None:
    app = record_calls(engine.app(), records)
    async with serving(app, listen), anyio.create_task_group() as group:
        group.start_soon(engine.run)
        group.start_soon(_exit_on_crash, engine)
        await wait_for_stop()
        group.cancel_scope.cancel()


async def _exit_on_crash(engine: EngineStandin) -> None:
    await engine.crashed.wait()
    os._exit(CRASH_STATUS)


def engine_timing(options: dict[str, float]) -> EngineTiming:
    """Return the timing model of command-line options.

    Raises
    ------
    SystemExit
        An option is unknown or has the wrong type; the message for an unknown one
        lists the known options.
    """
    known = [item.name for item in dataclasses.fields(EngineTiming)]
    unknown = sorted(options.keys() - set(known))
    if unknown:
        raise SystemExit(f"unknown options {unknown}; known: {', '.join(known)}")
    try:
        return msgspec.convert(options, EngineTiming)
    except msgspec.ValidationError as error:
        raise SystemExit(f"timing option: {error}") from error


class Standins:
    """Stand-ins for tests, demonstrations and measurements; never for production."""

    def platform(
        self, listen: str, topology: str, seed: int = 0, journal: str = "", records: str = ""
    ) -> None:
        """Serve a platform stand-in: table, objects, hosts, endpoints, orders and usage.

        Parameters
        ----------
        listen : str
            IP address and port.
        topology : str
            TOML file that lists ``hosts`` and ``endpoints``.
        seed : int
            Seed of the random faults.
        journal : str
            File that keeps written data across restarts; empty for none.
        records : str
            File to which a line is appended for each received call; empty for none.
        """
        configure_logging("info", host="platform", program="samphire-standin")
        document = tomllib.loads(Path(topology).read_text())
        platform = PlatformStandin(
            msgspec.convert(document, Topology),
            seed=seed,
            journal=Journal(Path(journal) if journal else None),
        )
        run_daemon(lambda: _serve(platform.app(), listen, records))

    def engine(
        self,
        listen: str,
        name: str,
        models: str = "answer",
        checks_fencing: bool = True,
        role: str = "mixed",
        software_version: str = "",
        records: str = "",
        **timing: float,
    ) -> None:
        """Serve an engine stand-in.

        Every constant of the timing model is an option of its own, such as
        ``--time_scale=10`` or ``--max_batch=32``; the error for an unknown one
        lists all known ones.

        Parameters
        ----------
        listen : str
            IP address and port.
        name : str
            Name of the endpoint.
        models : str
            Models loaded at the start, comma-separated.
        checks_fencing : bool
            Whether the engine refuses orders with an outdated fencing number.
        role : str
            Initial role: ``mixed``, ``prefill`` or ``decode``.
        software_version : str
            Version of the engine's software, on which its tokens depend; empty for none.
        records : str
            File to which a line is appended for each received call; empty for none.
        **timing
            Constants of the timing model.
        """
        configure_logging("info", host=name, program="samphire-standin")
        loaded_models = list(models) if isinstance(models, tuple | list) else str(models).split(",")
        engine = EngineStandin(
            name,
            loaded_models,
            checks_fencing=checks_fencing,
            role=Role(role),
            software_version=str(software_version),
            timing=engine_timing(timing),
        )
        run_daemon(lambda: _serve_engine(engine, listen, records))

    def service(self, listen: str, name: str, records: str = "") -> None:
        """Serve a stand-in of a plain service.

        Parameters
        ----------
        listen : str
            IP address and port.
        name : str
            Name of the endpoint.
        records : str
            File to which a line is appended for each received call; empty for none.
        """
        configure_logging("info", host=name, program="samphire-standin")
        run_daemon(lambda: _serve(ServiceStandin(name).app(), listen, records))


def main() -> None:
    """Run the command line of ``samphire-standin``."""
    fire.Fire(Standins(), name="samphire-standin")
