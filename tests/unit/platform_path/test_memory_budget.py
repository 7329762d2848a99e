"""Guards against bodies that together occupy more memory than the VM has."""

import asyncio

import pytest
from hypothesis import given, strategies as st
from relay_rig import HOST, KEY, RawAnswer, RelayRig, configuration, read_raw_answer

from acaciarelay.coordination.memory_budget import (
    SMALL_BODY_BYTES,
    BodyMemory,
    MemoryBudget,
)
from acaciarelay_standins.runner_faults import RunnerFaults

BUDGET_BYTES = 1_000_000
BODY_BYTES = 400_000
LIMITS = {
    "maxHeaderBytes": 8192,
    "maxBodyBytes": 4_000_000,
    "headerTimeoutMs": 1000,
    "idleTimeoutMs": 3000,
}


@given(
    st.lists(
        st.tuples(st.integers(0, 4), st.one_of(st.none(), st.integers(0, 150))),
        max_size=60,
    )
)
def test_bodies_never_exceed_the_budget(steps):
    """Guards against memory that is counted twice or not at all; ``None`` releases."""
    budget = MemoryBudget(200)
    bodies = [BodyMemory(budget) for _ in range(5)]
    sizes = [0] * 5
    for index, size in steps:
        if size is None:
            bodies[index].release()
            sizes[index] = 0
            continue
        fits = sum(sizes) - sizes[index] + max(size, sizes[index]) <= 200
        assert bodies[index].grow_to(size) == fits
        if fits:
            sizes[index] = max(size, sizes[index])
        assert budget.used_bytes == sum(sizes) <= 200


@given(st.lists(st.integers(1, 200_000), max_size=80))
def test_long_bodies_leave_the_reserve_to_small_ones(sizes):
    """Guards against long bodies of slow endpoints that keep ordinary requests out."""
    budget = MemoryBudget(2_000_000, small_reserve_bytes=500_000)
    for size in sizes:
        before = budget.used_bytes
        limit = 2_000_000 if size <= SMALL_BODY_BYTES else 1_500_000
        assert BodyMemory(budget).grow_to(size) == (before + size <= limit)
    assert budget.used_bytes <= 2_000_000


def head(attempt: str, framing: str) -> bytes:
    """Return the head of an order with the given framing."""
    lines = [
        "POST /order/a HTTP/1.1",
        f"Host: {HOST}",
        f"Api-Key: {KEY}",
        f"Attempt-Id: {attempt}",
        framing,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def send_half(
    rig: RelayRig, attempt: str
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Begin a request, and leave the second half of its body unsent."""
    address, _, port = rig.address.rpartition(":")
    reader, writer = await asyncio.open_connection(address, int(port))
    writer.write(head(attempt, f"Content-Length: {BODY_BYTES}"))
    writer.write(b"x" * (BODY_BYTES // 2))
    await writer.drain()
    return reader, writer


async def order(rig: RelayRig, attempt: str) -> RawAnswer:
    return await rig.call("/order/a", body=b"y" * BODY_BYTES, attempt=attempt)


async def test_a_body_without_room_is_refused_at_once_and_the_others_are_served():
    """Guards against an entry that callers with large bodies bring to its end."""
    async with RelayRig(body_memory_bytes=BUDGET_BYTES) as rig:
        rig.configure(configuration(version=2, limits=LIMITS))
        await rig.add_runner("orders")
        unfinished = [await send_half(rig, f"slow-{number}") for number in range(2)]
        await asyncio.sleep(0.1)
        answer = await order(rig, "a-1")
        assert answer.status == 503
        assert answer.headers["acaciarelay-code"] == "302"
        assert float(answer.headers["retry-after"]) > 0
        assert rig.arrivals == 0
        assert (await rig.call("/order/a", body=b"small", attempt="a-2")).status == 200
        # The unfinished ones are refused at the time-out and leave their room.
        for reader, _ in unfinished:
            assert (await read_raw_answer(reader)).status == 408
        assert (await order(rig, "a-3")).status == 200


async def test_a_chunked_body_is_refused_when_it_outgrows_the_room():
    """Guards against bodies of unknown length that are collected without a bound."""
    async with RelayRig(body_memory_bytes=BUDGET_BYTES) as rig:
        rig.configure(configuration(version=2, limits=LIMITS))
        await rig.add_runner("orders")
        data = head("a-1", "Transfer-Encoding: chunked")
        data += b"30D40\r\n" + b"x" * 200_000 + b"\r\n"
        data += b"DBBA0\r\n" + b"x" * 900_000 + b"\r\n"
        answer = await rig.exchange(data)
        assert answer.status == 503
        assert answer.headers["acaciarelay-code"] == "302"
        assert rig.arrivals == 0
        assert (await order(rig, "a-2")).status == 200


@pytest.mark.parametrize("leaves", ["after_the_body", "in_the_body"])
async def test_room_is_given_back_when_the_caller_leaves(leaves):
    """Guards against room that is lost with each caller that disconnects."""
    async with RelayRig(body_memory_bytes=BUDGET_BYTES) as rig:
        rig.configure(configuration(version=2, limits=LIMITS))
        runner = await rig.add_runner("orders", work_s=0.2)
        address, _, port = rig.address.rpartition(":")
        for number in range(4):
            _, writer = await asyncio.open_connection(address, int(port))
            writer.write(head(f"a-{number}", f"Content-Length: {BODY_BYTES}"))
            sent = BODY_BYTES if leaves == "after_the_body" else BODY_BYTES // 2
            writer.write(b"x" * sent)
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.transport.abort()
            await asyncio.sleep(0.05)
        assert (await order(rig, "last")).status == 200
        assert runner.runs


async def test_answers_share_the_room_and_a_large_one_ends_as_unknown():
    """Guards against several faulty runners that fill the memory with long answers."""
    async with RelayRig(body_memory_bytes=BUDGET_BYTES) as rig:
        faulty = await rig.add_runner("orders")
        faulty.faults = RunnerFaults(endless="body")
        answer = await rig.call("/order/a", limit_ms=1500)
        assert answer.status == 502
        assert faulty.endless_bytes < 8 * BUDGET_BYTES
        assert rig.body_memory.used_bytes == 0
