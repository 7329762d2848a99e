"""Guard against an organisation's limit that is spent by requests that never ran."""

import asyncio
from pathlib import Path

from integration.support import (
    CHAT_PATH,
    KEY,
    apply,
    chat,
    key_hash,
    record,
    send,
    standard_records,
)

from acaciarelay_standins.fleet import Fleet

WRONG_BODIES = 150


async def test_requests_that_never_ran_are_not_charged(tmp_path: Path) -> None:
    """Guards against invalid bodies that use up the limit, and an unlimited flood."""
    limited = record(
        "organisation",
        "dealer",
        key_hashes=[key_hash(KEY)],
        policy="standard",
        tokens_per_second=1,
        burst_tokens=6_000,
    )
    records = [limited if r["name"] == "dealer" else r for r in standard_records()]
    async with Fleet(tmp_path) as fleet:
        await fleet.start_platform()
        engine = await fleet.start_engine("engine")
        entry = await fleet.start_entry("entry-1")
        await fleet.start_agent("agent-1", "assistants", "chat", engine)
        await apply(fleet, records)
        await fleet.wait_ready()
        for _ in range(WRONG_BODIES):
            assert (await send(entry.http_address, "POST", CHAT_PATH, b"{")).code == 104
        assert (await chat(fleet, "entry-1", "a bowl", 8)).complete
        flood = [chat(fleet, "entry-1", f"x{n}", 8) for n in range(60)]
        assert 204 in [answer.code for answer in await asyncio.gather(*flood)]
