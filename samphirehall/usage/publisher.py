"""Tells the control process what the entry has counted, as facts over the link."""

import anyio

from samphirehall.core.clock import boot_seconds
from samphirehall.node.facts import Fact, FactKind
from samphirehall.node.state import NodeState
from samphirehall.usage.counts import Cell, Counts
from samphirehall.usage.meter import UsageMeter

PUBLISH_SECONDS = 0.25
FACT_SECONDS = 900.0
REFRESH_SECONDS = 450.0
STOP_SECONDS = 0.5


class UsagePublisher:
    """Publishes changed counts, and forgets those that the table has.

    Parameters
    ----------
    meter : UsageMeter
        What is published.
    state : NodeState
        What this host knows.
    """

    def __init__(self, meter: UsageMeter, state: NodeState) -> None:
        self._meter = meter
        self._state = state

    async def run(self) -> None:
        """Publish until cancelled."""
        stop = self._state.fact_store.subscribe(self._on_fact)
        refreshed_at = boot_seconds()
        try:
            while True:
                await anyio.sleep(PUBLISH_SECONDS)
                now = boot_seconds()
                self.publish(now=now)
                if now - refreshed_at > REFRESH_SECONDS:
                    self._publish(self._meter.counts, now)
                    refreshed_at = now
        finally:
            stop()

    async def flush(self) -> None:
        """Publish the last counts at a planned stop, and leave the link time to send them."""
        self.publish(now=boot_seconds())
        await anyio.sleep(STOP_SECONDS)

    def publish(self, *, now: float) -> None:
        """Publish what changed since the last time; `now` is the boot clock in seconds."""
        self._publish(self._meter.take_changed(), now)

    def _publish(self, counts: dict[Cell, Counts], now: float) -> None:
        for cell, counted in counts.items():
            key = f"{cell.window}/{cell.customer}"
            self._state.fact_store.publish(
                FactKind.USAGE, key, counted.encode(), lifetime=FACT_SECONDS, now=now
            )

    def _on_fact(self, fact: Fact) -> None:
        own = fact.key == str(self._state.incarnation)
        if fact.kind is FactKind.USAGE_RECORDED and own:
            self._meter.forget(int(fact.value))
