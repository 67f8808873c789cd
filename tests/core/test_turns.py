"""Work in turns of the event loop."""

import pytest

from samphirehall.core.turns import STEPS_PER_TURN, Turn
from tests.support.turns import steps_between_turns

pytestmark = pytest.mark.anyio


async def test_steps_without_a_wait_are_divided_into_turns():
    turn = Turn()
    async with steps_between_turns() as count:
        for _ in range(10 * STEPS_PER_TURN):
            await turn.step()
            count.add()
    assert count.most <= STEPS_PER_TURN


async def test_restart_begins_a_whole_turn():
    turn = Turn()
    async with steps_between_turns() as count:
        for _ in range(STEPS_PER_TURN - 1):
            await turn.step()
        turn.restart()
        for _ in range(STEPS_PER_TURN - 1):
            await turn.step()
            count.add()
    assert count.most == STEPS_PER_TURN - 1
