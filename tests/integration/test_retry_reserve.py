"""Guard against retries of which each start of an entry has a new reserve."""

import asyncio

from integration.platform_fleet import PlatformFleet
from relay_rig import configuration, route

RETRY_RATIO = 0.2
# Retries in a window beyond the ratio, for all entries and all their starts together.
RETRY_RESERVE = 20
WINDOW_S = 60.0
STARTS = 5
REQUESTS_PER_START = 12


async def test_an_entry_that_starts_again_and_again_has_one_reserve(tmp_path):
    """Guards against entries in a loop of crashes that flood failing endpoints."""
    async with PlatformFleet(tmp_path) as fleet:
        fleet.configure(
            configuration(
                2, routes=[route("/read/", "idempotent", timeoutMs=3000, sloMs=400)]
            )
        )
        for number in (1, 2, 3):
            await fleet.add_runner("orders", number)
        limits = {
            "retry_ratio": RETRY_RATIO,
            "retry_reserve": RETRY_RESERVE,
            "retry_window_s": WINDOW_S,
        }
        entries = [await fleet.add_entry(number, **limits) for number in (1, 2)]
        for runner in fleet.runners.values():
            runner.faults.error = True
        sent = 0
        for start in range(STARTS):
            if start:
                await asyncio.gather(*(entry.stop() for entry in entries))
                await asyncio.gather(*(entry.start() for entry in entries))
                for entry in entries:
                    await fleet.until_ready(entry.name)
            calls = [
                fleet.call(
                    entry.name, "/read/a", f"{entry.name}-{start}-{number}", "GET"
                )
                for number in range(REQUESTS_PER_START)
                for entry in entries
            ]
            sent += len(calls)
            await asyncio.gather(*calls)
        arrivals = sum(len(runner.runs) for runner in fleet.runners.values())
        assert arrivals >= sent
        assert arrivals - sent <= RETRY_RATIO * sent + RETRY_RESERVE
