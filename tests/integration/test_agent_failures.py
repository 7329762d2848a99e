"""Guard against second dispatches and false outcomes when agents or entries fail."""

import asyncio
from pathlib import Path

from integration.cluster import reported_outcome, start_cluster

# The prompt of 100 tokens takes 2 s, an answer of 100 tokens also 2 s.
SLOW_PREFILL = ["--prefill-tokens-per-s", "50"]
LONG_PROMPT = "four" * 100
# Two of the requests run at the same time; a third one waits.
SMALL_LIMIT = [
    *("--token-limit", "340", "--token-limit-min", "340"),
    *("--token-limit-max", "340", "--largest-share", "1"),
]


async def test_requests_of_a_killed_agent_run_once(tmp_path: Path) -> None:
    """Guard against a second run of a dead agent's requests, and a false not_run."""
    async with start_cluster(
        tmp_path, engine_flags=SLOW_PREFILL, agent_flags=SMALL_LIMIT, proxied=False
    ) as cluster:
        streaming = cluster.start_request("a", 150)
        await streaming.wait_first_byte()
        handed_off = cluster.start_request(LONG_PROMPT, 20)
        await cluster.wait_requests(2)
        waiting = [cluster.start_request(f"w{n}", 120) for n in range(2)]
        await asyncio.sleep(0.3)
        assert len(await cluster.engine_requests()) == 2
        cluster.fleet.agents["agent-1"].process.kill()
        await cluster.restart_agent("agent-1")

        await cluster.assert_invariants()
        assert reported_outcome(streaming.answer) == "outcome_unknown"
        assert reported_outcome(handed_off.answer) == "outcome_unknown"
        assert handed_off.answer.status == 502
        assert [reported_outcome(call.answer) for call in waiting] == [
            "complete",
            "complete",
        ]


async def test_a_dead_agent_is_reported_after_the_resume_window(tmp_path: Path) -> None:
    """Guard against a caller that waits without end for an agent that never returns."""
    async with start_cluster(tmp_path, agents=2, proxied=False) as cluster:
        call = cluster.start_request("a", 200)
        await call.wait_first_byte()
        agent = (await cluster.wait_handed_off(1))["agent"]
        cluster.fleet.agents[agent].process.kill()
        other = cluster.start_request("b", 8)
        assert reported_outcome(await other.wait_answer(5.0)) == "complete"
        await cluster.assert_invariants()
        assert reported_outcome(call.answer) == "outcome_unknown"


async def test_runs_of_a_killed_entry_are_cancelled(tmp_path: Path) -> None:
    """Guard against runs and reservations that outlive the entry they belong to."""
    flags = [*SMALL_LIMIT, "--resume-window-s", "1"]
    async with start_cluster(
        tmp_path, entries=2, agent_flags=flags, proxied=False
    ) as cluster:
        streaming = cluster.start_request("a", 300)
        await streaming.wait_first_byte()
        waiting = cluster.start_request("b", 300)
        await asyncio.sleep(0.3)
        cluster.fleet.entries["entry-1"].process.kill()
        await waiting.wait_answer()

        other = cluster.start_request("c", 8, entry="entry-2", timeout_ms=8_000)
        await cluster.assert_invariants()
        assert (
            reported_outcome(streaming.answer)
            == reported_outcome(waiting.answer)
            == "broken"
        )
        assert reported_outcome(other.answer) == "complete"
        requests = await cluster.engine_requests()
        assert [request["state"] for request in requests] == ["cancelled", "finished"]


async def test_an_agent_paused_past_all_timeouts_runs_nothing_late(
    tmp_path: Path,
) -> None:
    """Guard against a resumed agent that runs requests already given to another one."""
    flags = [*SMALL_LIMIT, "--resume-window-s", "3"]
    async with start_cluster(
        tmp_path, engine_flags=SLOW_PREFILL, agent_flags=flags, proxied=False
    ) as cluster:
        streaming = cluster.start_request("a", 150)
        await streaming.wait_first_byte()
        handed_off = cluster.start_request(LONG_PROMPT, 20)
        await cluster.wait_requests(2)
        waiting = cluster.start_request("b", 300)
        expiring = cluster.start_request("c", 300, timeout_ms=800)
        await asyncio.sleep(0.3)
        agent = cluster.fleet.agents["agent-1"].process
        agent.pause()
        assert reported_outcome(await expiring.wait_answer()) == "not_run"
        await cluster.start_agent("agent-2", proxied=False)
        assert reported_outcome(await waiting.wait_answer()) == "complete"
        assert reported_outcome(await streaming.wait_answer()) == "outcome_unknown"
        assert reported_outcome(await handed_off.wait_answer()) == "outcome_unknown"
        agent.resume()
        await cluster.fleet.wait_ready()
        await cluster.assert_invariants()
        assert len(await cluster.engine_requests("agent-1")) == 2


async def test_a_short_pause_of_an_agent_truncates_no_answer(tmp_path: Path) -> None:
    """Guard against answers lost while an agent is paused for a few seconds."""
    async with start_cluster(
        tmp_path, engine_flags=SLOW_PREFILL, proxied=False
    ) as cluster:
        streaming = cluster.start_request("a", 150)
        await streaming.wait_first_byte()
        handed_off = cluster.start_request(LONG_PROMPT, 20)
        await cluster.wait_requests(2)
        agent = cluster.fleet.agents["agent-1"].process
        agent.pause()
        await asyncio.sleep(5.0)
        agent.resume()
        await cluster.assert_invariants()
        assert streaming.complete and handed_off.complete


async def test_a_paused_entry_neither_repeats_nor_loses_a_request(
    tmp_path: Path,
) -> None:
    """Guard against a resumed entry that runs requests which expired in the pause."""
    async with start_cluster(
        tmp_path, engine_flags=SLOW_PREFILL, agent_flags=SMALL_LIMIT, proxied=False
    ) as cluster:
        streaming = cluster.start_request("a", 150)
        await streaming.wait_first_byte()
        handed_off = cluster.start_request(LONG_PROMPT, 20)
        await cluster.wait_requests(2)
        waiting = cluster.start_request("w", 150)
        expiring = cluster.start_request("e", 150, timeout_ms=3_000)
        await asyncio.sleep(0.3)
        entry = cluster.fleet.entries["entry-1"].process
        entry.pause()
        await asyncio.sleep(4.0)
        assert len(await cluster.engine_requests()) == 2
        entry.resume()
        await cluster.assert_invariants()
        assert streaming.complete and handed_off.complete and waiting.complete
        assert reported_outcome(expiring.answer) == "not_run"
