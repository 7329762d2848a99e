"""Guard against answers that a stopping entry drops before slow callers have them."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from integration.platform_fleet import PlatformFleet, Program, request_head
from integration.slow_peers import LIMIT_MS, connect
from integration.test_entry_stop import begin_stop, start_fleet
from relay_rig import RawAnswer

GRACE_S = 8.0
# More than the kernel holds for a caller that does not read.
ANSWER_BYTES = 8_000_000
EVENTS = 60
# Times after SIGTERM at which a caller reads on, around the end of begun answers.
RESUME_S = (6.9, 7.4, 7.6)


@pytest.fixture
async def fleet(tmp_path) -> AsyncIterator[PlatformFleet]:
    async with PlatformFleet(tmp_path) as fleet:
        fleet.stop_grace_s = GRACE_S
        yield fleet


async def resume_reading_at(
    fleet: PlatformFleet, entry: Program, target: str, at_s: float
) -> RawAnswer:
    """Send a request, stop the entry, and read nothing up to ``at_s`` of the stop."""
    caller = await connect(entry)
    await caller.send(request_head(target, "slow", limit_ms=LIMIT_MS))
    await asyncio.sleep(0.3)
    stopping = begin_stop(entry)
    await asyncio.sleep(at_s)
    answer = await caller.read()
    assert await stopping == 0
    return answer


@pytest.mark.parametrize("slow_peers", [False, True])
@pytest.mark.parametrize("at_s", RESUME_S)
async def test_a_large_body_waits_for_a_slow_caller_to_the_end(fleet, at_s, slow_peers):
    """Guards against a body dropped at the end of the grace that the entry has."""
    entry = await start_fleet(fleet, slow_peers=slow_peers)
    fleet.runners["i-3"].padding_bytes = ANSWER_BYTES
    answer = await resume_reading_at(fleet, entry, "/order/a", at_s)
    assert (answer.status, answer.complete) == (200, True)
    assert len(answer.body) > ANSWER_BYTES


@pytest.mark.parametrize("slow_peers", [False, True])
@pytest.mark.parametrize("at_s", RESUME_S)
async def test_an_ended_stream_waits_for_a_slow_caller_to_the_end(
    fleet, at_s, slow_peers
):
    """Guards against a stream cut at the end of the grace whose engine has ended."""
    entry = await start_fleet(fleet, slow_peers=slow_peers)
    engine = fleet.runners["i-1"]
    engine.events = EVENTS
    engine.step_s = 0.0
    engine.padding_bytes = ANSWER_BYTES // EVENTS
    answer = await resume_reading_at(fleet, entry, "/chat/a", at_s)
    assert (answer.status, answer.complete) == (200, True)
    assert answer.body.count(b"data: piece") == EVENTS
