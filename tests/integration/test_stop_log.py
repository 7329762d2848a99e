"""Guard against stops whose logs don't tell what became of their requests."""

import asyncio

from integration.platform_fleet import PlatformFleet, open_channel, request_head
from integration.test_entry_stop import (
    LIMIT_MS,
    begin_stop,
    call,
    start_fleet,
)

# More requests than the log writes lines in a second.
REFUSED_REQUESTS = 90


def lines_of(entry, attempt):
    return [line for line in entry.log() if line.get("request_id") == attempt]


async def test_a_stream_cut_by_a_stop_is_logged_beside_a_flood_of_lines(tmp_path):
    """Guards against a cut that the rate limit of the log leaves out."""
    async with PlatformFleet(tmp_path) as fleet:
        entry = await start_fleet(fleet)
        fleet.runners["i-1"].events = 200
        fleet.runners["i-1"].step_s = 0.05
        stream = asyncio.create_task(call(fleet, "/chat/a", "long"))
        waiting = [
            asyncio.create_task(call(fleet, "/spare/a", f"waiting-{number}"))
            for number in range(REFUSED_REQUESTS)
        ]
        await asyncio.sleep(0.3)
        stopping = begin_stop(entry)
        assert not (await stream).complete
        await asyncio.gather(*waiting)
        assert await stopping == 0
        ended = lines_of(entry, "long")[0]
        assert (ended["outcome"], ended["code"]) == ("failed", "entry_stopped")
        assert ended["arrived_after_stop_s"] < 0
        assert ended["sent_after_stop_s"] < 0
        assert 2.5 < ended["last_event_after_stop_s"] < 4.0
        assert not ended["answer_received"]
        assert ended["events"] > 20
        left_out = [
            line["over_rate"]
            for line in entry.log()
            if line["message_type"] == "log_lines_left_out"
        ]
        logged = [line for line in entry.log() if line.get("code") == "entry_stopping"]
        assert sum(left_out) + len(logged) >= REFUSED_REQUESTS


async def test_a_caller_that_leaves_during_a_stop_is_told_from_a_cut(tmp_path):
    """Guards against a stop that looks like callers who leave, and the reverse."""
    async with PlatformFleet(tmp_path) as fleet:
        entry = await start_fleet(fleet)
        fleet.runners["i-3"].work_s = 2.0
        head = request_head("/order/a", "left", limit_ms=LIMIT_MS)
        async with open_channel(entry.settings["caller_address"]) as (_, writer):
            writer.write(head)
            await asyncio.sleep(0.3)
            stopping = begin_stop(entry)
            await asyncio.sleep(0.3)
        assert await stopping == 0
        assert lines_of(entry, "left")[0]["outcome"] == "caller_gone"
