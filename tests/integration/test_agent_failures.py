"""Guard against second dispatches and false statements when agents fail."""

import asyncio
from pathlib import Path

from integration.cluster import cluster_of, told

# The prompt of 100 tokens takes 2 s, an answer of 100 tokens also 2 s.
SLOW_PREFILL = ["--prefill-tokens-per-s", "50"]
LONG_PROMPT = "four" * 100
# Room for the two requests in service and for no third one.
SMALL_LIMIT = [
    *("--token-limit", "340", "--token-limit-min", "340"),
    *("--token-limit-max", "340", "--largest-share", "1"),
]


async def test_a_killed_agent_leaves_nothing_to_run_twice(tmp_path: Path) -> None:
    """Guard against a repeat of what a dead agent had, and against a false not_run."""
    async with cluster_of(
        tmp_path, engine_flags=SLOW_PREFILL, agent_flags=SMALL_LIMIT, proxied=False
    ) as cluster:
        streaming = cluster.begin("a", 150)
        await streaming.started()
        handed_off = cluster.begin(LONG_PROMPT, 20)
        await cluster.until_recorded(2)
        waiting = [cluster.begin(f"w{n}", 120) for n in range(2)]
        await asyncio.sleep(0.3)
        assert len(await cluster.records()) == 2
        cluster.fleet.agents["agent-1"].process.kill()
        await cluster.restart_agent("agent-1")

        await cluster.judge()
        assert told(streaming.answer) == "outcome_unknown"
        assert told(handed_off.answer) == "outcome_unknown"
        assert handed_off.answer.status == 502
        assert [told(call.answer) for call in waiting] == ["whole", "whole"]


async def test_a_dead_agent_is_reported_after_the_resume_window(tmp_path: Path) -> None:
    """Guard against a caller that waits for ever for an agent that stays away."""
    async with cluster_of(tmp_path, agents=2, proxied=False) as cluster:
        call = cluster.begin("a", 200)
        await call.started()
        holder = (await cluster.handed_off(1))["agent"]
        cluster.fleet.agents[holder].process.kill()
        other = cluster.begin("b", 8)
        assert told(await other.end(5.0)) == "whole"
        await cluster.judge()
        assert told(call.answer) == "outcome_unknown"


async def test_a_killed_entry_leaves_no_run_behind(tmp_path: Path) -> None:
    """Guard against runs and reservations that outlive the entry they belong to."""
    flags = [*SMALL_LIMIT, "--resume-window-s", "1"]
    async with cluster_of(
        tmp_path, entries=2, agent_flags=flags, proxied=False
    ) as cluster:
        streaming = cluster.begin("a", 300)
        await streaming.started()
        waiting = cluster.begin("b", 300)
        await asyncio.sleep(0.3)
        cluster.fleet.entries["entry-1"].process.kill()
        await waiting.end()

        other = cluster.begin("c", 8, entry="entry-2", timeout_ms=8_000)
        await cluster.judge()
        assert told(streaming.answer) == told(waiting.answer) == "broken"
        assert told(other.answer) == "whole"
        records = await cluster.records()
        assert [record["state"] for record in records] == ["cancelled", "finished"]


async def test_an_agent_paused_past_all_timeouts_runs_nothing_late(
    tmp_path: Path,
) -> None:
    """Guard against work that a paused agent does after others were given it."""
    flags = [*SMALL_LIMIT, "--resume-window-s", "3"]
    async with cluster_of(
        tmp_path, engine_flags=SLOW_PREFILL, agent_flags=flags, proxied=False
    ) as cluster:
        streaming = cluster.begin("a", 150)
        await streaming.started()
        handed_off = cluster.begin(LONG_PROMPT, 20)
        await cluster.until_recorded(2)
        waiting = cluster.begin("b", 300)
        expiring = cluster.begin("c", 300, timeout_ms=800)
        await asyncio.sleep(0.3)
        agent = cluster.fleet.agents["agent-1"].process
        agent.pause()
        assert told(await expiring.end()) == "not_run"
        await cluster.start_agent("agent-2", proxied=False)
        assert told(await waiting.end()) == "whole"
        assert told(await streaming.end()) == "outcome_unknown"
        assert told(await handed_off.end()) == "outcome_unknown"
        agent.resume()
        await cluster.fleet.wait_ready()
        await cluster.judge()
        assert len(await cluster.records("agent-1")) == 2


async def test_a_short_pause_of_an_agent_cuts_no_answer(tmp_path: Path) -> None:
    """Guard against answers lost while an agent is away for a few seconds."""
    async with cluster_of(
        tmp_path, engine_flags=SLOW_PREFILL, proxied=False
    ) as cluster:
        streaming = cluster.begin("a", 150)
        await streaming.started()
        handed_off = cluster.begin(LONG_PROMPT, 20)
        await cluster.until_recorded(2)
        agent = cluster.fleet.agents["agent-1"].process
        agent.pause()
        await asyncio.sleep(5.0)
        agent.resume()
        await cluster.judge()
        assert streaming.whole and handed_off.whole


async def test_a_paused_entry_neither_repeats_nor_loses_a_request(
    tmp_path: Path,
) -> None:
    """Guard against a paused entry that acts on what has meanwhile expired."""
    async with cluster_of(
        tmp_path, engine_flags=SLOW_PREFILL, agent_flags=SMALL_LIMIT, proxied=False
    ) as cluster:
        streaming = cluster.begin("a", 150)
        await streaming.started()
        handed_off = cluster.begin(LONG_PROMPT, 20)
        await cluster.until_recorded(2)
        waiting = cluster.begin("w", 150)
        expiring = cluster.begin("e", 150, timeout_ms=3_000)
        await asyncio.sleep(0.3)
        entry = cluster.fleet.entries["entry-1"].process
        entry.pause()
        await asyncio.sleep(4.0)
        assert len(await cluster.records()) == 2
        entry.resume()
        await cluster.judge()
        assert streaming.whole and handed_off.whole and waiting.whole
        assert told(expiring.answer) == "not_run"
