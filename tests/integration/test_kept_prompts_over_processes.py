"""Prompts with long shared parts from entry to agent and back, as real processes."""

import asyncio

from integration.platform_fleet import PlatformFleet
from integration.test_platform_path import start_full_fleet

CALLS = 20
INTERVAL_S = 0.3


def ends(fleet: PlatformFleet, entry: str, name: str) -> list[dict]:
    """Return the log lines of the ends of requests with a name."""
    return [
        line
        for line in fleet.programs[entry].log()
        if line["message_type"] == "request_ended"
        and line["request_id"].startswith(name)
    ]


async def test_entries_learn_which_engines_keep_a_part(tmp_path):
    """Guards against hints that no entry gets, and against failures by wrong ones.

    The engines here keep nothing, so that hints come and go.
    """
    async with PlatformFleet(tmp_path) as fleet:
        await start_full_fleet(fleet)
        for number in range(CALLS):
            for entry in ("entry-1", "entry-2"):
                long = await fleet.call(
                    entry,
                    "/chat/a",
                    f"long-{number}",
                    parts=f"shared:1000,{number:x}:200",
                    prompt_tokens=1200,
                )
                short = await fleet.call(
                    entry, "/chat/a", f"short-{number}", parts=f"few:60,{number:x}:40"
                )
                assert long.complete and short.complete
            await asyncio.sleep(INTERVAL_S)
        for entry in ("entry-1", "entry-2"):
            lines = ends(fleet, entry, "long")
            assert {line["shared_tokens"] for line in lines} == {1000}
            hinted = [line for line in lines if line["most_kept_tokens"]]
            assert hinted
            assert all(line["most_kept_tokens"] < 1000 for line in hinted)
            assert any(line["kept_tokens"] for line in hinted)
            assert not any("shared_tokens" in x for x in ends(fleet, entry, "short"))
