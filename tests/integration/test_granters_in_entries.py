"""Guard against engines without order and bound when no agent is in reach."""

import asyncio
import collections
import contextlib
import random
import time

import attrs
from integration.platform_fleet import PlatformFleet
from relay_rig import configuration, route

SLOTS = 4
ENTRIES = ("entry-1", "entry-2", "entry-3")
# A run takes 0.2 s: 8 slots end 40 runs a second.
RUNNER = {"slots": SLOTS, "work_s": 0.1, "events": 10, "step_s": 0.01}
URGENT_PER_S = 20
OTHERS_PER_S = 60
LOAD_S = 5.0


@attrs.define
class Outcome:
    """A call: its rank, status, when it was made and how long it took, in seconds.

    The status is 0 for one that got no answer.
    """

    rank: int
    entry: str
    status: int
    complete: bool
    at: float
    seconds: float


async def start_fleet(fleet: PlatformFleet, engines: int = 2, agents: bool = False):
    """Start entries and engines; requests have the ranks 0 and 2."""
    routes = [
        route("/chat/urgent/", "streaming", service="engine", priority=0, sloMs=800),
        route("/chat/other/", "streaming", service="engine", priority=2, sloMs=800),
    ]
    value = configuration(2, routes=routes)
    value["services"][1]["engine"] = {"slots": SLOTS, "kvTokens": 100_000}
    value["tenants"][0]["priority"] = 0
    fleet.configure(value)
    for number in range(1, engines + 1):
        await fleet.add_runner("engine", number, **RUNNER)
        fleet.runners[f"i-{number}"].max_waiting = SLOTS
    if agents:
        for number in range(1, engines + 1):
            await fleet.add_agent(number)
    for number in range(1, len(ENTRIES) + 1):
        await fleet.add_entry(number)
    # The links between all processes are open, and granters are chosen.
    await asyncio.sleep(2.5)


async def play(
    fleet: PlatformFleet, seconds: float, seed: int, urgent_per_s: int = URGENT_PER_S
) -> list[Outcome]:
    """Send both ranks to all entries by turns, at random times."""
    rng = random.Random(seed)
    began = time.monotonic()
    arrivals = []
    for rank, per_s in ((0, urgent_per_s), (2, OTHERS_PER_S)):
        at = rng.expovariate(per_s)
        while at < seconds:
            arrivals.append((at, rank))
            at += rng.expovariate(per_s)

    async def call(number: int, at: float, rank: int) -> Outcome:
        await asyncio.sleep(max(0.0, began + at - time.monotonic()))
        called_at = time.monotonic()
        target = "/chat/urgent/a" if rank == 0 else "/chat/other/a"
        entry = ENTRIES[number % len(ENTRIES)]
        status, complete = 0, False
        with contextlib.suppress(OSError):
            answer = await fleet.call(entry, target, attempt=f"s{seed}-{number}")
            status, complete = answer.status, answer.complete
        seconds = time.monotonic() - called_at
        return Outcome(rank, entry, status, complete, called_at - began, seconds)

    return await asyncio.gather(
        *(call(n, at, rank) for n, (at, rank) in enumerate(sorted(arrivals)))
    )


def served_share(outcomes: list[Outcome], rank: int) -> float:
    """Return the share of a rank's requests that were answered on time."""
    own = [outcome for outcome in outcomes if outcome.rank == rank]
    on_time = [o for o in own if o.status == 200 and o.complete and o.seconds < 1.0]
    return len(on_time) / len(own)


def figures(fleet: PlatformFleet, outcomes: list[Outcome]) -> dict[str, object]:
    """Return what is compared between versions."""
    runners = fleet.runners.values()
    return {
        "urgent": round(served_share(outcomes, 0), 3),
        "others": round(served_share(outcomes, 2), 3),
        "statuses": dict(collections.Counter(o.status for o in outcomes)),
        "runs": sum(len(runner.runs) for runner in runners),
        "declines": sum(runner.refusals for runner in runners),
        "longest queues": [runner.longest_queue for runner in runners],
        "cancelled": sum(len(runner.cancelled) for runner in runners),
    }


async def test_order_over_all_entries_without_agents(tmp_path):
    """Guards against urgent requests behind others, and long queues at engines."""
    async with PlatformFleet(tmp_path) as fleet:
        await start_fleet(fleet)
        outcomes = await play(fleet, LOAD_S, seed=1)
        result = figures(fleet, outcomes)
        assert all(outcome.status in (200, 503) for outcome in outcomes), result
        assert_urgent_first(outcomes, result)
        assert max(result["longest queues"]) <= 2, result
        assert result["declines"] <= 0.02 * result["runs"], result
        for entry in ENTRIES:
            assert len(chosen_granters(fleet, entry)) >= 2


async def test_agents_killed_twice_in_a_burst(tmp_path):
    """Guards against bursts that are lost while agents start again."""
    async with PlatformFleet(tmp_path) as fleet:
        await start_fleet(fleet, agents=True)
        load = asyncio.create_task(play(fleet, 12.0, seed=2))
        for _ in range(2):
            await asyncio.sleep(2.0)
            for number in (1, 2):
                await fleet.programs[f"agent-{number}"].stop()
            await asyncio.sleep(2.0)
            for number in (1, 2):
                await fleet.programs[f"agent-{number}"].start()
        outcomes = await load
        result = figures(fleet, outcomes)
        assert all(outcome.status in (200, 503) for outcome in outcomes), result
        assert_urgent_first(outcomes, result)
        assert result["declines"] <= 0.05 * result["runs"], result
        # Requests of one attempt are not repeated by moves of granters.
        runs = [run.attempt for r in fleet.runners.values() for run in r.runs]
        assert len(runs) == len(set(runs)), result


async def test_a_killed_granter_is_replaced(tmp_path):
    """Guards against an entry whose death takes the order of its engines with it."""
    async with PlatformFleet(tmp_path) as fleet:
        await start_fleet(fleet)
        granters = chosen_granters(fleet, "entry-1")
        killed = next(name for name in ENTRIES if peer_address(fleet, name) in granters)
        load = asyncio.create_task(play(fleet, LOAD_S, seed=3))
        await asyncio.sleep(LOAD_S / 2)
        await fleet.programs[killed].stop()
        outcomes = await load
        result = figures(fleet, outcomes)
        later = [o for o in outcomes if o.at > LOAD_S / 2 + 0.5 and o.entry != killed]
        assert {outcome.status for outcome in later} <= {200, 503}, result
        assert_urgent_first(later, result)
        assert max(result["longest queues"]) <= SLOTS, result
        for name in ENTRIES:
            if name != killed:
                last = chosen_granters(fleet, name)[-1]
                assert last != peer_address(fleet, killed)


def assert_urgent_first(outcomes: list[Outcome], result: dict[str, object]) -> None:
    """Compare the ranks by ratio, since the machine may be busy with other work."""
    urgent, others = served_share(outcomes, 0), served_share(outcomes, 2)
    assert urgent > 0.5, result
    assert urgent > 1.5 * others, result


def chosen_granters(fleet: PlatformFleet, entry: str) -> list[str]:
    """Return the addresses of the granters that an entry has chosen, in order."""
    lines = fleet.programs[entry].log()
    return [
        line["granter"] for line in lines if line["message_type"] == "granter_chosen"
    ]


def peer_address(fleet: PlatformFleet, entry: str) -> str:
    host = fleet.programs[entry].settings["host"]
    return f"{host}:{fleet.first_port + 1}"
