"""Guard against whole requests dropped behind an answer on the same connection."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest
from integration.platform_fleet import (
    PlatformFleet,
    Program,
    open_channel,
    request_head,
)
from integration.test_changes_midway import CONFIGURATION_CHANGES, base_configuration
from integration.test_entry_stop import begin_stop, start_fleet
from relay_rig import RawAnswer, read_raw_answer

LIMIT_MS = 8000
WORK_S = 0.8
COUNT = 3


async def call_pipelined(
    fleet: PlatformFleet, entry: Program, event: Any
) -> list[RawAnswer]:
    """Send requests at once on one connection; ``event`` is called behind the first."""
    async with open_channel(entry.settings["caller_address"]) as (reader, writer):
        for number in range(COUNT):
            writer.write(request_head("/order/a", f"n-{number}", limit_ms=LIMIT_MS))
        await asyncio.sleep(WORK_S / 2)
        event()
        answers = []
        while len(answers) < COUNT:
            answers.append(await read_raw_answer(reader))
            if answers[-1].headers.get("connection") == "close":
                break
        return answers


@pytest.fixture
async def fleet(tmp_path) -> AsyncIterator[PlatformFleet]:
    async with PlatformFleet(tmp_path) as fleet:
        yield fleet


@pytest.mark.parametrize("alter", CONFIGURATION_CHANGES)
async def test_a_change_drops_no_request_behind_another_one(fleet, alter):
    """Guards against a pipelined request dropped when the configuration changes.

    Only a head beyond a lowered limit may end the connection, and says so.
    """
    entry = await start_fleet(fleet)
    fleet.runners["i-3"].work_s = WORK_S
    value = base_configuration(3)
    alter(value)
    answers = await call_pipelined(fleet, entry, lambda: fleet.configure(value))
    assert all(answer.complete for answer in answers), answers
    assert len(answers) == COUNT or answers[-1].status == 431


async def test_a_stop_drops_no_request_behind_another_one(fleet):
    """Guards against a pipelined request dropped when its entry is stopped."""
    entry = await start_fleet(fleet)
    fleet.runners["i-3"].work_s = WORK_S
    stops: list[asyncio.Task[int]] = []
    answers = await call_pipelined(
        fleet, entry, lambda: stops.append(begin_stop(entry))
    )
    assert [answer.complete for answer in answers] == [True] * COUNT, answers
    closing = [answer.headers.get("connection") for answer in answers]
    assert closing == [None] * (COUNT - 1) + ["close"]
    assert await stops[0] == 0
