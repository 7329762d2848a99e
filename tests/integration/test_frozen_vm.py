"""Guard against streams that are left to a VM that is frozen with its agent."""

import asyncio
import signal

import pytest
from integration.platform_fleet import PlatformFleet
from integration.test_entry_stop import LIMIT_MS, start_fleet

FREEZE_S = 4.0
# Callers abandon a stream after this time without an event.
ABANDONED_AFTER_S = 2.0
EVENTS = 100
STEP_S = 0.05
# Times from the request to the freeze: before the first event, and after some.
BEFORE_HEAD_S = 0.05
IN_ANSWER_S = 0.5


def freeze_vm(fleet: PlatformFleet) -> None:
    """Freeze the engine and its agent."""
    agent = fleet.programs["agent-1"].process
    assert agent is not None
    fleet.runners["i-1"].fall_silent(FREEZE_S)
    agent.send_signal(signal.SIGSTOP)


@pytest.mark.parametrize("after_s", [BEFORE_HEAD_S, IN_ANSWER_S])
async def test_a_caller_learns_of_a_frozen_vm_before_it_leaves(tmp_path, after_s):
    """Guards against a run that goes on at a frozen VM after its caller has left."""
    async with PlatformFleet(tmp_path) as fleet:
        await start_fleet(fleet)
        engine = fleet.runners["i-1"]
        engine.work_s, engine.step_s, engine.events = 0.2, STEP_S, EVENTS
        call = asyncio.create_task(
            fleet.call("entry-1", "/chat/a", "one", limit_ms=LIMIT_MS)
        )
        await asyncio.sleep(after_s)
        freeze_vm(fleet)
        waited_s = after_s if after_s == BEFORE_HEAD_S else 0.0
        answer = await asyncio.wait_for(call, ABANDONED_AFTER_S - waited_s)
        if after_s == BEFORE_HEAD_S:
            assert (answer.status, answer.complete) == (502, True)
            assert answer.headers["acaciarelay-outcome"] == "outcome_unknown"
        else:
            assert (answer.status, answer.complete) == (200, False)
        assert len(engine.runs) == 1
