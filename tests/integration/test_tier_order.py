"""Guard against shedding a request while lower work waits or runs (I2)."""

import asyncio
from pathlib import Path
from typing import Any

from integration.tiers import (
    WIDE,
    Told,
    check_tier_order,
    engine_requests,
    flood,
    send_one,
    start_assistants,
)

from acaciarelay_standins.fleet import Fleet

# Time for a reservation to reach the agents on a busy machine.
ARRIVAL_S = 0.1
# Too short to stop all lower work one by one before a request has used it up.
SHORT_BUDGET_MS = 300
# Nearly all the room of a wide agent, at four bytes a token.
LARGE_BYTES = 15_000


def count_passed(told: list[Told], requests: list[dict[str, Any]]) -> int:
    """Count the starts of lowest work while urgent requests waited at the agents."""
    starts = {request["request_id"]: request["start"] for request in requests}
    passed = 0
    for item in told:
        start = starts.get(item.answer.request_id)
        if item.tier != "urgent" or start is None:
            continue
        arrived = item.answer.started_at + ARRIVAL_S
        passed += sum(
            request["tier"] == "2" and arrived < request["start"] < start
            for request in requests
        )
    return passed


async def test_a_flood_of_the_lowest_tier_sheds_nothing_urgent(
    tmp_path: Path,
) -> None:
    """Guards against lower work that keeps its places from urgent requests."""
    async with Fleet(tmp_path) as fleet:
        engines = await start_assistants(fleet)
        told: list[Told] = []
        flooding = asyncio.create_task(flood(fleet, "batch", 60, 5.0, 60, told))
        await asyncio.sleep(0.5)
        await flood(fleet, "urgent", 3, 4.0, 30, told, pause_s=0.3)
        await flooding
        requests = await engine_requests(fleet, engines)
        check_tier_order(told, requests)
        assert any(item.shed for item in told if item.tier == "batch")
        urgent = [item.answer.code for item in told if item.tier == "urgent"]
        assert len(urgent) >= 5
        assert not any(urgent), urgent
        passed = count_passed(told, requests)
        assert passed <= len(urgent) / 2, f"{passed} started before {len(urgent)}"


async def test_a_flood_of_the_most_urgent_tier_stops_lower_work_first(
    tmp_path: Path,
) -> None:
    """Guards against urgent requests that are shed before lower work is stopped."""
    async with Fleet(tmp_path) as fleet:
        engines = await start_assistants(
            fleet, agent_flags=WIDE, wait_budget_ms=SHORT_BUDGET_MS
        )
        told: list[Told] = []
        lower = [
            asyncio.create_task(flood(fleet, tier, 25, 3.5, 250, told))
            for tier in ("normal", "batch")
        ]
        await asyncio.sleep(0.8)
        before = await engine_requests(fleet, engines)
        assert sum(request["end"] is None for request in before) >= 4
        await flood(fleet, "urgent", 80, 2.5, 250, told)
        await asyncio.gather(*lower)
        requests = await engine_requests(fleet, engines)
        assert check_tier_order(told, requests) >= 20
        assert any(item.answer.code == 502 for item in told)


async def test_a_middle_tier_is_not_shed_while_the_lowest_runs(
    tmp_path: Path,
) -> None:
    """Guards against a floor for urgent work that lets lowest work outlive others."""
    async with Fleet(tmp_path) as fleet:
        engines = await start_assistants(
            fleet, agent_flags=WIDE, wait_budget_ms=SHORT_BUDGET_MS
        )
        told: list[Told] = []
        lowest = asyncio.create_task(flood(fleet, "batch", 70, 3.0, 250, told))
        await asyncio.sleep(1.0)
        # Each large request raises the floor, and needs many others to be stopped.
        large = asyncio.create_task(
            flood(fleet, "urgent", 4, 2.0, 20, told, size=LARGE_BYTES)
        )
        await asyncio.sleep(SHORT_BUDGET_MS / 3000)
        await flood(fleet, "normal", 6, 2.0, 60, told)
        await large
        await lowest
        requests = await engine_requests(fleet, engines)
        assert check_tier_order(told, requests) >= 10


async def test_a_full_queue_at_the_agent_keeps_the_order(tmp_path: Path) -> None:
    """Guards against sheds by a full queue while lower work runs."""
    async with Fleet(tmp_path) as fleet:
        engines = await start_assistants(
            fleet,
            agent_flags=(*WIDE, "--max-waiting", "4"),
            wait_budget_ms=SHORT_BUDGET_MS,
        )
        told: list[Told] = []
        lower = asyncio.create_task(flood(fleet, "batch", 50, 2.5, 250, told))
        await asyncio.sleep(1.0)
        await flood(fleet, "urgent", 80, 2.0, 250, told)
        await lower
        requests = await engine_requests(fleet, engines)
        assert check_tier_order(told, requests) >= 10


async def test_a_large_urgent_request_runs_in_the_room_made_for_it(
    tmp_path: Path,
) -> None:
    """Guards against a shed right after the last lower work was stopped for it."""
    async with Fleet(tmp_path) as fleet:
        await start_assistants(
            fleet, 1, 1, agent_flags=WIDE, wait_budget_ms=SHORT_BUDGET_MS
        )
        told: list[Told] = []
        lower = [
            asyncio.create_task(send_one(fleet, "entry-1", "batch", 250, told))
            for _ in range(15)
        ]
        await asyncio.sleep(0.5)
        urgent: list[Told] = []
        await send_one(fleet, "entry-1", "urgent", 20, urgent, LARGE_BYTES)
        await asyncio.gather(*lower)
        assert sum(item.answer.code == 502 for item in told) >= 10
        assert urgent[0].answer.whole, urgent[0].answer
