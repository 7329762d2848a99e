"""Guard against lost, repeated or exchanged bytes of requests and answers (I3)."""

import asyncio
import base64
import random
import time
from pathlib import Path

import orjson
from integration.cluster import Cluster, Pending, cluster_of, told
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
    async with cluster_of(tmp_path, agents=2, agent_flags=LARGE_LIMIT) as cluster:
        calls = [cluster.begin(f"s{n}", rng.randint(150, 300)) for n in range(16)]
        for call in calls:
            await call.started()
        for fault in ("cut", "silent", "cut"):
            agent = rng.choice(sorted(cluster.proxies))
            await cluster.link(agent, **{fault: True})
            await asyncio.sleep(rng.uniform(0.2, 0.8))
        await cluster.judge()
        assert [call.whole for call in calls] == [True] * 16


async def read_slowly(
    cluster: Cluster, body: bytes, hold: asyncio.Event, pause_s: float
) -> Pending:
    """Send a request and read its answer with a pause after each MiB.

    After the first one reading stops until the event is set.
    """
    answer = Answer()

    async def run() -> None:
        address = cluster.fleet.entries["entry-1"].http
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
        unpaused = 0
        while True:
            match await exchange.read_piece():
                case Ok(bytes() as piece):
                    answer.first_byte_at = answer.first_byte_at or time.monotonic()
                    pieces.append(piece)
                    unpaused += len(piece)
                case Ok(None):
                    break
                case end:
                    answer.error = end.unwrap_err()
                    break
            if unpaused >= MEBIBYTE:
                unpaused = 0
                await hold.wait()
                await asyncio.sleep(pause_s)
        answer.body = b"".join(pieces)
        await exchange.close()

    call = Pending(body, answer, asyncio.create_task(run()))
    cluster.pending.append(call)
    return call


async def test_a_slow_caller_gets_every_byte_across_a_cut(tmp_path: Path) -> None:
    """Guard against a slow caller that loses bytes or makes the agent hold them all."""
    engine_flags = ["--decode-tokens-per-s", "4000000", "--tokens-per-event", "20000"]
    async with cluster_of(
        tmp_path, engine_flags=engine_flags, agent_flags=LARGE_LIMIT
    ) as cluster:
        # The buffers of the sockets on the way hold up to about half of it.
        tokens = 4_000_000
        body = chat_body("slow", tokens)
        go_on = asyncio.Event()
        slow = await read_slowly(cluster, body, go_on, 0.02)
        await slow.started()
        # An engine that nothing holds back sends the whole answer in this time.
        await asyncio.sleep(5.0)
        sent = (await cluster.records())[0]["answer_tokens"]
        assert sent < tokens, "the engine was read ahead of the caller"
        quick = cluster.begin("quick", 20)
        go_on.set()
        await asyncio.sleep(0.2)
        await cluster.link("agent-1", cut=True)
        await quick.end()
        await slow.end()
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

    The answer depends on every byte of the body, and the delay keeps the bodies on
    the link for long enough to be cut there.
    """
    rng = random.Random(SEED)
    async with cluster_of(tmp_path, agents=2, agent_flags=LARGE_LIMIT) as cluster:
        for agent in cluster.proxies:
            await cluster.link(agent, delay_s=0.1)
        calls = [
            cluster.begin("", body=image_body(rng, size * MEBIBYTE))
            for size in (3, 5, 6)
        ]
        await cluster.until_recorded(1)
        for agent in cluster.proxies:
            await cluster.link(agent, cut=True, delay_s=0.1)
        await asyncio.sleep(1.0)
        for agent in cluster.proxies:
            await cluster.link(agent, silent=True)
        await cluster.judge()
        assert [told(call.answer) for call in calls] == ["whole"] * 3
