"""Guard against slow callers and endpoints that hold up others or use up memory."""

import asyncio

from integration.platform_fleet import PlatformFleet, Program, exchange, request_head
from integration.slow_peers import (
    LIMIT_MS,
    LONG,
    LONG_BYTES,
    SlowEndpoint,
    peak_memory_mb,
    read_late,
    start_fleet,
)
from relay_rig import RawAnswer

# Settings of a deployment with slow callers; an unknown contract changes nothing.
SLOW_PEERS = {"contracts": ["pressure", "of_another_release"]}
SILENT_S = 6.0
# Memory of a VM with which the long answers of all slots fit, and of the smallest VM.
LARGE_MB = 552.0
SMALLEST_MB = 128.0
# Part of the smallest VM's memory that an entry has for everything.
USABLE_SHARE = 0.75


async def ordinary_chats(fleet: PlatformFleet, count: int) -> list[RawAnswer]:
    """Send chats over some seconds whose callers read at once."""
    chats = []
    for number in range(count):
        call = fleet.call("entry-1", "/chat/a", f"chat-{number}", limit_ms=LIMIT_MS)
        chats.append(asyncio.create_task(call))
        await asyncio.sleep(SILENT_S / count)
    return await asyncio.gather(*chats)


async def send_body(entry: Program, target: str, attempt: str, size: int) -> RawAnswer:
    """Send a request with a body and read its answer."""
    head = request_head(target, attempt, limit_ms=LIMIT_MS, body_bytes=size)
    return await exchange(entry.settings["caller_address"], head + b"x" * size)


def whole(answers: list[RawAnswer]) -> int:
    return sum(answer.status == 200 and answer.complete for answer in answers)


async def test_callers_that_read_nothing_keep_no_slots(tmp_path):
    """Guards against slots that are held until their callers have read the answers."""
    async with PlatformFleet(tmp_path) as fleet:
        entry = await start_fleet(fleet, LARGE_MB, **SLOW_PEERS)
        silent = []
        for number in range(9):
            read = read_late(entry, "/chat/a", f"{LONG}-{number}", SILENT_S)
            silent.append(asyncio.create_task(read))
        ordinary = await ordinary_chats(fleet, 8)
        assert [answer.status for answer in ordinary] == [200] * 8
        late = await asyncio.gather(*silent)
        assert (whole(ordinary), whole(late)) == (8, 9)
        assert all(len(answer.body) > LONG_BYTES for answer in late)


async def test_many_callers_that_read_nothing_use_bounded_memory(tmp_path):
    """Guards against an entry that callers without progress bring to its end."""
    async with PlatformFleet(tmp_path) as fleet:
        entry = await start_fleet(fleet, SMALLEST_MB, **SLOW_PEERS)
        silent = []
        for number in range(30):
            target = "/file/a" if number % 3 == 0 else "/chat/a"
            read = read_late(entry, target, f"{LONG}-{number}", SILENT_S)
            silent.append(asyncio.create_task(read))
        await asyncio.sleep(3.0)
        ordinary = await ordinary_chats(fleet, 8)
        late = await asyncio.gather(*silent)
        assert [answer.status for answer in ordinary] == [200] * 8
        assert peak_memory_mb(entry) < USABLE_SHARE * SMALLEST_MB
        # A cut answer is never complete, and a complete one is whole.
        for answer in late:
            if answer.status == 200 and answer.complete:
                assert len(answer.body) > LONG_BYTES
        cuts = [line for line in entry.log() if line["message_type"] == "caller_cut"]
        assert cuts
        assert whole(late) + len(cuts) <= len(late)


async def test_long_bodies_to_a_slow_endpoint_leave_room_for_ordinary_ones(tmp_path):
    """Guards against long bodies that keep small ones out, or that wait for room."""
    async with PlatformFleet(tmp_path) as fleet:
        entry = await start_fleet(fleet, SMALLEST_MB, **SLOW_PEERS)
        slow = SlowEndpoint(bytes_per_s=200_000)
        fleet.servers["slow"], address = await slow.listen("127.0.2.8")
        fleet.register_address("uploads", 8, address)
        await asyncio.sleep(1.0)
        uploads = []
        for size in [4_000_000] * 8 + [500_000] * 20 + [70_000] * 10:
            upload = send_body(entry, "/upload/a", f"u-{len(uploads)}", size)
            uploads.append(asyncio.create_task(upload))
            await asyncio.sleep(0.05)
        ordinary = await asyncio.gather(
            *(send_body(entry, "/order/a", f"o-{n}", 60_000) for n in range(12))
        )
        assert [answer.status for answer in ordinary] == [200] * 12
        refused = [upload.result() for upload in uploads if upload.done()]
        assert {(a.status, a.headers["acaciarelay-code"]) for a in refused} == {
            (503, "302")
        }
        # Those that were not refused at once were sent, and wait for the endpoint.
        assert slow.arrivals == len(uploads) - len(refused) > 0
        for upload in uploads:
            upload.cancel()
