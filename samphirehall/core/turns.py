"""Turns of the event loop for work on input that has already arrived.

A coroutine that waits for nothing keeps the event loop from all other work, so that a peer
that sends many small pieces at once could stop a process. Such work is done in turns.
"""

import anyio.lowlevel

STEPS_PER_TURN = 32  # about a millisecond of parsing


class Turn:
    """Counts the steps of a task since it last waited, and yields after `STEPS_PER_TURN`."""

    __slots__ = ("_steps",)

    def __init__(self) -> None:
        self._steps = 0

    def restart(self) -> None:
        """Count from zero, as the task has just waited for something else."""
        self._steps = 0

    async def step(self) -> None:
        """Count a step, and let the event loop run other tasks if the turn is over."""
        self._steps += 1
        if self._steps >= STEPS_PER_TURN:
            self._steps = 0
            await anyio.lowlevel.checkpoint()
