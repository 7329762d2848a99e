"""Guard against lost, repeated or mixed-up bytes of requests and answers (I3)."""

import asyncio
import base64
import random
import time
from pathlib import Path

import orjson
from integration.cluster import Cluster, PendingRequest, reported_outcome, start_cluster
from integration.support import CHAT_PATH, KEY, MODEL, Answer, chat_body
from result import Ok

from acaciarelay.transport.http_client import open_exchange
from acaciarelay_standins.answers import expected_chat_answer

SEED = 20261204
LARGE_LIMIT = ["--token-limit", "64000", "--token-limit-max", "64000"]
MEBIBYTE = 1 << 20


async def test_streams_survive_repeated_faults_of_their_links(tmp_path: Path) -> None:
    """Guard against gaps, repeats and mixed-up answers when many streams resume."""
    rng = random.Random(SEED)
    async with start_cluster(tmp_path, agents=2, agent_flags=LARGE_LIMIT) as cluster:
        calls = [
            cluster.start_request(f"s{n}", rng.randint(150, 300)) for n in range(16)
        ]
        for call in calls:
            await call.wait_first_byte()
        for fault in ("cut", "silent", "cut"):
            agent = rng.choice(sorted(cluster.proxies))
            await cluster.set_link_faults(agent, **{fault: True})
            await asyncio.sleep(rng.uniform(0.2, 0.8))
        await cluster.assert_invariants()
        assert [call.complete for call in calls] == [True] * 16


async def read_slowly(
    cluster: Cluster, body: bytes, may_read: asyncio.Event, pause_s: float
) -> PendingRequest:
    """Send a request and read its answer with a pause after each MiB.

    After the first MiB, reading stops until the event is set.
    """
    answer = Answer()

    async def run() -> None:
        address = cluster.fleet.entries["entry-1"].http_address
        exchange = (await open_exchange(address)).unwrap()
        fields = [
            ("host", address),
            ("authorization", f"Bearer {KEY}"),
            ("content-length", str(len(body))),
        ]
        await exchange.send_request("POST", CHAT_PATH, fields, body)
        answer.error = await exchange.read_head()
        answer.status, answer.headers = exchange.status, dict(exchange.headers)
        pieces: list[bytes] = []
        since_pause_bytes = 0
        while True:
            match await exchange.read_piece():
                case Ok(bytes() as piece):
                    answer.first_byte_at = answer.first_byte_at or time.monotonic()
                    pieces.append(piece)
                    since_pause_bytes += len(piece)
                case Ok(None):
                    break
                case end:
                    answer.error = end.unwrap_err()
                    break
            if since_pause_bytes >= MEBIBYTE:
                since_pause_bytes = 0
                await may_read.wait()
                await asyncio.sleep(pause_s)
        answer.body = b"".join(pieces)
        await exchange.close()

    call = PendingRequest(body, answer, asyncio.create_task(run()))
    cluster.pending.append(call)
    return call


async def test_a_slow_caller_gets_every_byte_across_a_cut(tmp_path: Path) -> None:
    """Guard against a slow caller that loses bytes or fills the agent's memory."""
    engine_flags = ["--decode-tokens-per-s", "4000000", "--tokens-per-event", "20000"]
    async with start_cluster(
        tmp_path, engine_flags=engine_flags, agent_flags=LARGE_LIMIT
    ) as cluster:
        # The socket buffers on the way hold up to about half of the answer.
        tokens = 4_000_000
        body = chat_body("slow", tokens)
        resume_reading = asyncio.Event()
        slow = await read_slowly(cluster, body, resume_reading, 0.02)
        await slow.wait_first_byte()
        # Without flow control the engine sends the whole answer in this time.
        await asyncio.sleep(5.0)
        sent = (await cluster.engine_requests())[0]["answer_tokens"]
        assert sent < tokens, "the agent read ahead of the caller"
        quick = cluster.start_request("quick", 20)
        resume_reading.set()
        await asyncio.sleep(0.2)
        await cluster.set_link_faults("agent-1", cut=True)
        await quick.wait_answer()
        await slow.wait_answer()
        assert slow.answer.error is None
        assert slow.answer.body == expected_chat_answer(body, 20_000)
        assert quick.answer.body == expected_chat_answer(quick.body, 20_000)


def image_body(rng: random.Random, size_bytes: int) -> bytes:
    data = base64.b64encode(rng.randbytes(size_bytes)).decode()
    image = {"type": "image_url", "image_url": {"url": f"data:image/png;base64,{data}"}}
    content = [{"type": "text", "text": "what is this?"}, image]
    return orjson.dumps(
        {
            "model": MODEL,
            "stream": True,
            "max_tokens": 20,
            "messages": [{"role": "user", "content": content}],
        }
    )


async def test_large_bodies_pass_a_cut_link_unchanged(tmp_path: Path) -> None:
    """Guard against lost or repeated parts of a body whose link is cut.

    The answer depends on every byte of the body. The delay keeps the bodies on the
    link long enough for the cut to hit them.
    """
    rng = random.Random(SEED)
    async with start_cluster(tmp_path, agents=2, agent_flags=LARGE_LIMIT) as cluster:
        for agent in cluster.proxies:
            await cluster.set_link_faults(agent, delay_s=0.1)
        calls = [
            cluster.start_request("", body=image_body(rng, size * MEBIBYTE))
            for size in (3, 5, 6)
        ]
        await cluster.wait_requests(1)
        for agent in cluster.proxies:
            await cluster.set_link_faults(agent, cut=True, delay_s=0.1)
        await asyncio.sleep(1.0)
        for agent in cluster.proxies:
            await cluster.set_link_faults(agent, silent=True)
        await cluster.assert_invariants()
        assert [reported_outcome(call.answer) for call in calls] == ["complete"] * 3
