"""Guard against violated invariants under pairs of simultaneous random faults."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from integration.cluster import Cluster, reported_outcome, start_cluster

LOAD_S = 5.0
FAULT_INTERVAL_S = 2.5
AGENT_FLAGS = [
    *("--token-limit", "1500", "--token-limit-min", "1500"),
    *("--token-limit-max", "1500", "--stall-s", "2", "--resume-window-s", "15"),
]
# Seed 3 kills agents that serve requests; 6 and 10 break links during answers.
SEEDS = (3, 6, 10)

Fault = Callable[[Cluster, str, random.Random], Awaitable[None]]


async def kill_and_restart(cluster: Cluster, agent: str, rng: random.Random) -> None:
    process = cluster.fleet.agents[agent].process
    process.kill()
    await process.wait()
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    await cluster.restart_agent(agent)


async def pause_agent(cluster: Cluster, agent: str, rng: random.Random) -> None:
    process = cluster.fleet.agents[agent].process
    process.pause()
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    process.resume()


async def pause_entry(cluster: Cluster, agent: str, rng: random.Random) -> None:
    process = cluster.fleet.entries["entry-2"].process
    process.pause()
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    process.resume()


async def break_link(cluster: Cluster, agent: str, rng: random.Random) -> None:
    faults = rng.choice(
        [
            {"cut": True},
            {"silent": True},
            {"one_way": "to_upstream"},
            {"one_way": "to_client"},
            {"cut": True, "refuse": True},
            {"silent": True, "all_connections": True},
        ]
    )
    await cluster.set_link_faults(agent, **faults)
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    await cluster.set_link_faults(agent, cut=rng.random() < 0.5)


async def delay_link(cluster: Cluster, agent: str, rng: random.Random) -> None:
    await cluster.set_link_faults(agent, delay_s=rng.uniform(0.05, 0.6))
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    await cluster.set_link_faults(agent)


async def break_engine(cluster: Cluster, agent: str, rng: random.Random) -> None:
    kind = rng.choice(["stall_after", "die_after"])
    await cluster.set_engine_faults(agent, **{kind: rng.randint(0, 10), "count": 3})
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    await cluster.set_engine_faults(agent)


FAULTS: list[Fault] = [
    kill_and_restart,
    pause_agent,
    pause_entry,
    break_link,
    delay_link,
    break_engine,
]


async def load(cluster: Cluster, rng: random.Random) -> None:
    """Send short and long, streamed and unstreamed requests to both entries."""
    loop = asyncio.get_running_loop()
    end = loop.time() + LOAD_S
    number = 0
    while loop.time() < end:
        number += 1
        cluster.start_request(
            f"{number}" + "four" * rng.choice([1, 1, 100]),
            rng.choice([4, 20, 60, 200]),
            entry=rng.choice(["entry-1", "entry-2"]),
            stream=rng.random() < 0.7,
            timeout_ms=rng.choice([3_000, 10_000, 20_000]),
            request_class=rng.choice(["default", "urgent", "batch"]),
        )
        await asyncio.sleep(rng.uniform(0.02, 0.12))


@pytest.mark.parametrize("seed", SEEDS)
async def test_pairs_of_faults_break_no_invariant(seed: int, tmp_path: Path) -> None:
    """Guards against repeated dispatch, wrong answers and a false not_run.

    These are the invariants I1, I3 and I4. Besides, no answer may be cut, most
    requests must be answered completely, and new ones after the last fault.
    """
    rng = random.Random(seed)
    async with start_cluster(
        tmp_path, agents=3, entries=2, agent_flags=AGENT_FLAGS
    ) as cluster:
        sender = asyncio.create_task(load(cluster, random.Random(seed)))
        plan = []
        while not sender.done():
            first, second = rng.sample(FAULTS, 2)
            agents = rng.sample(sorted(cluster.engines), 2)
            plan.append(f"{first.__name__} {second.__name__} {agents}")
            await asyncio.gather(
                # A generator for each, so that their timing doesn't affect the choices.
                first(cluster, agents[0], random.Random(rng.random())),
                second(cluster, rng.choice(agents), random.Random(rng.random())),
                asyncio.sleep(FAULT_INTERVAL_S),
            )
        await sender
        for agent in cluster.engines:
            await cluster.set_link_faults(agent)
            await cluster.set_engine_faults(agent)
        await cluster.assert_invariants()
        outcomes: dict[str, int] = {}
        for call in cluster.pending:
            outcomes[reported_outcome(call.answer)] = (
                outcomes.get(reported_outcome(call.answer), 0) + 1
            )
        print(f"seed {seed}: {plan} {outcomes}")
        assert outcomes.get("complete", 0) > len(cluster.pending) / 2, outcomes
        assert outcomes.get("broken", 0) == 0, outcomes
        await cluster.fleet.wait_ready()
        last = [
            cluster.start_request(f"last{n}", 8, entry=f"entry-{n}") for n in (1, 2)
        ]
        await cluster.assert_invariants()
        assert [call.complete for call in last] == [True, True]
