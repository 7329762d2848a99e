"""Guard against second dispatches, false outcomes and lost bytes on broken links."""

import asyncio
from pathlib import Path
from typing import Any

from integration.cluster import SILENCE_LIMIT_S, reported_outcome, start_cluster

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


async def run_through_fault(directory: Path, fault: dict[str, Any]) -> list[str]:
    """Run three requests at different stages through a fault; return their outcomes."""
    async with start_cluster(
        directory, engine_flags=SLOW_PREFILL, agent_flags=SMALL_LIMIT
    ) as cluster:
        streaming = cluster.start_request("a", 200)
        await streaming.wait_first_byte()
        handed_off = cluster.start_request(LONG_PROMPT, 20)
        await cluster.wait_requests(2)
        waiting = cluster.start_request("w", 150)
        await asyncio.sleep(0.3)
        assert len(await cluster.engine_requests()) == 2
        await cluster.set_link_faults("agent-1", **fault)
        await cluster.assert_invariants()
        assert len(await cluster.engine_requests()) == 3
        return [
            reported_outcome(call.answer) for call in (streaming, handed_off, waiting)
        ]


async def test_a_link_fault_loses_no_request(tmp_path: Path) -> None:
    """Guard against requests lost by a link fault at any stage.

    One request is streaming its answer, one is handed off without an answer yet and
    one waits. New connections work, so each must end with a complete answer and one
    dispatch. All faults are tested concurrently to save time.
    """
    outcomes = await asyncio.gather(
        *(
            run_through_fault(tmp_path / name, fault)
            for name, fault in LINK_FAULTS.items()
        )
    )
    complete = ["complete"] * 3
    assert dict(zip(LINK_FAULTS, outcomes, strict=True)) == {
        n: complete for n in LINK_FAULTS
    }


async def test_a_lost_hand_off_is_dispatched_again(tmp_path: Path) -> None:
    """Guard against a request that is lost or run twice when its hand-off is lost.

    The link is cut during the hand-off, so the agent never receives it. The agent must
    confirm that before any agent gets the request in a new attempt.
    """
    async with start_cluster(tmp_path, agents=2) as cluster:
        for agent in cluster.proxies:
            await cluster.set_link_faults(agent, delay_s=0.4)
        call = cluster.start_request("a", 20)
        target = (await cluster.wait_handed_off(1))["agent"]
        await cluster.set_link_faults(target, cut=True)
        await cluster.assert_invariants()
        assert call.complete
        assert len(await cluster.engine_requests()) == 1


async def test_a_returned_request_does_not_exhaust_the_retry_budget(
    tmp_path: Path,
) -> None:
    """Guard against repeated dispatches to an agent that must not run the attempt.

    The only agent has a tombstone for the lost attempt. The request must be served in
    a new attempt, and must not use up the retry budget that other requests of the pool
    need.
    """
    async with start_cluster(tmp_path) as cluster:
        await cluster.set_link_faults("agent-1", delay_s=0.4)
        returned = cluster.start_request("a", 20, timeout_ms=7_000)
        await cluster.wait_handed_off(1)
        await cluster.set_link_faults("agent-1", cut=True)
        assert reported_outcome(await returned.wait_answer()) == "complete"
        entry = cluster.fleet.entries["entry-1"]
        metrics = (
            (await fetch(entry.http_address, "GET", "/metrics")).unwrap().body.decode()
        )
        lines = [
            line
            for line in metrics.splitlines()
            if line.startswith("acaciarelay_retries_total{")
        ]
        assert sum(float(line.rpartition(" ")[2]) for line in lines) <= 2, lines
        await cluster.assert_invariants()


async def test_an_unreachable_agent_causes_no_false_not_run(tmp_path: Path) -> None:
    """Guard against not_run for a request that an unreachable agent still runs."""
    async with start_cluster(tmp_path, agent_flags=SMALL_LIMIT) as cluster:
        streaming = cluster.start_request("a", 300, timeout_ms=4_000)
        await streaming.wait_first_byte()
        body = cluster.start_request("b", 60, stream=False, timeout_ms=4_000)
        await cluster.wait_requests(2)
        waiting = cluster.start_request("w", 300, timeout_ms=4_000)
        await asyncio.sleep(0.3)
        await cluster.set_link_faults("agent-1", silent=True, all_connections=True)
        await asyncio.sleep(SILENCE_LIMIT_S)
        await cluster.wait_all()
        await cluster.set_link_faults("agent-1", cut=True)
        await cluster.assert_invariants()
        assert reported_outcome(streaming.answer) == "outcome_unknown"
        assert reported_outcome(body.answer) == "outcome_unknown"
        assert reported_outcome(waiting.answer) == "not_run"


async def test_a_caller_that_disconnects_during_a_fault_frees_the_endpoint(
    tmp_path: Path,
) -> None:
    """Guard against runs without a reader that keep their tokens at the agent reserved.

    The cancellation is lost with the link, and the entry reconnects before the agent
    has detected the fault.
    """
    flags = [*SMALL_LIMIT, "--resume-window-s", "2", "--silence-s", "20"]
    async with start_cluster(tmp_path, agent_flags=flags) as cluster:
        call = cluster.start_request("a", 10_000, timeout_ms=600_000)
        await call.wait_first_byte()
        await cluster.set_link_faults("agent-1", silent=True)
        await call.disconnect()
        await cluster.wait_idle(SILENCE_LIMIT_S + 2.0 + 6.0)
        after = cluster.start_request("b", 8)
        await cluster.assert_invariants()
        assert after.complete


async def test_an_entry_lost_behind_a_silent_link_frees_the_endpoint(
    tmp_path: Path,
) -> None:
    """Guard against a session blocked without end on a write to a dead connection."""
    flags = ["--token-limit", "64000", "--resume-window-s", "2"]
    async with start_cluster(
        tmp_path, engine_flags=FAST_DECODE, agent_flags=flags
    ) as cluster:
        calls = [
            cluster.start_request(f"a{n}", 4_000_000, timeout_ms=600_000)
            for n in range(8)
        ]
        for call in calls:
            await call.wait_first_byte()
        await cluster.set_link_faults("agent-1", silent=True, all_connections=True)
        await asyncio.sleep(1.0)
        cluster.fleet.entries["entry-1"].process.kill()
        for call in calls:
            await call.wait_answer()
        await cluster.wait_idle(SILENCE_LIMIT_S + 2.0 + 6.0)
