"""Guard against an entry at its limits that refuses the wrong tier (I2)."""

import asyncio
from pathlib import Path

from integration.tiers import (
    SMALL_LIMIT_FLAGS,
    TierAnswer,
    check_entry_order,
    engine_requests,
    flood,
    start_assistants,
)

from acaciarelay_standins.fleet import Fleet

BODY_BYTES = 12_000
# Two requests with such a body run at the same time.
TWO_LARGE = (
    *("--token-limit", "8000", "--token-limit-min", "8000"),
    *("--token-limit-max", "8000", "--largest-share", "1"),
)


async def test_request_slots_go_to_the_higher_tier(tmp_path: Path) -> None:
    """Guards against urgent requests refused while lower tiers fill --max-requests."""
    async with Fleet(tmp_path) as fleet:
        engines = await start_assistants(
            fleet,
            1,
            1,
            SMALL_LIMIT_FLAGS,
            ("--max-requests", "8"),
            wait_budget_ms=2_000,
        )
        answers: list[TierAnswer] = []
        lower = [
            asyncio.create_task(flood(fleet, "batch", 20, 2.5, 60, answers)),
            asyncio.create_task(flood(fleet, "normal", 12, 2.5, 60, answers)),
        ]
        await asyncio.sleep(0.5)
        await flood(fleet, "urgent", 4, 2.0, 20, answers, pause_s=0.2)
        await asyncio.gather(*lower)
        requests = await engine_requests(fleet, engines)
        assert check_entry_order(answers, requests) >= 20
        refused = {item.tier for item in answers if item.answer.code == 302}
        assert "batch" in refused
        assert "urgent" not in refused


async def test_body_bytes_go_to_the_higher_tier(tmp_path: Path) -> None:
    """Guards against urgent bodies refused while lower tiers fill --max-body-bytes."""
    async with Fleet(tmp_path) as fleet:
        engines = await start_assistants(
            fleet, 1, 1, TWO_LARGE, ("--max-body-bytes", "65536"), wait_budget_ms=2_000
        )
        answers: list[TierAnswer] = []
        lower = asyncio.create_task(
            flood(fleet, "batch", 20, 2.5, 60, answers, size=BODY_BYTES)
        )
        await asyncio.sleep(0.5)
        await flood(fleet, "urgent", 3, 2.0, 20, answers, pause_s=0.2, size=BODY_BYTES)
        await lower
        requests = await engine_requests(fleet, engines)
        assert check_entry_order(answers, requests) >= 20
        refused = {item.tier for item in answers if item.answer.code == 302}
        assert refused == {"batch"}
