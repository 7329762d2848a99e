"""Guard against new work at leaving endpoints (I6) and cut answers at stops (I7)."""

import asyncio
import time
from pathlib import Path

import orjson
from integration.cluster import Cluster, cluster_of, told
from integration.support import apply, record

from acaciarelay.transport.http_client import fetch

# Time from the start of a drain after which the endpoint must get no new work.
LEAVING_S = 3.0
FLOOD_S = LEAVING_S + 2.0
SMALL_LIMIT = [
    *("--token-limit", "600", "--token-limit-min", "600"),
    *("--token-limit-max", "600", "--largest-share", "1"),
]


async def flood(cluster: Cluster, duration_s: float, entry: str = "entry-1") -> None:
    """Send short requests for a while, more than a few at a time."""
    end = time.monotonic() + duration_s
    number = 0
    while time.monotonic() < end:
        cluster.begin(f"f{number}", 10, entry=entry)
        number += 1
        await asyncio.sleep(0.05)


async def check_drained(cluster: Cluster, agent: str, began_at: float) -> None:
    """Check that no answer was cut and that the endpoint got no late work."""
    await cluster.judge()
    assert {told(call.answer) for call in cluster.pending} == {"whole"}
    starts = [item["start"] - began_at for item in await cluster.records(agent)]
    assert starts and max(starts) < LEAVING_S, f"new work after {max(starts):.1f} s"


async def start_load(cluster: Cluster, agent: str) -> asyncio.Task[None]:
    """Start long answers, then a flood; returns once the agent serves some."""
    for number in range(4):
        cluster.begin(f"long{number}", 200)
    task = asyncio.create_task(flood(cluster, FLOOD_S + 1.0))
    await cluster.until_recorded(3, agent)
    return task


async def test_a_stopped_agent_finishes_its_work(tmp_path: Path) -> None:
    """Guard against answers cut by SIGTERM of an agent."""
    async with cluster_of(
        tmp_path, agents=2, agent_flags=SMALL_LIMIT, proxied=False
    ) as cluster:
        load = await start_load(cluster, "agent-1")
        began_at = time.monotonic()
        process = cluster.fleet.agents["agent-1"].process
        process.terminate()
        assert await process.wait() == 0
        await load
        await check_drained(cluster, "agent-1", began_at)


async def test_an_operator_drains_an_endpoint_and_takes_it_back(tmp_path: Path) -> None:
    """Guard against new work at an endpoint that an operator drains."""
    async with cluster_of(
        tmp_path, agents=2, agent_flags=SMALL_LIMIT, proxied=False
    ) as cluster:
        load = await start_load(cluster, "agent-1")
        began_at = time.monotonic()
        body = {"pool": "assistants", "state": "draining"}
        await apply(cluster.fleet, [record("endpoint", "agent-1", **body)])
        await load
        await check_drained(cluster, "agent-1", began_at)

        before = len(await cluster.records("agent-1"))
        path = "/admin/v1/records/endpoint/agent-1"
        current = await cluster.fleet.admin("entry-1", "GET", path)
        change = record("endpoint", "agent-1", pool="assistants", state="active")
        change["revision"] = current["records"][0]["revision"]
        await apply(cluster.fleet, [change])
        await flood(cluster, 1.0)
        await cluster.judge()
        assert len(await cluster.records("agent-1")) > before


async def test_an_endpoint_on_a_leaving_vm_gets_no_new_work(tmp_path: Path) -> None:
    """Guard against new work at an endpoint whose VM the platform takes away."""
    flags = [*SMALL_LIMIT, "--vm-name", "vm-1", "--vm-poll-s", "0.3"]
    async with cluster_of(tmp_path, agents=1, agent_flags=flags) as cluster:
        await cluster.start_agent("agent-2", *SMALL_LIMIT)
        await cluster.fleet.wait_ready()
        load = await start_load(cluster, "agent-1")
        began_at = time.monotonic()
        vms = orjson.dumps([{"name": "vm-1", "address": "", "state": "leaving"}])
        answer = await fetch(cluster.fleet.platform, "POST", "/vms", (), vms)
        assert answer.unwrap().status == 200
        await load
        await check_drained(cluster, "agent-1", began_at)


async def until_refused(address: str) -> None:
    deadline = time.monotonic() + 5.0
    while (await fetch(address, "GET", "/healthz")).is_ok():
        assert time.monotonic() < deadline, "the listener stays open"
        await asyncio.sleep(0.05)


async def test_a_stopped_entry_finishes_its_work(tmp_path: Path) -> None:
    """Guard against answers cut, or connections refused too early, at an entry's stop.

    Until its listener closes, the entry must report that it isn't ready and still
    serve, since the load balancer notices late.
    """
    async with cluster_of(tmp_path, entries=2, proxied=False) as cluster:
        streaming = cluster.begin("long", 200)
        await streaming.started()
        entry = cluster.fleet.entries["entry-1"]
        entry.process.terminate()
        await asyncio.sleep(0.1)
        ready = (await fetch(entry.http, "GET", "/readyz")).unwrap()
        assert ready.status == 503
        late = cluster.begin("late", 100)

        await until_refused(entry.http)
        other = cluster.begin("other", 8, entry="entry-2")
        assert await entry.process.wait() == 0
        await cluster.judge()
        assert streaming.whole and late.whole and other.whole
