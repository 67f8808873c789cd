"""Publishes the counts of the entry process to the control process, as facts over the link."""

import anyio

from samphirehall.core.clock import boot_seconds
from samphirehall.core.decoding import Unsigned, convert
from samphirehall.node.facts import Fact, FactKind
from samphirehall.node.state import NodeState
from samphirehall.usage.counts import Cell, Counts
from samphirehall.usage.meter import UsageMeter

PUBLISH_INTERVAL_SECONDS = 0.25
FACT_LIFETIME_SECONDS = 900.0
REFRESH_INTERVAL_SECONDS = 450.0
LINK_FLUSH_SECONDS = 0.5


class UsagePublisher:
    """Publishes changed counts, and removes those that the table has from the meter.

    Parameters
    ----------
    meter : UsageMeter
        Counts to publish.
    state : NodeState
        State of this process, with the facts that it publishes and receives.
    """

    def __init__(self, meter: UsageMeter, state: NodeState) -> None:
        self._meter = meter
        self._state = state

    async def run(self) -> None:
        """Publish changed counts until cancelled; republish all before their facts expire."""
        stop = self._state.fact_store.subscribe(self._on_fact)
        refreshed_at = boot_seconds()
        try:
            while True:
                await anyio.sleep(PUBLISH_INTERVAL_SECONDS)
                now = boot_seconds()
                self.publish(now=now)
                if now - refreshed_at > REFRESH_INTERVAL_SECONDS:
                    self._publish(self._meter.counts, now)
                    refreshed_at = now
        finally:
            stop()

    async def flush(self) -> None:
        """Publish the last counts at a planned stop, and wait while the link sends them."""
        self.publish(now=boot_seconds())
        await anyio.sleep(LINK_FLUSH_SECONDS)

    def publish(self, *, now: float) -> None:
        """Publish the counts that changed since the last call.

        Parameters
        ----------
        now : float
            Boot clock in seconds.
        """
        self._publish(self._meter.pop_changed(), now)

    def _publish(self, counts: dict[Cell, Counts], now: float) -> None:
        for cell, counted in counts.items():
            key = f"{cell.window}/{cell.customer}"
            self._state.fact_store.publish(
                FactKind.USAGE, key, counted.encode(), lifetime=FACT_LIFETIME_SECONDS, now=now
            )

    def _on_fact(self, fact: Fact) -> None:
        is_for_this_process = fact.key == str(self._state.incarnation)
        if fact.kind is FactKind.USAGE_RECORDED and is_for_this_process:
            self._meter.forget(convert(fact.value, Unsigned))
