"""Guard against stalled endpoints and callers that keep resources occupied."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import pytest_asyncio
from integration.cluster import Cluster, PendingRequest, reported_outcome, start_cluster
from integration.raw_caller import RawCaller, request_head
from integration.support import chat_body

# The limits under test; all other requests must stay within them.
READ_TIMEOUT_S = 1.0
STALL_S = 1.0
LARGE_TOKENS = 4_000_000


@pytest_asyncio.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    async with start_cluster(
        tmp_path,
        engine_flags=["--prefill-tokens-per-s", "100000"],
        agent_flags=["--stall-s", str(STALL_S)],
        entry_flags=["--read-timeout-s", str(READ_TIMEOUT_S)],
        proxied=False,
    ) as cluster:
        yield cluster


def address_of(cluster: Cluster) -> str:
    return cluster.fleet.entries["entry-1"].http_address


@contextlib.asynccontextmanager
async def others_unaffected(cluster: Cluster) -> AsyncIterator[None]:
    """Check that a stream during the fault and a short request after it succeed."""
    stream = cluster.start_request("other", 80)
    await stream.wait_first_byte()
    yield
    short = cluster.start_request("after", 8)
    await cluster.assert_invariants()
    assert stream.complete and short.complete


async def begin_faulty(cluster: Cluster, **faults: int) -> PendingRequest:
    """Send a request that is the only one affected by the faults of the engine."""
    await cluster.set_engine_faults("agent-1", count=1, **faults)
    seen = len(await cluster.engine_requests())
    call = cluster.start_request("faulty", 100)
    await cluster.wait_requests(seen + 1)
    await cluster.set_engine_faults("agent-1")
    return call


async def test_a_stalled_engine_ends_one_stream(cluster: Cluster) -> None:
    """Guard against a stream that waits without end for a stalled engine."""
    async with others_unaffected(cluster):
        call = await begin_faulty(cluster, stall_after=5)
        answer = await call.wait_answer(STALL_S + 5.0)
        assert answer.code == 501
        assert reported_outcome(answer) == "ran"
        assert answer.error is not None, "a truncated answer looks complete"


async def test_a_dying_engine_ends_one_stream(cluster: Cluster) -> None:
    """Guard against a truncated answer that looks complete."""
    async with others_unaffected(cluster):
        call = await begin_faulty(cluster, die_after=5)
        answer = await call.wait_answer(5.0)
        assert answer.code == 503
        assert reported_outcome(answer) == "ran"
        assert answer.error is not None, "a truncated answer looks complete"


async def test_a_caller_that_stops_reading_is_dropped(tmp_path: Path) -> None:
    """Guard against callers that don't read and so keep a run and its answer open."""
    fast = ["--decode-tokens-per-s", "4000000", "--tokens-per-event", "20000"]
    async with start_cluster(
        tmp_path,
        engine_flags=fast,
        entry_flags=["--read-timeout-s", str(READ_TIMEOUT_S)],
        proxied=False,
    ) as cluster:
        async with RawCaller(address_of(cluster)) as caller:
            await caller.send_request(chat_body("unread", LARGE_TOKENS))
            await cluster.wait_requests(1)
            await cluster.wait_idle(READ_TIMEOUT_S + 6.0)
            assert [r["state"] for r in await cluster.engine_requests()] == [
                "cancelled"
            ]
            events = cluster.log_events(
                cluster.fleet.entries["entry-1"], "request_ended"
            )
            assert [event["code"] for event in events] == [505]
        other = cluster.start_request("other", 8)
        assert reported_outcome(await other.wait_answer()) == "complete"


async def test_slow_callers_get_status_408(cluster: Cluster) -> None:
    """Guard against connections held by callers that send their request slowly."""

    async def answer_to(data: bytes) -> tuple[int, str]:
        async with RawCaller(address_of(cluster)) as caller:
            await caller.send(data)
            status, headers = await caller.read_head()
            assert headers["acaciarelay-outcome"] == "not_run"
            return status, headers["acaciarelay-code"]

    async with others_unaffected(cluster):
        body = chat_body("slow", 8)
        slow_head, slow_body = await asyncio.gather(
            answer_to(request_head(len(body))[:-20]),
            answer_to(request_head(len(body)) + body[:20]),
        )
        assert slow_head == (408, "109")
        assert slow_body == (408, "103")


async def test_a_body_sent_byte_by_byte_ends_at_its_deadline(cluster: Cluster) -> None:
    """Guard against bodies that occupy memory by arriving one byte at a time."""
    async with others_unaffected(cluster), RawCaller(address_of(cluster)) as caller:
        body = chat_body("x" * 200, 8)
        await caller.send(request_head(len(body), "Acaciarelay-Timeout-Ms: 1500"))

        async def send_slowly() -> None:
            for byte in body:
                await caller.send(bytes([byte]))
                await asyncio.sleep(READ_TIMEOUT_S / 4)

        task = asyncio.create_task(send_slowly())
        try:
            status, headers = await caller.read_head(8.0)
        finally:
            task.cancel()
        assert (status, headers["acaciarelay-code"]) == (408, "103")


MALFORMED = {
    "100": b"POST chat HTTP/9.9\r\nno colon here\r\n\r\n",
    "101": b"GET / HTTP/1.1\r\nHost: entry\r\nX: " + b"x" * 40_000,
    "102": request_head(1 << 40),
    "108": request_head(0).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked"),
}


async def test_malformed_and_oversized_requests_are_refused(cluster: Cluster) -> None:
    """Guard against input that closes a connection without a code, or the server."""
    async with others_unaffected(cluster):
        for code, data in MALFORMED.items():
            async with RawCaller(address_of(cluster)) as caller:
                await caller.send(data)
                _, headers = await caller.read_head()
                assert headers["acaciarelay-code"] == code
                assert headers["acaciarelay-outcome"] == "not_run"
    assert "Traceback" not in cluster.fleet.entries["entry-1"].process.log()


async def test_a_caller_that_disconnects_within_its_body_causes_no_run(
    cluster: Cluster,
) -> None:
    """Guard against a request that runs with a truncated body."""
    async with others_unaffected(cluster):
        before = len(await cluster.engine_requests())
        body = chat_body("half", 8)
        async with RawCaller(address_of(cluster)) as caller:
            await caller.send(request_head(len(body)) + body[:-5])
            await asyncio.sleep(0.2)
        await asyncio.sleep(0.5)
        assert len(await cluster.engine_requests()) == before
