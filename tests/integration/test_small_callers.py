"""Guard against head-of-line blocking by an organisation with many requests."""

import asyncio
from pathlib import Path

from integration.support import SMALL_KEY, Answer, chat
from integration.tiers import SMALL_LIMIT_FLAGS, engine_requests, start_assistants

from acaciarelay_standins.fleet import Fleet

LARGE_REQUESTS = 40
SMALL_REQUESTS = 3
# A round of the large organisation has at most two of its requests; a third may have
# been pulled already when the small one arrives. The bound allows one more.
MAX_STARTED_BEFORE = 4


async def test_a_single_request_passes_a_queue_of_forty(tmp_path: Path) -> None:
    """Guards against a small caller that waits behind a large one's whole queue."""
    async with Fleet(tmp_path) as fleet:
        engines = await start_assistants(
            fleet,
            1,
            1,
            (*SMALL_LIMIT_FLAGS, "--quantum-tokens", "150"),
            wait_budget_ms=6_000,
        )
        large = [
            asyncio.create_task(chat(fleet, "entry-1", f"large {number}", 80))
            for number in range(LARGE_REQUESTS)
        ]
        await asyncio.sleep(0.6)
        small: list[Answer] = []
        for number in range(SMALL_REQUESTS):
            text = f"small {number}"
            answer = await chat(fleet, "entry-1", text, 20, key=SMALL_KEY)
            assert answer.complete, answer
            small.append(answer)
        assert not all(task.done() for task in large)
        for task in large:
            task.cancel()
        await asyncio.gather(*large, return_exceptions=True)
        requests = await engine_requests(fleet, engines)
        starts = {request["request_id"]: request["start"] for request in requests}
        for answer in small:
            started = starts[answer.request_id]
            started_before = [
                request
                for request in requests
                if request["organisation"] == "dealer"
                and answer.started_at < request["start"] < started
            ]
            assert len(started_before) <= MAX_STARTED_BEFORE, (
                f"{len(started_before)} requests started before"
            )
