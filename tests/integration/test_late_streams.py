"""Guard against streams that a stopping entry takes on and can't end in its time."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from integration.platform_fleet import (
    PlatformFleet,
    Program,
    open_channel,
    request_head,
)
from integration.test_entry_stop import begin_stop, check_refused, ran, start_fleet
from relay_rig import read_raw_answer

GRACE_S = 8.0
LIMIT_MS = 15_000
# Until then after SIGTERM, the platform may still send new connections to an entry.
NOTICED_S = 3.0
EVENTS = 20
USUAL_STEP_S = 0.005
# A stream with such steps outlasts the grace time.
SLOW_STEP_S = 0.5
# Pause of a caller between an answer and its next request.
PAUSE_S = 0.2
# The latest end of a stream after SIGTERM that leaves time for the exit.
LATEST_END_S = 7.3


@pytest.fixture
async def fleet(tmp_path) -> AsyncIterator[PlatformFleet]:
    async with PlatformFleet(tmp_path) as fleet:
        fleet.stop_grace_s = GRACE_S
        yield fleet


async def start_usual_load(fleet: PlatformFleet) -> Program:
    """Start a fleet whose entry knows engines by their usual pace."""
    entry = await start_fleet(fleet)
    engine = fleet.runners["i-1"]
    engine.events = EVENTS
    engine.step_s = USUAL_STEP_S
    for number in range(4):
        answer = await fleet.call("entry-1", "/chat/a", f"usual-{number}")
        assert answer.complete
    await asyncio.sleep(0.5)
    return entry


async def test_a_late_stream_at_an_engine_that_turns_slow_is_not_cut(fleet):
    """Guards against a stream cut that was taken late on an estimate of its time."""
    entry = await start_usual_load(fleet)
    engine = fleet.runners["i-1"]
    address = entry.settings["caller_address"]
    async with open_channel(address) as (reader, writer):
        engine.step_s = (NOTICED_S + 0.5) / EVENTS
        writer.write(request_head("/chat/a", "first", limit_ms=LIMIT_MS))
        await asyncio.sleep(0.3)
        stopping = begin_stop(entry)
        first = await read_raw_answer(reader)
        assert first.complete
        assert "connection" not in first.headers
        engine.step_s = SLOW_STEP_S
        writer.write(request_head("/chat/a", "second", limit_ms=LIMIT_MS))
        check_refused(await read_raw_answer(reader))
    assert not ran(fleet, "second")
    assert await stopping == 0


async def test_a_request_right_after_an_answer_does_not_cross_the_close(fleet):
    """Guards against a close just after an answer that did not announce it."""
    entry = await start_usual_load(fleet)
    engine = fleet.runners["i-1"]
    address = entry.settings["caller_address"]
    async with open_channel(address) as (reader, writer):
        engine.step_s = (NOTICED_S + 0.5) / EVENTS
        writer.write(request_head("/chat/a", "first", limit_ms=LIMIT_MS))
        await asyncio.sleep(0.3)
        stopping = begin_stop(entry)
        first = await read_raw_answer(reader)
        assert first.complete
        assert "connection" not in first.headers
        await asyncio.sleep(PAUSE_S)
        writer.write(request_head("/order/a", "next", limit_ms=LIMIT_MS))
        answer = await read_raw_answer(reader)
    assert (answer.status, answer.complete) == (200, True)
    assert answer.headers["connection"] == "close"
    assert await stopping == 0


async def test_a_stream_that_needs_most_of_the_grace_is_not_cut(fleet):
    """Guards against a begun stream that is cut although there is time for its end."""
    entry = await start_usual_load(fleet)
    engine = fleet.runners["i-1"]
    engine.step_s = LATEST_END_S / EVENTS
    stream = asyncio.create_task(
        fleet.call("entry-1", "/chat/a", "long", limit_ms=LIMIT_MS)
    )
    await asyncio.sleep(0.1)
    stopping = begin_stop(entry)
    assert (await stream).complete
    assert await stopping == 0


async def test_an_order_at_the_end_of_the_grace_is_answered_beside_a_stream(fleet):
    """Guards against an order whose answer waits for the end of begun streams."""
    entry = await start_usual_load(fleet)
    fleet.runners["i-1"].step_s = LIMIT_MS / 1000 / EVENTS
    fleet.runners["i-3"].work_s = LIMIT_MS / 1000
    stream = asyncio.create_task(
        fleet.call("entry-1", "/chat/a", "long", limit_ms=LIMIT_MS)
    )
    order = asyncio.create_task(
        fleet.call("entry-1", "/order/a", "order", limit_ms=LIMIT_MS)
    )
    await asyncio.sleep(0.1)
    began = asyncio.get_running_loop().time()
    stopping = begin_stop(entry)
    answer = await order
    answered_s = asyncio.get_running_loop().time() - began
    assert (answer.status, answer.headers["acaciarelay-code"]) == (502, "508")
    assert not (await stream).complete
    assert await stopping == 0
    assert answered_s < GRACE_S - 0.8
