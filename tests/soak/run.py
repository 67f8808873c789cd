"""Soak runs by hand: ``python -m tests.soak.run --first 1 --count 50``."""

import asyncio
import logging
import tempfile
from pathlib import Path

import fire

from tests.soak.plan import Plan
from tests.soak.system import Soak

HOSTS = 3
ENDPOINTS = 5


def play(seed: int, seconds: float, folder: Path, hosts: int = HOSTS) -> tuple[Soak, list[str]]:
    """Play one seed; return the run and its broken promises."""
    soak = Soak(Plan(seed, seconds, hosts, ENDPOINTS), folder)
    return soak, asyncio.run(soak.run())


def main(first: int = 1, count: int = 1, seconds: float = 20.0, hosts: int = HOSTS) -> None:
    """Play seeds one after another, and print what each of them broke.

    Parameters
    ----------
    first, count : int
        First seed, and number of seeds.
    seconds : float
        Seconds of traffic of each.
    hosts : int
        Number of hosts, each of which is a process.
    """
    logging.disable()  # the stand-ins end with calls unanswered
    failed = []
    for seed in range(first, first + count):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        soak, broken = play(seed, seconds, folder, hosts)
        served = sum(sent.status == 200 for sent in soak.records.sent)
        print(
            f"seed {seed}: {len(soak.records.sent)} requests, {served} served, {len(broken)} lines"
        )
        if broken:
            failed.append(seed)
            print("\n".join([*broken[:10], f"logs in {folder}"]), flush=True)
    print(f"seeds with a broken promise: {failed or 'none'}")
    raise SystemExit(bool(failed))


if __name__ == "__main__":
    fire.Fire(main)
