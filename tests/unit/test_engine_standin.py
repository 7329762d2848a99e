"""Guard against errors in the engine stand-in that would falsify measurements."""

import asyncio

import orjson
from unit.standin_serving import serving

from acaciarelay.coordination.prefix import prefix_hash
from acaciarelay.transport.http_client import fetch
from acaciarelay_standins.engine import EngineStandin, parse_arguments
from acaciarelay_standins.engine_model import (
    Batch,
    EngineSpeed,
    EventLog,
    PrefixCache,
    block_hashes,
)


async def test_the_batch_is_first_in_first_out_despite_cancelled_waits() -> None:
    """Guards against a cancelled wait that keeps its slot and blocks the engine."""
    batch = Batch(1, lambda: None)
    await batch.enter()
    order: list[int] = []

    async def wait(number: int) -> None:
        await batch.enter()
        order.append(number)

    tasks = [asyncio.create_task(wait(number)) for number in range(4)]
    await asyncio.sleep(0)
    tasks[1].cancel()
    batch.leave()
    tasks[0].cancel()
    await asyncio.wait(tasks[:2])
    for _ in range(2):
        await asyncio.sleep(0)
        batch.leave()
    await asyncio.wait(tasks)
    assert (order, batch.running, batch.waiting) == ([2, 3], 0, 0)


def test_a_fuller_batch_is_slower_for_each_stream() -> None:
    speed = EngineSpeed(
        prefill_tokens_per_s=1.0, decode_tokens_per_s=100.0, slowdown=0.1
    )
    assert speed.token_interval_s(1) == 0.01
    assert speed.token_interval_s(11) == 0.02


def test_the_cache_is_bounded_and_reports_what_it_removes() -> None:
    events = EventLog(0.0, 0.0, 0)
    cache = PrefixCache(2, events)
    first, second = block_hashes("m", b"a" * 2_048), block_hashes("m", b"b" * 1_024)
    cache.store(first)
    assert cache.cached_tokens(block_hashes("m", b"a" * 3_000)) == 512
    assert cache.cached_tokens(block_hashes("other", b"a" * 2_048)) == 0
    cache.store(second)
    assert len(cache.blocks) == 2
    assert [event.kind for event in events.after(0)] == ["stored"] * 3 + ["removed"]


def test_lost_events_leave_gaps() -> None:
    events = EventLog(0.0, 0.5, 1)
    for number in range(100):
        events.publish("stored", number)
    numbers = [event.seq for event in events.after(0)]
    assert 20 < len(numbers) < 80 and numbers == sorted(numbers)
    assert events.after(numbers[-2])[0].seq == numbers[-1]


async def test_a_repeated_prompt_skips_prefill() -> None:
    standin = EngineStandin(
        parse_arguments(["--prefill-tokens-per-s=1e6", "--decode-tokens-per-s=1e5"])
    )
    body = orjson.dumps(
        {"model": "m", "messages": [{"role": "user", "content": "x" * 4_096}]}
    )
    async with serving(standin.handle) as address:
        for _ in range(2):
            await fetch(address, "POST", "/v1/chat/completions", body=body)
        record = (await fetch(address, "GET", "/record?after=1")).unwrap()
    assert [item.prefill_tokens for item in standin.requests] == [1_024, 0]
    assert len(orjson.loads(record.body)["requests"]) == 1


def test_cache_events_name_the_prefix_as_reservations_do() -> None:
    """Guards against cache events whose hash matches no reservation's prefix."""
    for text in (b"short", b"a" * 3_000):
        assert block_hashes("m", text)[0] == prefix_hash("m", text)
