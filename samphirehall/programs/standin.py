"""``samphire-standin``: small stand-ins of the platform, engines and plain services."""

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
from samphirehall.programs.running import run_daemon, wait_for_stop
from samphirehall.standins.engine import EngineStandin
from samphirehall.standins.platform import PlatformStandin, Topology
from samphirehall.standins.records import recorded
from samphirehall.standins.service import ServiceStandin

CRASH_STATUS = 70

_log = logging.getLogger(__name__)


async def _serve(app: Any, listen: str) -> None:
    async with serving(recorded(app), listen):
        _log.info("serving", extra={"listen": listen})
        await wait_for_stop()


async def _serve_engine(engine: EngineStandin, listen: str) -> None:
    async with serving(recorded(engine.app()), listen), anyio.create_task_group() as group:
        group.start_soon(_crash_when_told, engine)
        await wait_for_stop()
        group.cancel_scope.cancel()


async def _crash_when_told(engine: EngineStandin) -> None:
    await engine.crashed.wait()
    os._exit(CRASH_STATUS)


class Standins:
    """Stand-ins for tests, demonstrations and measurements; never for production."""

    def platform(self, listen: str, topology: str, seed: int = 0) -> None:
        """Serve the platform: table, objects, hosts, endpoints, orders and usage.

        Parameters
        ----------
        listen : str
            IP number and port.
        topology : str
            TOML file that lists ``hosts`` and ``endpoints``.
        seed : int
            Seed of the fault switches.
        """
        configure_logging("info", host="platform", program="samphire-standin")
        document = tomllib.loads(Path(topology).read_text())
        platform = PlatformStandin(msgspec.convert(document, Topology), seed=seed)
        run_daemon(lambda: _serve(platform.app(), listen))

    def engine(
        self, listen: str, name: str, models: str = "answer", checks_fencing: bool = True
    ) -> None:
        """Serve a model engine.

        Parameters
        ----------
        listen : str
            IP number and port.
        name : str
            Name of the endpoint.
        models : str
            Models loaded at first, comma-separated.
        checks_fencing : bool
            Whether orders with an old fencing number are refused.
        """
        configure_logging("info", host=name, program="samphire-standin")
        loaded = list(models) if isinstance(models, tuple | list) else str(models).split(",")
        engine = EngineStandin(name, loaded, checks_fencing=checks_fencing)
        run_daemon(lambda: _serve_engine(engine, listen))

    def service(self, listen: str, name: str) -> None:
        """Serve a plain service.

        Parameters
        ----------
        listen : str
            IP number and port.
        name : str
            Name of the endpoint.
        """
        configure_logging("info", host=name, program="samphire-standin")
        run_daemon(lambda: _serve(ServiceStandin(name).app(), listen))


def main() -> None:
    """Entry point of the binary."""
    fire.Fire(Standins, name="samphire-standin")
