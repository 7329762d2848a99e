"""Guard against second dispatches, false statements and lost bytes on broken links."""

import asyncio
from pathlib import Path
from typing import Any

from integration.cluster import SILENCE_S, cluster_of, told

from acaciarelay.transport.http_client import fetch
from acaciarelay_standins.proxy import TO_CLIENT, TO_UPSTREAM

SLOW_PREFILL = ["--prefill-tokens-per-s", "50"]
LONG_PROMPT = "four" * 150
SMALL_LIMIT = [
    *("--token-limit", "400", "--token-limit-min", "400"),
    *("--token-limit-max", "400", "--largest-share", "1"),
]

# About 500 KB/s for each answer.
FAST_DECODE = ["--decode-tokens-per-s", "60000", "--tokens-per-event", "400"]

LINK_FAULTS: dict[str, dict[str, Any]] = {
    "cut": {"cut": True},
    "silent": {"silent": True},
    "silent_to_agent": {"one_way": TO_UPSTREAM},
    "silent_to_entry": {"one_way": TO_CLIENT},
}


async def outlast(directory: Path, fault: dict[str, Any]) -> list[str]:
    """Run three requests at different steps through a fault; return their ends."""
    async with cluster_of(
        directory, engine_flags=SLOW_PREFILL, agent_flags=SMALL_LIMIT
    ) as cluster:
        streaming = cluster.begin("a", 200)
        await streaming.started()
        handed_off = cluster.begin(LONG_PROMPT, 20)
        await cluster.until_recorded(2)
        waiting = cluster.begin("w", 150)
        await asyncio.sleep(0.3)
        assert len(await cluster.records()) == 2
        await cluster.link("agent-1", **fault)
        await cluster.judge()
        assert len(await cluster.records()) == 3
        return [told(call.answer) for call in (streaming, handed_off, waiting)]


async def test_a_link_fault_costs_no_request(tmp_path: Path) -> None:
    """Guard against a fault of the link at each step of a request.

    One request is in the middle of its answer, one is handed off without an answer
    and one waits. New connections work, so each one must end with its whole answer
    and one dispatch. The faults are tried at the same time to save time.
    """
    ends = await asyncio.gather(
        *(outlast(tmp_path / name, fault) for name, fault in LINK_FAULTS.items())
    )
    whole = ["whole"] * 3
    assert dict(zip(LINK_FAULTS, ends, strict=True)) == {n: whole for n in LINK_FAULTS}


async def test_a_lost_hand_off_is_placed_again(tmp_path: Path) -> None:
    """Guard against a request that is lost or run twice when its body is lost.

    The link is cut while the hand-off is under way, so the agent never had it. It
    must say so before any agent gets the request under a new try.
    """
    async with cluster_of(tmp_path, agents=2) as cluster:
        for agent in cluster.proxies:
            await cluster.link(agent, delay_s=0.4)
        call = cluster.begin("a", 20)
        holder = (await cluster.handed_off(1))["agent"]
        await cluster.link(holder, cut=True)
        await cluster.judge()
        assert call.whole
        assert len(await cluster.records()) == 1


async def test_a_returned_request_does_not_spend_the_retry_budget(
    tmp_path: Path,
) -> None:
    """Guard against asking again and again an agent that must not run a request.

    The single agent has marked the lost try as one that must never run. The request
    must be served under a new try, and must not use up the budget that other requests
    of the pool need.
    """
    async with cluster_of(tmp_path) as cluster:
        await cluster.link("agent-1", delay_s=0.4)
        returned = cluster.begin("a", 20, timeout_ms=7_000)
        await cluster.handed_off(1)
        await cluster.link("agent-1", cut=True)
        assert told(await returned.end()) == "whole"
        entry = cluster.fleet.entries["entry-1"]
        metrics = (await fetch(entry.http, "GET", "/metrics")).unwrap().body.decode()
        lines = [
            line
            for line in metrics.splitlines()
            if line.startswith("acaciarelay_retries_total{")
        ]
        assert sum(float(line.rpartition(" ")[2]) for line in lines) <= 2, lines
        await cluster.judge()


async def test_an_unreachable_agent_is_reported_truly(tmp_path: Path) -> None:
    """Guard against not_run for a request that an unreachable agent still runs."""
    async with cluster_of(tmp_path, agent_flags=SMALL_LIMIT) as cluster:
        streaming = cluster.begin("a", 300, timeout_ms=4_000)
        await streaming.started()
        body = cluster.begin("b", 60, stream=False, timeout_ms=4_000)
        await cluster.until_recorded(2)
        waiting = cluster.begin("w", 300, timeout_ms=4_000)
        await asyncio.sleep(0.3)
        await cluster.link("agent-1", silent=True, all_connections=True)
        await asyncio.sleep(SILENCE_S)
        await cluster.ended()
        await cluster.link("agent-1", cut=True)
        await cluster.judge()
        assert told(streaming.answer) == "outcome_unknown"
        assert told(body.answer) == "outcome_unknown"
        assert told(waiting.answer) == "not_run"


async def test_a_caller_that_left_during_a_fault_frees_the_endpoint(
    tmp_path: Path,
) -> None:
    """Guard against runs that nobody reads and that hold room at the agent for good.

    The cancellation is lost with the link, and the entry is back before the agent has
    noticed the fault.
    """
    flags = [*SMALL_LIMIT, "--resume-window-s", "2", "--silence-s", "20"]
    async with cluster_of(tmp_path, agent_flags=flags) as cluster:
        call = cluster.begin("a", 10_000, timeout_ms=600_000)
        await call.started()
        await cluster.link("agent-1", silent=True)
        await call.leave()
        await cluster.until_settled(SILENCE_S + 2.0 + 6.0)
        after = cluster.begin("b", 8)
        await cluster.judge()
        assert after.whole


async def test_an_entry_lost_behind_a_silent_link_frees_the_endpoint(
    tmp_path: Path,
) -> None:
    """Guard against a session that waits for ever to write to a dead connection."""
    flags = ["--token-limit", "64000", "--resume-window-s", "2"]
    async with cluster_of(
        tmp_path, engine_flags=FAST_DECODE, agent_flags=flags
    ) as cluster:
        calls = [
            cluster.begin(f"a{n}", 4_000_000, timeout_ms=600_000) for n in range(8)
        ]
        for call in calls:
            await call.started()
        await cluster.link("agent-1", silent=True, all_connections=True)
        await asyncio.sleep(1.0)
        cluster.fleet.entries["entry-1"].process.kill()
        for call in calls:
            await call.end()
        await cluster.until_settled(SILENCE_S + 2.0 + 6.0)
