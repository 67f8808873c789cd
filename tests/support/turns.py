"""Counts how much a task does between two turns of the event loop, without a clock."""

import contextlib
from dataclasses import dataclass

import anyio
import anyio.lowlevel


@dataclass(slots=True)
class StepCount:
    """Steps that were counted since the last turn of another task, and the most in one turn."""

    in_this_turn: int = 0
    most: int = 0

    def add(self) -> None:
        self.in_this_turn += 1
        self.most = max(self.most, self.in_this_turn)

    def counted(self, function):
        """Return `function` with each call counted as a step."""

        def call(*arguments, **options):
            self.add()
            return function(*arguments, **options)

        return call


@contextlib.asynccontextmanager
async def steps_between_turns():
    """Yield a `StepCount` that begins anew whenever another task of the event loop has a turn."""
    count = StepCount()

    async def take_turns():
        while True:
            count.in_this_turn = 0
            await anyio.lowlevel.checkpoint()

    async with anyio.create_task_group() as group:
        group.start_soon(take_turns)
        try:
            yield count
        finally:
            group.cancel_scope.cancel()
